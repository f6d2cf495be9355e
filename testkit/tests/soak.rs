//! a short soak, and its checks against planted faults

use {
    anyhow::Result,
    chalkcart_testkit::{
        soak::{
            run_soak, schedule_faults, violations, BackendRecord, ConfigurationHistory, Outcome,
            RequestKind, RequestRecord, SoakRecord, SoakSettings, Violation,
        },
        users_platform::{AcceptedOrder, ADAPTER_SLOTS},
    },
    std::time::{Duration, Instant},
};

/// seeds of the short soak, each with the gap between faults in ms; others are played by
/// hand. 102 ended an ingress by SIGHUP, which had just been started.
const SEEDS: [(u64, u64); 4] = [(1, 500), (2, 500), (3, 250), (102, 250)];
const SPAN: Duration = Duration::from_secs(6);
/// a limit binds 3 s after it was named, and windows of 4 s are looked at
const LIMITED_SPAN: Duration = Duration::from_secs(12);

/// play a short soak in which all promises must be kept
async fn play_clean(settings: SoakSettings) -> Result<()> {
    let report = run_soak(&settings).await?;
    let seed = settings.seed;
    assert!(report.served > 0, "seed {seed}: {:?}", report.outcomes);
    assert!(
        report.violations.is_empty(),
        "seed {seed}: {:?}, faults {:?}, logs {}",
        report.violations,
        report.faults,
        report.log_folder
    );
    Ok(())
}

#[tokio::test]
async fn promises_hold_under_faults_that_overlap() -> Result<()> {
    for (seed, gap_ms) in SEEDS {
        play_clean(SoakSettings {
            seed,
            mean_fault_interval: Duration::from_millis(gap_ms),
            fault_period: SPAN,
            ..SoakSettings::default()
        })
        .await?;
    }
    Ok(())
}

/// The same with a client whose request ends each engine that runs it. 338 and 344 had an
/// engine ordered beyond its places by a sidecar that had just begun; 439 had engines of the
/// next life load a former version.
#[tokio::test]
async fn promises_hold_while_a_request_ends_engines() -> Result<()> {
    for (seed, gap_ms) in [(11, 500), (12, 500), (338, 300), (344, 300), (439, 300)] {
        play_clean(SoakSettings {
            seed,
            crashing_requests: true,
            mean_fault_interval: Duration::from_millis(gap_ms),
            fault_period: SPAN,
            ..SoakSettings::default()
        })
        .await?;
    }
    Ok(())
}

/// the same with engines that say of themselves that they leave or want rest
#[tokio::test]
async fn promises_hold_while_engines_leave_and_rest() -> Result<()> {
    for seed in [21, 22, 23] {
        play_clean(SoakSettings {
            seed,
            backend_signals: true,
            mean_fault_interval: Duration::from_millis(300),
            fault_period: SPAN,
            ..SoakSettings::default()
        })
        .await?;
    }
    Ok(())
}

/// the same with back ends that name how many requests they take
#[tokio::test]
async fn promises_hold_while_back_ends_name_limits() -> Result<()> {
    for seed in [31, 32] {
        play_clean(SoakSettings {
            seed,
            rate_limits: true,
            mean_fault_interval: Duration::from_millis(700),
            fault_period: LIMITED_SPAN,
            ..SoakSettings::default()
        })
        .await?;
    }
    Ok(())
}

#[test]
fn a_seed_draws_the_same_faults_each_time() {
    let settings = SoakSettings::default();
    let drawn = |settings: &SoakSettings| format!("{:?}", schedule_faults(settings));
    assert_eq!(drawn(&settings), drawn(&settings));
    let other = SoakSettings {
        seed: 2,
        ..settings.clone()
    };
    assert_ne!(drawn(&settings), drawn(&other));
}

