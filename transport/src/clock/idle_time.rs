use {
    super::now,
    std::{
        cell::Cell,
        sync::atomic::{AtomicU64, Ordering},
        time::{Duration, Instant},
    },
};

/// Time for which threads of the runtime had nothing to do, in ns.
static IDLE_NS: AtomicU64 = AtomicU64::new(0);

thread_local! {
    static PARKED_AT: Cell<Option<Instant>> = const { Cell::new(None) };
}

/// Called when a thread of the runtime has nothing to do.
pub fn on_park() {
    PARKED_AT.set(Some(now()));
}

/// Called when a thread of the runtime goes on.
pub fn on_unpark() {
    if let Some(parked_at) = PARKED_AT.take() {
        let idle = now().saturating_duration_since(parked_at).as_nanos() as u64;
        IDLE_NS.fetch_add(idle, Ordering::Relaxed);
    }
}

/// Returns for how long the threads of the runtime have had nothing to do, summed over them. In
/// the rest of the time they were busy, or waited for the processor.
pub fn idle_time() -> Duration {
    Duration::from_nanos(IDLE_NS.load(Ordering::Relaxed))
}
