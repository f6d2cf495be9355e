//! Control of an engine when processes compete, are suspended, or lose orders.

use {
    chalkcart_coordination::{
        fence::{EngineStatus, FenceAction, FenceController},
        sidecar::{
            OrderFence, OrderResult, PermitMode, SidecarAction, SidecarControl, SidecarEvent,
            SidecarSettings,
        },
        slots::AdapterKey,
    },
    chalkcart_protocol::peer::{GenerateWork, Work, WorkOrder},
    chalkcart_state::ids::{Fence, WeightsDigest},
    std::time::{Duration, Instant},
};

const INCARNATION: u64 = 5;
const LEASE: Duration = Duration::from_secs(1);

fn status(fence: Fence, loaded: Vec<AdapterKey>) -> EngineStatus {
    EngineStatus {
        incarnation: INCARNATION,
        fence,
        base_model: "base".to_string(),
        slots: 1,
        max_batch: 8,
        loaded,
        running: Vec::new(),
    }
}

fn requested_fence(action: FenceAction) -> Fence {
    match action {
        FenceAction::Take { fence, .. } => fence,
        other => panic!("expected a fence to request, got {other:?}"),
    }
}

#[test]
fn two_processes_never_choose_the_same_fence() {
    // two processes that started at the same time
    let mut one = FenceController::new(1_000, 1);
    let mut other = FenceController::new(1_000, 2);
    let first = requested_fence(one.on_status(&status(0, Vec::new())));
    one.on_accepted(INCARNATION, first);
    let second = requested_fence(other.on_status(&status(first, Vec::new())));
    other.on_accepted(INCARNATION, second);
    assert!(second > first);
    // raising the fence of the first must never yield the fence of the other
    for _ in 0..50 {
        one.invalidate();
        match one.on_status(&status(second, Vec::new())) {
            FenceAction::Take { fence, .. } => assert_ne!(fence, second),
            FenceAction::Keep => panic!("both hold {second}"),
            FenceAction::Stop => return,
        }
    }
}

#[test]
fn a_later_process_wins_a_restarted_engine_in_any_order() {
    let mut old = FenceController::new(1_000, 7);
    let mut new = FenceController::new(2_000, 3);
    let lower = requested_fence(old.on_status(&status(0, Vec::new())));
    old.on_accepted(INCARNATION, lower);
    let higher = requested_fence(new.on_status(&status(lower, Vec::new())));
    let mut restarted = status(0, Vec::new());
    restarted.incarnation += 1;
    assert!(requested_fence(old.on_status(&restarted)) < higher);
    assert!(matches!(
        old.on_status(&status(higher, Vec::new())),
        FenceAction::Stop
    ));
    assert!(
        matches!(old.on_status(&restarted), FenceAction::Stop),
        "permanently"
    );
}

/// Creates a sidecar that controls an engine with one adapter, and returns its fence.
fn controlling_sidecar(now: Instant, held: AdapterKey) -> (SidecarControl, OrderFence) {
    let settings = SidecarSettings {
        epoch: 10,
        lease: LEASE,
        permits: PermitMode::Unlimited,
        ..SidecarSettings::default()
    };
    let mut control = SidecarControl::new(settings, now);
    let loaded = vec![held];
    let read = |fence| SidecarEvent::EngineRead(Some(status(fence, loaded.clone())));
    let order = fence_order(&control.handle(read(0), now)).expect("a fence");
    let answer = SidecarEvent::FenceTakeEnded {
        incarnation: order.incarnation,
        fence: order.fence,
        result: OrderResult::Done,
    };
    control.handle(answer, now);
    control.handle(read(order.fence), now);
    assert!(control.is_ready());
    (control, order)
}

fn fence_order(actions: &[SidecarAction]) -> Option<OrderFence> {
    actions.iter().find_map(|action| match action {
        SidecarAction::TakeFence(order) => Some(*order),
        _ => None,
    })
}

fn key(number: u8) -> AdapterKey {
    AdapterKey {
        adapter: format!("loan-{number}"),
        version: 1,
        digest: WeightsDigest::of(&[number]),
    }
}

fn arrived(number: u8) -> SidecarEvent {
    let key = key(number);
    SidecarEvent::Arrived(Box::new(WorkOrder {
        request: format!("r{number}"),
        reserved: false,
        group: "branches".to_string(),
        class: "counter".to_string(),
        remaining: Duration::from_secs(60),
        work: Work::Generate(GenerateWork {
            adapter: key.adapter,
            version: key.version,
            digest: key.digest,
            base_model: "base".to_string(),
            prompt: "explain".to_string(),
            max_tokens: 4,
            generated: Vec::new(),
        }),
        permit_giver: None,
    }))
}

/// Guards against an unload that was sent before a suspension and arrives when the adapter
/// is in use again.
#[test]
fn orders_sent_before_a_suspension_have_an_older_fence() {
    let mut now = Instant::now();
    let (mut control, order) = controlling_sidecar(now, key(1));
    // the adapter may be unloaded after its minimum residence
    let mut actions = control.handle(arrived(2), now);
    let mut ticks = 0;
    while !actions
        .iter()
        .any(|a| matches!(a, SidecarAction::Unload { .. }))
    {
        now += LEASE / 10;
        ticks += 1;
        assert!(ticks < 100, "no unload is ordered");
        actions = control.handle(SidecarEvent::Tick, now);
    }
    now += LEASE * 3;
    control.handle(SidecarEvent::Tick, now);
    let read = SidecarEvent::EngineRead(Some(status(order.fence, vec![key(1)])));
    let next = fence_order(&control.handle(read, now)).expect("a fence");
    assert!(next.fence > order.fence);
}
