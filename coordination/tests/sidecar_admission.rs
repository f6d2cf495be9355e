//! what a sidecar takes, refuses, and asks for

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

/// an engine's sidecar that holds its fence
fn driving(now: Instant) -> SidecarControl {
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
    let taken = actions.iter().find_map(|a| match a {
        SidecarAction::TakeFence(order) => Some(order.fence),
        _ => None,
    });
    let fence = taken.expect("a fence to take");
    let answer = SidecarEvent::FenceTakeEnded {
        incarnation: INCARNATION,
        fence,
        result: OrderResult::Done,
    };
    control.handle(answer, now);
    control.handle(SidecarEvent::EngineRead(Some(status(fence))), now);
    assert!(control.is_ready());
    control
}

fn asks(actions: &[SidecarAction], wanted: PermitPurpose) -> usize {
    let is_it = |a: &&SidecarAction| match a {
        SidecarAction::RequestPermit { request, .. }
        | SidecarAction::ReturnPermit { request, .. } => request.purpose == wanted,
        _ => false,
    };
    actions.iter().filter(is_it).count()
}

fn refusals(actions: &[SidecarAction]) -> Vec<Reason> {
    let reason = |a: &SidecarAction| match a {
        SidecarAction::Reject { refusal, .. } => Some(refusal.reason),
        _ => None,
    };
    actions.iter().filter_map(reason).collect()
}

#[test]
fn the_giver_hears_only_of_what_may_be_loaded_next() {
    let now = Instant::now();
    let mut control = driving(now);
    let mut asked = 0;
    for number in 0..20 {
        let event = order(
            &format!("r{number}"),
            Duration::from_secs(60),
            prompt(number),
        );
        asked += asks(&control.handle(event, now), PermitPurpose::Ask);
    }
    assert_eq!(asked, MAX_LOADS);
}

#[test]
fn a_claim_whose_requests_are_gone_is_taken_back() {
    let now = Instant::now();
    let mut control = driving(now);
    control.handle(order("r", Duration::from_millis(500), prompt(1)), now);
    let later = now + Duration::from_millis(600);
    let actions = control.handle(SidecarEvent::Tick, later);
    assert_eq!(refusals(&actions), [Reason::DeadlinePassed]);
    assert_eq!(asks(&actions, PermitPurpose::Return), 1);
}

#[test]
fn one_very_slow_run_does_not_shut_the_target_for_ever() {
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
    assert!(refusals(&actions).is_empty(), "{actions:?}");
    assert!(actions
        .iter()
        .any(|a| matches!(a, SidecarAction::Run { .. })));
}
