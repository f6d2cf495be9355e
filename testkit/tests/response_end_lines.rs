//! What lines and metrics tell of the end of each response of a back end.

use {
    anyhow::Result,
    chalkcart_coordination::response_end::Framing,
    chalkcart_testkit::{
        users_platform::{request, BackendFault, ClientRequest, Fleet, FleetSettings},
        waiting::{until, until_async},
    },
    serde_json::Value,
};

/// Longer than any head of the stand-in.
const WHOLE_HEAD: usize = 1_000;

fn unsafe_request(id: &str) -> ClientRequest {
    ClientRequest {
        target: "/unsafe/".to_string(),
        id: id.to_string(),
        ..ClientRequest::default()
    }
}

fn ended_lines(fleet: &Fleet, id: &str) -> Vec<Value> {
    let log = fleet.log();
    let lines = log.lines().filter(|line| line.contains("response ended"));
    let lines = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
    lines.filter(|line| line["request"] == id).collect()
}

async fn wait_until_counted(fleet: &Fleet, labels: &str) {
    let counted = format!("chalkcart_ingress_body_ends_total{{{labels}}} 1");
    until_async(&format!("one of {labels}"), || async {
        let metrics = fleet.metrics_text().await;
        metrics.lines().any(|line| line == counted)
    })
    .await;
}

/// Guards against: a short answer of which neither a line nor a metric tells how it ended.
#[tokio::test]
async fn the_end_of_each_held_response_is_counted() -> Result<()> {
    let fleet = Fleet::start(FleetSettings::default()).await?;
    let counted = [
        (
            "framed",
            BackendFault::None,
            "end=\"whole\",framing=\"length\",cause=\"framing\",position=\"no_events\",passed=\"held\"",
            None,
        ),
        (
            "unframed",
            BackendFault::DelimitBodyByClose,
            "end=\"whole\",framing=\"connection\",cause=\"closed\",position=\"no_events\",passed=\"held\"",
            Some(("whole", "connection", 16)),
        ),
        (
            "short",
            BackendFault::TruncateBody,
            "end=\"broken\",framing=\"length\",cause=\"closed\",position=\"no_events\",passed=\"held\"",
            Some(("broken", "length", 5)),
        ),
        (
            "in-chunks",
            BackendFault::CutHead(WHOLE_HEAD, Framing::Chunks),
            "end=\"broken\",framing=\"chunks\",cause=\"closed\",position=\"no_events\",passed=\"held\"",
            Some(("broken", "chunks", 0)),
        ),
        (
            "in-its-head",
            BackendFault::CutHead(20, Framing::Length),
            "end=\"broken\",framing=\"none\",cause=\"closed\",position=\"none\",passed=\"held\"",
            None,
        ),
        (
            "invalid",
            BackendFault::InvalidBytes,
            "end=\"broken\",framing=\"none\",cause=\"invalid\",position=\"none\",passed=\"held\"",
            None,
        ),
    ];
    for (id, fault, labels, line) in counted {
        fleet.plain[0].set_fault(fault, 1);
        request(fleet.clients, &unsafe_request(id)).await?;
        wait_until_counted(&fleet, labels).await;
        let Some((outcome, framing, body_bytes)) = line else {
            assert_eq!(ended_lines(&fleet, id), Vec::<Value>::new(), "{id}");
            continue;
        };
        until(id, || !ended_lines(&fleet, id).is_empty()).await;
        let lines = ended_lines(&fleet, id);
        assert_eq!(lines.len(), 1, "{lines:?}");
        assert_eq!(lines[0]["outcome"], outcome, "{id}");
        assert_eq!(lines[0]["framing"], framing, "{id}");
        assert_eq!(lines[0]["cause"], "closed", "{id}");
        assert_eq!(lines[0]["body_bytes"], body_bytes, "{id}");
    }
    Ok(())
}
