//! Guards against a fault on the control thread that leaves a process which says ready and serves
//! nobody.

use {
    anyhow::{Context, Result},
    chalkcart::ingress::{
        start_control, AdmissionExchange, ControlHandle, FleetLinks, LinkSettings, Shared,
        SharedCrashRegistry, StoreRelays,
    },
    chalkcart_coordination::{
        dispatch::{
            Decision, DispatchEvent, DispatchRequest, DispatchSettings, Dispatcher, SendOutcome,
        },
        recovery::FaultSettings,
    },
    chalkcart_platform::PlatformDialect,
    chalkcart_state::{
        backends::Backend,
        ingress::{IngressLimits, RequestDigest, RouteTable, Service, SharedParts},
        published::StorePosition,
        regions::AllowedRegions,
    },
    chalkcart_transport::server::pages::ProcessStatus,
    quickcheck::{Arbitrary, Gen},
    serde_json::json,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{runtime::Handle, time::timeout},
};

const SERVICE: &str = "plain";
/// A service without back ends: a request to it is handled by the settings that fail.
const FAILING: &str = "failing";
const SEED: u64 = 93;
const CASES: usize = 30;
/// Longer than any decision of these tests takes, for ones that never come.
const PATIENCE: Duration = Duration::from_secs(20);
/// Longer than any of these tests takes.
const LONG_PAUSE: Duration = Duration::from_secs(3_600);
/// No port of a sidecar: plain services have none.
const NO_PORT: u16 = 1;

/// Starts a control thread on which each request to [`FAILING`] panics.
fn start() -> Result<ControlHandle> {
    let dispatcher = Dispatcher::new(DispatchSettings {
        entry: "e".to_string(),
        zone: "z".to_string(),
        max_slot_wait_ratio: f64::NAN,
        max_adapter_wait_ratio: f64::NAN,
        ..DispatchSettings::default()
    });
    let runtime = Handle::current();
    let crashes = Arc::new(SharedCrashRegistry::default());
    let control = start_control(dispatcher, crashes, |control| {
        let links = LinkSettings {
            entry: "e".to_string(),
            zone: "z".to_string(),
            sidecar_port: NO_PORT,
            relays_from_engines: None,
            store_relays: Arc::new(StoreRelays::new(
                &"e".to_string(),
                &"z".to_string(),
                NO_PORT,
            )),
        };
        let admission = AdmissionExchange::new(runtime.clone(), control.clone(), NO_PORT);
        (FleetLinks::new(links, runtime, control), admission)
    });
    control.send_event(DispatchEvent::ConfigUpdated(Arc::new(table())));
    let backend = |service: &str, leaving| Backend {
        id: format!("{service}-1").into(),
        service: service.to_string(),
        addr: ([127, 0, 0, 1], NO_PORT).into(),
        zone: "z".to_string(),
        slots: 64,
        leaving,
        slow_start_left: Duration::ZERO,
        models: Vec::new(),
        held: Vec::new(),
        software_version: None,
    };
    control.send_event(DispatchEvent::ListUpdated {
        at: StorePosition::new(1, 1),
        list: vec![backend(SERVICE, false), backend(FAILING, false)],
    });
    // a back end that asks for a pause: requests to it would wait, by the settings that fail
    let signal =
        chalkcart_coordination::backend_signals::BackendSignals::new(false, Some(LONG_PAUSE));
    control.send_event(DispatchEvent::SignalReceived {
        backend: format!("{FAILING}-1").as_str().into(),
        signal,
        sent_at: Instant::now(),
    });
    Ok(control)
}

fn table() -> RouteTable {
    let service = |name: &str| Service {
        name: name.to_string(),
        health_path: "/health".to_string(),
        engine: None,
        slow_start_duration: Duration::ZERO,
        slow_start_per_s: 0.0,
    };
    let services = vec![service(SERVICE), service(FAILING)];
    RouteTable::new(1, IngressLimits::default(), services)
}

/// Returns the state of a process that has a configuration and a list.
fn process(control: &ControlHandle) -> Result<Shared> {
    let settings = serde_json::from_value(json!({"name": "e", "zone": "z",
        "clients": "127.0.0.1:1", "readiness": "127.0.0.1:2", "metrics": "127.0.0.1:3",
        "store": "127.0.0.1:4", "sidecar_port": NO_PORT, "grace_s": 8.0, "retry_ratio": 0.2,
        "retry_extra": 50.0, "retry_window_s": 10.0, "version_ms": 5000, "drain_ms": 2000,
        "store_reads_per_s": 2000.0}))?;
    let crashes = Arc::new(SharedCrashRegistry::default());
    let dialect = Arc::new(PlatformDialect);
    let shared = Shared::new(settings, control.clone(), crashes, dialect);
    shared.set_configuration(Arc::new(table()));
    shared.set_has_backend_list();
    Ok(shared)
}

