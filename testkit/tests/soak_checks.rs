//! The soak checks against records with one violation each.

use {
    chalkcart_testkit::{
        soak::{
            violations, BackendRecord, ConfigurationHistory, Outcome, RequestKind, RequestRecord,
            SoakRecord, TakenUp, Violation,
        },
        users_platform::{AcceptedOrder, ADAPTER_SLOTS},
    },
    std::time::{Duration, Instant},
};

fn response_to(kind: RequestKind, status: u16, body: &str) -> RequestRecord {
    RequestRecord {
        id: "r".to_string(),
        kind,
        sent_at: None,
        taken_up: None,
        outcome: Outcome::Responded {
            status,
            is_complete: true,
            id: "r".to_string(),
            has_stamp: true,
            body: body.as_bytes().to_vec(),
        },
    }
}

fn with_id(mut request: RequestRecord, other: &str) -> RequestRecord {
    if let Outcome::Responded { id, .. } = &mut request.outcome {
        *id = other.to_string();
    }
    request
}

fn without_stamp(mut request: RequestRecord) -> RequestRecord {
    if let Outcome::Responded { has_stamp, .. } = &mut request.outcome {
        *has_stamp = false;
    }
    request
}

fn incomplete(mut request: RequestRecord) -> RequestRecord {
    if let Outcome::Responded { is_complete, .. } = &mut request.outcome {
        *is_complete = false;
    }
    request
}

/// Returns a record of 100 requests of which one is repeated 60 times so much later.
fn retries_after_many_requests(later: Duration) -> SoakRecord {
    let sent_at = Instant::now();
    let requests = (0..100).map(|n| RequestRecord {
        id: format!("r{n}"),
        sent_at: Some(sent_at),
        outcome: Outcome::ConnectionLost,
        ..response_to(RequestKind::Stream, 503, "")
    });
    let mut record = record(requests.collect(), 0);
    let repeated = vec![(sent_at + later, "r0".to_string()); 60];
    record.backends[0].arrivals = vec![(sent_at, "r0".to_string())];
    record.backends[0].arrivals.extend(repeated);
    record
}

/// The rule counts the requests of the window before; 25 s later there are none.
#[test]
fn requests_of_the_window_before_allow_retries() {
    let allowed = retries_after_many_requests(Duration::from_secs(15));
    assert_eq!(violations(&allowed), []);
}

fn record(requests: Vec<RequestRecord>, runs: usize) -> SoakRecord {
    SoakRecord {
        requests,
        backends: vec![BackendRecord {
            name: "e".to_string(),
            is_engine: true,
            runs: vec!["r".to_string(); runs],
            ..BackendRecord::default()
        }],
        max_stream_runs: 1,
        stream_events: 3,
        retry_ratio: 0.2,
        retry_extra: 50.0,
        retry_window: Duration::from_secs(10),
        ..SoakRecord::default()
    }
}

fn order(holder: &str, fence: u64) -> AcceptedOrder {
    AcceptedOrder {
        operation: "load".to_string(),
        adapter: "a".to_string(),
        holder: holder.to_string(),
        fence,
    }
}

const COMPLETE_BODY: &str = "the whole answer";
const EVENTS: &str = "id: 0\ndata: x\n\nid: 1\ndata: x\n\nid: 2\ndata: x\n\n";

#[test]
fn valid_records_have_no_violations() {
    let valid_records = [
        record(
            vec![response_to(RequestKind::Unsafe, 200, COMPLETE_BODY)],
            1,
        ),
        record(vec![response_to(RequestKind::Safe, 200, COMPLETE_BODY)], 2),
        record(vec![response_to(RequestKind::Stream, 200, EVENTS)], 1),
        record(vec![response_to(RequestKind::Unsafe, 503, "")], 0),
        record(vec![response_to(RequestKind::Unsafe, 502, "")], 1),
    ];
    for record in valid_records {
        assert_eq!(violations(&record), [], "{record:?}");
    }
}

