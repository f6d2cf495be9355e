//! Admission of requests and permit requests of a sidecar.

use {
    chalkcart_coordination::{
        fence::EngineStatus,
        sidecar::{
            OrderResult, RunEnd, SidecarAction, SidecarControl, SidecarEvent, SidecarSettings,
            TargetKind,
        },
    },
    chalkcart_protocol::peer::{
        CallWork, GenerateWork, Outcome, PermitPurpose, Reason, Work, WorkOrder,
    },
    chalkcart_state::ids::WeightsDigest,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

const INCARNATION: u64 = 5;
const MAX_LOADS: usize = 2;

fn order(request: &str, remaining: Duration, work: Work) -> SidecarEvent {
    SidecarEvent::Arrived(Box::new(WorkOrder {
        request: request.to_string(),
        reserved: false,
        group: "branches".to_string(),
        class: "counter".to_string(),
        remaining,
        work,
        permit_giver: Some(SocketAddr::from(([127, 0, 0, 1], 1))),
    }))
}

fn prompt(adapter: usize) -> Work {
    Work::Generate(GenerateWork {
        adapter: format!("loan-{adapter}"),
        version: 1,
        digest: WeightsDigest::of(&adapter.to_be_bytes()),
        base_model: "base".to_string(),
        prompt: "explain".to_string(),
        max_tokens: 10,
        generated: Vec::new(),
    })
}

fn call() -> Work {
    Work::Call(CallWork {
        service: "till".to_string(),
        body: Vec::new(),
    })
}

fn ended(request: &str, took: Duration) -> SidecarEvent {
    SidecarEvent::RunEnded {
        request: request.to_string(),
        end: RunEnd {
            outcome: Outcome::Ran,
            failure: None,
            detail: String::new(),
            tokens: 1,
            duration: took,
            may_still_run: false,
        },
    }
}

/// Returns the control of an engine's sidecar that holds the fence.
fn ready_engine_control(now: Instant) -> SidecarControl {
    let mut control = SidecarControl::new(
        SidecarSettings {
            epoch: 10,
            max_concurrent_loads: MAX_LOADS,
            ..SidecarSettings::default()
        },
        now,
    );
    let status = |fence| EngineStatus {
        incarnation: INCARNATION,
        fence,
        base_model: "base".to_string(),
        slots: 8,
        max_batch: 8,
        loaded: Vec::new(),
        running: Vec::new(),
    };
    let actions = control.handle(SidecarEvent::EngineRead(Some(status(0))), now);
    let fence = actions.iter().find_map(|a| match a {
        SidecarAction::TakeFence(order) => Some(order.fence),
        _ => None,
    });
    let fence = fence.expect("a fence to take");
    let taken = SidecarEvent::FenceTakeEnded {
        incarnation: INCARNATION,
        fence,
        result: OrderResult::Done,
    };
    control.handle(taken, now);
    control.handle(SidecarEvent::EngineRead(Some(status(fence))), now);
    assert!(control.is_ready());
    control
}

fn count_permit_calls(actions: &[SidecarAction], purpose: PermitPurpose) -> usize {
    let has_purpose = |a: &&SidecarAction| match a {
        SidecarAction::RequestPermit { request, .. }
        | SidecarAction::ReturnPermit { request, .. } => request.purpose == purpose,
        _ => false,
    };
    actions.iter().filter(has_purpose).count()
}

fn rejection_reasons(actions: &[SidecarAction]) -> Vec<Reason> {
    let reason = |a: &SidecarAction| match a {
        SidecarAction::Reject { refusal, .. } => Some(refusal.reason),
        _ => None,
    };
    actions.iter().filter_map(reason).collect()
}

#[test]
fn permits_are_requested_only_for_loads_that_may_run_next() {
    let now = Instant::now();
    let mut control = ready_engine_control(now);
    let mut requested = 0;
    for number in 0..20 {
        let event = order(
            &format!("r{number}"),
            Duration::from_secs(60),
            prompt(number),
        );
        requested += count_permit_calls(&control.handle(event, now), PermitPurpose::Ask);
    }
    assert_eq!(requested, MAX_LOADS);
}

#[test]
fn a_permit_request_is_withdrawn_when_no_request_waits_for_the_load() {
    let now = Instant::now();
    let mut control = ready_engine_control(now);
    control.handle(order("r", Duration::from_millis(500), prompt(1)), now);
    let later = now + Duration::from_millis(600);
    let actions = control.handle(SidecarEvent::Tick, later);
    assert_eq!(rejection_reasons(&actions), [Reason::DeadlinePassed]);
    assert_eq!(count_permit_calls(&actions, PermitPurpose::Return), 1);
}

#[test]
fn one_very_slow_run_does_not_make_the_target_reject_all_later_requests() {
    let now = Instant::now();
    let kind = TargetKind::Service { max_running: 2 };
    let settings = SidecarSettings {
        kind,
        ..SidecarSettings::default()
    };
    let mut control = SidecarControl::new(settings, now);
    control.handle(order("slow", Duration::from_secs(60), call()), now);
    control.handle(ended("slow", Duration::from_secs(30)), now);
    let actions = control.handle(order("next", Duration::from_secs(1), call()), now);
    assert!(rejection_reasons(&actions).is_empty(), "{actions:?}");
    assert!(actions
        .iter()
        .any(|a| matches!(a, SidecarAction::Run { .. })));
}
