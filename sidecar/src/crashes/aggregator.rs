use {
    chalkcart_coordination::crashes::CrashRegistry,
    chalkcart_protocol::peer::{CrashCursor, CrashRequest, CrashResponse},
    chalkcart_state::ids::Incarnation,
    chalkcart_transport::clock,
    std::{
        sync::{Mutex, MutexGuard},
        time::Duration,
    },
    tokio::{sync::watch, time::timeout},
};

/// Maximum time for which a request is held, whatever wait time it requests.
const MAX_HOLD: Duration = Duration::from_secs(5);

/// Crash reports of all entries, kept in memory. Entries and sidecars restart independently,
/// so each report survives as long as one of the processes that know it.
pub struct CrashAggregator {
    incarnation: Incarnation,
    registry: Mutex<CrashRegistry>,
    /// Revision of the registry.
    revision: watch::Sender<u64>,
}

impl CrashAggregator {
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            registry: Mutex::default(),
            revision: watch::Sender::new(0),
        }
    }

    /// Merges an entry's reports, and returns newer reports as soon as there are any, or when
    /// the request's wait time is over.
    pub async fn response(&self, request: CrashRequest) -> CrashResponse {
        let cursor = request
            .heard
            .filter(|cursor| cursor.keeper == self.incarnation);
        let after = self.merge(&request, cursor.map_or(0, |cursor| cursor.revision));
        if cursor.is_some() {
            let wait = Duration::from_millis(request.wait_ms).min(MAX_HOLD);
            let mut revision = self.revision.subscribe();
            // After a timeout the response is empty.
            let _ = timeout(wait, revision.wait_for(|revision| *revision > after)).await;
        }
        let (reports, revision) = self.registry().reports_since(after, clock::now());
        CrashResponse {
            mark: CrashCursor {
                keeper: self.incarnation,
                revision,
            },
            words: reports,
        }
    }

    /// Merges an entry's reports. Returns the revision after which to respond, which skips the
    /// entry's own reports if it had all earlier ones.
    fn merge(&self, request: &CrashRequest, after: u64) -> u64 {
        let mut registry = self.registry();
        let before = registry.revision();
        if registry.merge(&request.words, clock::now()) {
            self.revision.send_replace(registry.revision());
        }
        match after == before {
            true => registry.revision(),
            false => after,
        }
    }

    fn registry(&self) -> MutexGuard<'_, CrashRegistry> {
        // No holder panics in the middle of an update.
        self.registry.lock().unwrap_or_else(|e| e.into_inner())
    }
}
