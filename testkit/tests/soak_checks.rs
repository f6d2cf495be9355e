//! The soak checks against records with one violation each.

use {
    chalkcart_testkit::{
        soak::{
            violations, BackendRecord, ConfigurationHistory, Outcome, RequestKind, RequestRecord,
            ServingHistory, SoakRecord, StreamCounts, TakenUp, Violation,
        },
        users_platform::{AcceptedOrder, ADAPTER_SLOTS},
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
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
    let began_only = response_to(RequestKind::Stream, 200, "id: 0\ndata: x\n\n");
    let began_only = incomplete(began_only);
    let went_on_late = |events: &str| RequestRecord {
        id: "s".to_string(),
        taken_up: Some(TakenUp {
            first_attempt: id(),
            last_event: 0,
        }),
        ..incomplete(response_to(RequestKind::Stream, 200, events))
    };
    let out_of_order = |events: &str| {
        let went_on = with_id(went_on_late(events), "s");
        let mut record = record(vec![began_only.clone(), went_on], 1);
        record.backends[0].runs.push("s".to_string());
        record
    };
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
            // an event is missing between two tries
            out_of_order("id: 2\ndata: x\n\n"),
            Violation::EventsOutOfOrder {
                first_attempt: id(),
                expected: 1,
                event: 2,
            },
        ),
        (
            // an event comes again with the next try
            out_of_order("id: 0\ndata: x\n\n"),
            Violation::EventsOutOfOrder {
                first_attempt: id(),
                expected: 1,
                event: 0,
            },
        ),
        (
            // an id goes back within a try
            out_of_order("id: 1\ndata: x\n\nid: 1\ndata: x\n\n"),
            Violation::EventsOutOfOrder {
                first_attempt: id(),
                expected: 2,
                event: 1,
            },
        ),
        (
            // an answer that ended with its head
            record(vec![response_to(RequestKind::Safe, 200, "")], 1),
            Violation::CorruptResponse { id: id() },
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

/// Streams are counted once, whatever the number of their tries.
#[test]
fn streams_that_are_taken_up_are_counted_beside_new_ones() {
    let begin = Instant::now();
    let at = |ms| Some(begin + Duration::from_millis(ms));
    let began = |id: &str, version: &str| RequestRecord {
        id: id.to_string(),
        sent_at: at(0),
        ..incomplete(response_to(
            RequestKind::Stream,
            200,
            &format!("id: 0\ndata: {version}\n\n"),
        ))
    };
    let take_up = |stream: &str, ms, status, events: &str| RequestRecord {
        id: format!("{stream}-{ms}"),
        sent_at: at(ms),
        taken_up: Some(TakenUp {
            first_attempt: stream.to_string(),
            last_event: 0,
        }),
        ..response_to(RequestKind::Stream, status, events)
    };
    let mut serving = ServingHistory::default();
    let count = |v1, v2| BTreeMap::from([("v1".to_string(), v1), ("v2".to_string(), v2)]);
    serving.push(begin, count(2, 2));
    serving.push(begin + Duration::from_secs(5), count(1, 2));
    let new = |ms, status| RequestRecord {
        sent_at: at(ms),
        ..response_to(RequestKind::Stream, status, "")
    };
    let requests = [
        began("goes-on", "v1"),
        take_up("goes-on", 1_000, 503, ""),
        take_up("goes-on", 1_400, 200, "id: 1\ndata: v1\n\n"),
        began("refused", "v1"),
        take_up("refused", 1_000, 503, ""),
        take_up("refused", 1_400, 503, ""),
        // one engine of its version serves by the second try
        began("unserved", "v1"),
        take_up("unserved", 4_900, 503, ""),
        take_up("unserved", 5_100, 503, ""),
        new(1_100, 200),
        new(1_200, 503),
        new(3_000, 200),
    ];
    let named = requests.into_iter().enumerate().map(|(number, request)| {
        let id = match request.id.as_str() {
            "r" => format!("new-{number}"),
            id => id.to_string(),
        };
        RequestRecord { id, ..request }
    });
    let counts = StreamCounts::of(&named.collect::<Vec<_>>(), &serving);
    let expected = StreamCounts {
        taken_up: 3,
        went_on: 1,
        taken_up_while_served: 2,
        went_on_while_served: 1,
        refused_while_served: 1,
        new_sent: 2,
        new_began: 1,
    };
    assert_eq!(counts, expected);
}
