use {
    chalkcart_state::backends::BackendId,
    std::{
        collections::HashMap,
        sync::{Mutex, MutexGuard},
        time::{Duration, Instant},
    },
    tokio::sync::watch,
};

/// Time for which the end of an incarnation is kept; longer than any stream waits for it.
const RETENTION: Duration = Duration::from_secs(5);

/// Engine incarnations that ended a short time ago.
#[derive(Debug)]
pub struct EndedEngines {
    ended: Mutex<HashMap<BackendId, Instant>>,
    /// Notifies waiting tasks of a new end.
    changes: watch::Sender<()>,
}

impl Default for EndedEngines {
    fn default() -> Self {
        Self {
            ended: Mutex::default(),
            changes: watch::Sender::new(()),
        }
    }
}

impl EndedEngines {
    pub fn insert(&self, backend: BackendId, now: Instant) {
        let mut ended = self.ended();
        ended.retain(|_, at| now.saturating_duration_since(*at) < RETENTION);
        ended.insert(backend, now);
        drop(ended);
        self.changes.send_replace(());
    }

    /// Waits until an incarnation is known to have ended.
    pub async fn wait_for(&self, backend: &BackendId) {
        let mut changes = self.changes.subscribe();
        while !self.ended().contains_key(backend) {
            // An error means that the process is exiting.
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    fn ended(&self) -> MutexGuard<'_, HashMap<BackendId, Instant>> {
        // No holder panics in the middle of an update.
        self.ended.lock().unwrap_or_else(|e| e.into_inner())
    }
}