#[test]
fn each_kind_of_violation_is_reported() {
    let id = || "r".to_string();
    let engine = || "e".to_string();
    let mut two_holders = record(Vec::new(), 0);
    two_holders.backends[0].orders = vec![order("x", 1), order("y", 2)];
    let mut fence_decreased = record(Vec::new(), 0);
    fence_decreased.backends[0].orders = vec![order("x", 2), order("x", 1)];
    let mut too_many_adapters = record(Vec::new(), 0);
    too_many_adapters.backends[0].max_adapters = ADAPTER_SLOTS + 1;
    let mut leaving = record(Vec::new(), 0);
    leaving.backends[0].requests_while_leaving = 1;
    let mut in_backoff = record(Vec::new(), 0);
    in_backoff.backends[0].max_requests_in_backoff = 3;
    let mut over_limit = record(Vec::new(), 0);
    over_limit.backends[0].requests_over_limit = 2;
    let mut config_regressed = record(Vec::new(), 0);
    config_regressed.configurations = ConfigurationHistory {
        incarnations: vec![vec![3, 5], vec![4, 6, 2]],
    };
    let mut retries = record(vec![response_to(RequestKind::Safe, 503, "")], 0);
    let now = Instant::now();
    retries.backends[0].arrivals = vec![(now, id()); 52];
    let retries_of_few_requests = retries_after_many_requests(Duration::from_secs(25));
    let mut crashing_requests = record(Vec::new(), 0);
    crashing_requests.crashes = 10;
    crashing_requests.crashes_until_blocked = 3;
    crashing_requests.crash_registry_losses = 1;
    let mut rejected_for_part = record(Vec::new(), 0);
    rejected_for_part.rejected_for_part = vec![id()];
    let mut closed = response_to(RequestKind::Safe, 200, COMPLETE_BODY);
    closed.outcome = Outcome::ConnectionLost;
    let mut closed_but_run = record(vec![closed], 1);
    closed_but_run.closed_unread = vec![id()];
    let mut exited = record(Vec::new(), 0);
    exited.exited_processes = vec!["ingress".to_string()];
    let mut not_recovered = record(Vec::new(), 0);
    not_recovered.not_recovered = vec!["/safe/".to_string()];
    let began = response_to(RequestKind::Stream, 200, "id: 0\ndata: v1\n\nid: 1\nda");
    let went_on = RequestRecord {
        id: "s".to_string(),
        taken_up: Some(TakenUp {
            first_attempt: id(),
            last_event: 0,
        }),
        ..response_to(
            RequestKind::Stream,
            200,
            "id: 1\ndata: v2\n\nid: 2\ndata: v2\n\n",
        )
    };
    let mut mixed = record(vec![incomplete(began), with_id(went_on, "s")], 1);
    mixed.backends[0].runs.push("s".to_string());
    let unsafe_ok = || response_to(RequestKind::Unsafe, 200, COMPLETE_BODY);
    let cases = [
        (
            record(vec![unsafe_ok()], 2),
            Violation::TooManyRuns { id: id(), runs: 2 },
        ),
        (
            record(vec![response_to(RequestKind::Safe, 200, COMPLETE_BODY)], 3),
            Violation::TooManyRuns { id: id(), runs: 3 },
        ),
        (
            record(vec![response_to(RequestKind::Stream, 429, "")], 1),
            Violation::RejectedButRun {
                id: id(),
                status: 429,
            },
        ),
        (
            record(vec![with_id(unsafe_ok(), "other")], 1),
            Violation::WrongRequestId { id: id() },
        ),
        (
            record(vec![without_stamp(unsafe_ok())], 1),
            Violation::CorruptResponse { id: id() },
        ),
        (
            record(vec![response_to(RequestKind::Unsafe, 200, "the whole")], 1),
            Violation::CorruptResponse { id: id() },
        ),
        (
            record(
                vec![response_to(RequestKind::Stream, 200, "id: 0\nid: 2\n")],
                1,
            ),
            Violation::CorruptResponse { id: id() },
        ),
        (
            // complete before its last event
            record(
                vec![response_to(RequestKind::Stream, 200, "id: 0\nid: 1\n")],
                1,
            ),
            Violation::CorruptResponse { id: id() },
        ),
        (
            // an event of two engines
            record(
                vec![response_to(
                    RequestKind::Stream,
                    200,
                    "id: 0\nid: 1\nid: 1\nid: 2\n",
                )],
                1,
            ),
            Violation::CorruptResponse { id: id() },
        ),
        (
            record(vec![response_to(RequestKind::Stream, 200, EVENTS)], 2),
            Violation::TooManyRuns { id: id(), runs: 2 },
        ),
        (
            record(vec![response_to(RequestKind::Safe, 404, "")], 0),
            Violation::UnexpectedNotFound { id: id() },
        ),
        (
            record(Vec::new(), 1),
            Violation::UnknownRequestRun { id: id() },
        ),
        (two_holders, Violation::MultipleHolders { engine: engine() }),
        (
            fence_decreased,
            Violation::FenceDecreased { engine: engine() },
        ),
        (
            too_many_adapters,
            Violation::TooManyAdapters {
                engine: engine(),
                max_held: ADAPTER_SLOTS + 1,
            },
        ),
        (
            leaving,
            Violation::SentToLeaving {
                engine: engine(),
                requests: 1,
            },
        ),
        (
            in_backoff,
            Violation::BackoffNotHonored {
                engine: engine(),
                requests: 3,
            },
        ),
        (
            over_limit,
            Violation::LimitNotHonored {
                engine: engine(),
                excess: 2,
            },
        ),
        (
            config_regressed,
            Violation::ConfigurationRegressed { from: 6, to: 2 },
        ),
        (
            retries,
            Violation::RetryBudgetExceeded {
                retries: 51,
                allowed: 50,
            },
        ),
        (
            retries_of_few_requests,
            Violation::RetryBudgetExceeded {
                retries: 60,
                allowed: 50,
            },
        ),
        (
            crashing_requests,
            Violation::TooManyCrashes {
                crashes: 10,
                allowed: 9,
            },
        ),
        (rejected_for_part, Violation::RejectedForPart { id: id() }),
        (closed_but_run, Violation::ClosedButRun { id: id() }),
        (
            exited,
            Violation::UnexpectedExit {
                process: "ingress".to_string(),
            },
        ),
        (
            mixed,
            Violation::MixedSoftware {
                first_attempt: id(),
                versions: vec!["v1".to_string(), "v2".to_string()],
            },
        ),
        (
            not_recovered,
            Violation::NotRecovered {
                what: "/safe/".to_string(),
            },
        ),
    ];
    for (record, expected) in cases {
        assert_eq!(violations(&record), [expected]);
    }
}