fn request(service: &str) -> DispatchRequest {
    let now = chalkcart_transport::clock::now();
    DispatchRequest {
        digest: RequestDigest::of("GET", "/", "", b""),
        shared_parts: SharedParts::default(),
        is_crash_suspect: false,
        has_progress: false,
        service: service.to_string(),
        model: None,
        adapter: None,
        prompt_tokens: 0,
        expected_output_tokens: 0,
        account: None,
        allowed_regions: AllowedRegions::default(),
        software_version: None,
        account_priority: 0,
        is_beyond_share: false,
        priority: 1,
        target_latency: Duration::from_secs(1),
        target_gap: None,
        arrived_at: now,
        deadline: now + Duration::from_secs(60),
        tried_backends: Vec::new(),
        was_rejected_before: false,
        is_load_time_checked: false,
        send_count: 0,
        is_repeat: false,
        earlier_unread_until: None,
        start_tag: 0,
    }
}

/// Returns the decision on a request; `None` if it failed.
async fn decide(control: &ControlHandle, ticket: u64, service: &str) -> Result<Option<Decision>> {
    let decision = control.decide(ticket, request(service));
    timeout(PATIENCE, decision)
        .await
        .context("no decision came")
}

async fn assert_served(control: &ControlHandle, ticket: u64) -> Result<()> {
    let decision = decide(control, ticket, SERVICE).await?;
    assert!(matches!(decision, Some(Decision::Send(_))), "{decision:?}");
    let outcome = SendOutcome::Answered;
    control.send_event(DispatchEvent::SendEnded { ticket, outcome });
    Ok(())
}

/// Guards against a control thread that ends with the first event it can't handle.
#[tokio::test]
async fn a_request_that_fails_ends_no_decision_on_others() -> Result<()> {
    let control = start()?;
    assert_served(&control, 1).await?;
    assert_eq!(decide(&control, 2, FAILING).await?, None);
    assert_served(&control, 3).await?;
    assert!(!control.end().has_ended());
    Ok(())
}

/// Guards against a process that goes on although its control thread decides nothing any more.
#[tokio::test]
async fn the_end_of_a_control_thread_that_keeps_failing_is_told() -> Result<()> {
    let control = start()?;
    for ticket in 0..FaultSettings::default().max_faults as u64 {
        assert_eq!(decide(&control, ticket, FAILING).await?, None);
    }
    timeout(PATIENCE, control.end().wait()).await?;
    assert!(control.end().has_ended());
    assert_eq!(decide(&control, 100, SERVICE).await?, None);
    Ok(())
}

/// Guards against a readiness page that goes by what the control thread published last.
#[tokio::test]
async fn a_process_whose_control_thread_has_ended_is_not_ready() -> Result<()> {
    let control = start()?;
    let process = process(&control)?;
    assert_served(&control, 1).await?;
    assert!(process.is_ready());
    let max_faults = FaultSettings::default().max_faults as u64;
    for ticket in 2..=max_faults {
        assert_eq!(decide(&control, ticket, FAILING).await?, None);
        assert!(process.is_ready(), "after {} faults", ticket - 1);
    }
    assert_eq!(decide(&control, max_faults + 1, FAILING).await?, None);
    timeout(PATIENCE, control.end().wait()).await?;
    assert!(!process.is_ready());
    Ok(())
}

/// Guards against requests that are lost beside ones that fail, in any order.
#[tokio::test]
async fn requests_beside_any_that_fail_are_decided() -> Result<()> {
    let mut g = Gen::from_size_and_seed(20, SEED);
    for case in 0..CASES {
        let control = start()?;
        let failing = 1 + usize::arbitrary(&mut g) % (FaultSettings::default().max_faults - 1);
        let mut kinds = vec![true; failing];
        kinds.extend((0..10).map(|_| false));
        let mut order: Vec<(u32, bool)> = kinds
            .into_iter()
            .map(|k| (u32::arbitrary(&mut g), k))
            .collect();
        order.sort_unstable();
        for (ticket, (_, fails)) in order.into_iter().enumerate() {
            match fails {
                true => assert_eq!(
                    decide(&control, ticket as u64, FAILING).await?,
                    None,
                    "{case}"
                ),
                false => assert_served(&control, ticket as u64).await?,
            }
        }
        assert!(!control.end().has_ended(), "case {case}");
    }
    Ok(())
}
