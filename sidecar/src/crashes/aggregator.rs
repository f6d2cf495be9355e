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

/// longest time for which a call is held, whatever it asks for
const MOST_HELD: Duration = Duration::from_secs(5);

/// What entries have told this sidecar. It outlives the engine beside it and each entry, and
/// entries outlive it: none of them keeps anything beyond its process.
pub struct CrashAggregator {
    incarnation: Incarnation,
    book: Mutex<CrashRegistry>,
    /// the book's revision
    changed: watch::Sender<u64>,
}

impl CrashAggregator {
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            book: Mutex::default(),
            changed: watch::Sender::new(0),
        }
    }

    /// take in what an entry knows, and tell it what it does not know, as soon as there is
    /// any of it
    pub async fn answer(&self, ask: CrashRequest) -> CrashResponse {
        let heard = ask.heard.filter(|heard| heard.keeper == self.incarnation);
        let after = self.take_in(&ask, heard.map_or(0, |heard| heard.revision));
        if heard.is_some() {
            let wait = Duration::from_millis(ask.wait_ms).min(MOST_HELD);
            let mut changed = self.changed.subscribe();
            // a time without news is an answer as well
            let _ = timeout(wait, changed.wait_for(|revision| *revision > after)).await;
        }
        let (words, revision) = self.book().reports_since(after, clock::now());
        CrashResponse {
            mark: CrashCursor {
                keeper: self.incarnation,
                revision,
            },
            words,
        }
    }

    /// gives the revision from which on the entry is to hear: its own words are no news to it
    fn take_in(&self, ask: &CrashRequest, after: u64) -> u64 {
        let mut book = self.book();
        let known = book.revision();
        if book.merge(&ask.words, clock::now()) {
            self.changed.send_replace(book.revision());
        }
        match after == known {
            true => book.revision(),
            false => after,
        }
    }

    fn book(&self) -> MutexGuard<'_, CrashRegistry> {
        // no holder panics halfway through a change
        self.book.lock().unwrap_or_else(|e| e.into_inner())
    }
}