fn answered(kind: RequestKind, status: u16, body: &str) -> RequestRecord {
    RequestRecord {
        id: "r".to_string(),
        kind,
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

fn unsigned(mut request: RequestRecord) -> RequestRecord {
    if let Outcome::Responded { has_stamp, .. } = &mut request.outcome {
        *has_stamp = false;
    }
    request
}

fn ledger(requests: Vec<RequestRecord>, runs: usize) -> SoakRecord {
    SoakRecord {
        requests,
        backends: vec![BackendRecord {
            name: "e".to_string(),
            is_engine: true,
            runs: vec!["r".to_string(); runs],
            ..BackendRecord::default()
        }],
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

const WHOLE: &str = "the whole answer";
const EVENTS: &str = "id: 0\ndata: x\n\nid: 1\ndata: x\n\n";

#[test]
fn what_is_sound_is_not_found_fault_with() {
    let sound = [
        ledger(vec![answered(RequestKind::Unsafe, 200, WHOLE)], 1),
        ledger(vec![answered(RequestKind::Safe, 200, WHOLE)], 2),
        ledger(vec![answered(RequestKind::Stream, 200, EVENTS)], 1),
        ledger(vec![answered(RequestKind::Unsafe, 503, "")], 0),
        ledger(vec![answered(RequestKind::Unsafe, 502, "")], 1),
    ];
    for ledger in sound {
        assert_eq!(violations(&ledger), [], "{ledger:?}");
    }
}

#[test]
fn each_planted_fault_is_found() {
    let id = || "r".to_string();
    let engine = || "e".to_string();
    let mut two_holders = ledger(Vec::new(), 0);
    two_holders.backends[0].orders = vec![order("x", 1), order("y", 2)];
    let mut fence_fell = ledger(Vec::new(), 0);
    fence_fell.backends[0].orders = vec![order("x", 2), order("x", 1)];
    let mut too_many = ledger(Vec::new(), 0);
    too_many.backends[0].max_adapters = ADAPTER_SLOTS + 1;
    let mut leaving = ledger(Vec::new(), 0);
    leaving.backends[0].requests_while_leaving = 1;
    let mut resting = ledger(Vec::new(), 0);
    resting.backends[0].max_requests_in_backoff = 3;
    let mut limited = ledger(Vec::new(), 0);
    limited.backends[0].requests_over_limit = 2;
    let mut back = ledger(Vec::new(), 0);
    back.configurations = ConfigurationHistory {
        incarnations: vec![vec![3, 5], vec![4, 6, 2]],
    };
    let mut retries = ledger(vec![answered(RequestKind::Safe, 503, "")], 0);
    let now = Instant::now();
    retries.backends[0].arrivals = vec![(now, id()); 52];
    let mut crashing_requests = ledger(Vec::new(), 0);
    (
        crashing_requests.crashes,
        crashing_requests.crash_registry_losses,
    ) = (10, 1);
    let mut ended = ledger(Vec::new(), 0);
    ended.exited_processes = vec!["ingress".to_string()];
    let mut missing = ledger(Vec::new(), 0);
    missing.not_recovered = vec!["/safe/".to_string()];
    let unsafe_ok = || answered(RequestKind::Unsafe, 200, WHOLE);
    let cases = [
        (
            ledger(vec![unsafe_ok()], 2),
            Violation::TooManyRuns { id: id(), runs: 2 },
        ),
        (
            ledger(vec![answered(RequestKind::Safe, 200, WHOLE)], 3),
            Violation::TooManyRuns { id: id(), runs: 3 },
        ),
        (
            ledger(vec![answered(RequestKind::Stream, 429, "")], 1),
            Violation::RejectedButRun {
                id: id(),
                status: 429,
            },
        ),
        (
            ledger(vec![with_id(unsafe_ok(), "other")], 1),
            Violation::WrongRequestId { id: id() },
        ),
        (
            ledger(vec![unsigned(unsafe_ok())], 1),
            Violation::CorruptResponse { id: id() },
        ),
        (
            ledger(vec![answered(RequestKind::Unsafe, 200, "the whole")], 1),
            Violation::CorruptResponse { id: id() },
        ),
        (
            ledger(
                vec![answered(RequestKind::Stream, 200, "id: 0\nid: 2\n")],
                1,
            ),
            Violation::CorruptResponse { id: id() },
        ),
        (
            ledger(vec![answered(RequestKind::Safe, 404, "")], 0),
            Violation::UnexpectedNotFound { id: id() },
        ),
        (
            ledger(Vec::new(), 1),
            Violation::UnknownRequestRun { id: id() },
        ),
        (two_holders, Violation::MultipleHolders { engine: engine() }),
        (fence_fell, Violation::FenceDecreased { engine: engine() }),
        (
            too_many,
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
            resting,
            Violation::BackoffNotHonored {
                engine: engine(),
                requests: 3,
            },
        ),
        (
            limited,
            Violation::LimitNotHonored {
                engine: engine(),
                excess: 2,
            },
        ),
        (back, Violation::ConfigurationRegressed { from: 6, to: 2 }),
        (
            retries,
            Violation::RetryBudgetExceeded {
                retries: 51,
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
        (
            ended,
            Violation::UnexpectedExit {
                process: "ingress".to_string(),
            },
        ),
        (
            missing,
            Violation::NotRecovered {
                what: "/safe/".to_string(),
            },
        ),
    ];
    for (ledger, planted) in cases {
        assert_eq!(violations(&ledger), [planted]);
    }
}
