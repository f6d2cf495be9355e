use {
    super::PermitDealer,
    crate::own_word::{LimitWord, RequestRate},
    chalkcart_protocol::peer::{AdmissionReport, AdmissionResponse, ObservedLimit},
    chalkcart_state::backends::BackendId,
    std::time::{Duration, Instant},
};

/// The word of entries on a limit holds this long. Those that use the engine say it again
/// with each answer; where nobody does, one request tells whether it is still so.
const ENTRIES_WORD_HOLDS: Duration = Duration::from_secs(10);

/// What a sidecar knows of the requests that its engine takes, and who may send them.
#[derive(Debug, Default)]
pub struct EngineLimit {
    /// as the engine's answers to this sidecar name it
    by_engine: Option<RequestRate>,
    /// as its answers to entries did, and when the last of them came
    by_entries: Option<(RequestRate, Instant)>,
    /// when the engine was last heard to name none any more
    freed: Option<Instant>,
    dealer: PermitDealer,
}

impl EngineLimit {
    /// An answer to this sidecar says this, or nothing. Whether engines name limits in
    /// answers to sidecars is not known: silence is news only after a word.
    pub fn on_engine_word(&mut self, word: LimitWord, now: Instant) {
        match word {
            LimitWord::Named(rate) => self.by_engine = Some(rate),
            LimitWord::Unsaid if self.by_engine.is_some() => {
                self.by_engine = None;
                self.by_entries = None;
                self.freed = Some(now);
            }
            LimitWord::Unsaid | LimitWord::Unreadable => {}
        }
    }

    /// the lowest limit that is known to hold
    pub fn named(&self, now: Instant) -> Option<RequestRate> {
        let holds = |at: &Instant| now.saturating_duration_since(*at) < ENTRIES_WORD_HOLDS;
        let by_entries = self.by_entries.filter(|(_, at)| holds(at));
        let by_entries = by_entries.map(|(rate, _)| rate);
        self.by_engine.into_iter().chain(by_entries).min()
    }

    /// an entry says what it has heard, and asks for permits
    pub fn on_report(
        &mut self,
        backend: &BackendId,
        report: &AdmissionReport,
        now: Instant,
    ) -> AdmissionResponse {
        let is_its = report.backend == *backend;
        if is_its {
            self.take_in(report, now);
        }
        let named = self.named(now);
        let (granted, next) = match named.filter(|_| is_its) {
            Some(rate) => self.dealer.deal(rate.per_s(), report, now),
            None => (0, Duration::ZERO),
        };
        AdmissionResponse {
            backend: backend.clone(),
            limit_milli_per_s: named.map(RequestRate::milli),
            freed_ago_ms: self.freed.map(|at| ms_since(at, now)),
            granted,
            next_ms: next.as_millis() as u32,
        }
    }

    fn take_in(&mut self, report: &AdmissionReport, now: Instant) {
        if let Some(freed) = report.freed_ago_ms.map(|ago| ms_ago(ago, now)) {
            self.by_entries = self.by_entries.filter(|(_, at)| *at > freed);
            self.freed = Some(self.freed.map_or(freed, |known| known.max(freed)));
        }
        let Some(ObservedLimit {
            milli_per_s,
            ago_ms,
        }) = report.named
        else {
            return;
        };
        let at = ms_ago(ago_ms, now);
        let is_newest = self.by_entries.is_none_or(|(_, known)| at >= known);
        let is_over = self.freed.is_some_and(|freed| at < freed);
        if is_newest && !is_over {
            self.by_entries = Some((RequestRate::of_milli(milli_per_s), at));
        }
    }
}

fn ms_ago(ago_ms: u32, now: Instant) -> Instant {
    let ago = Duration::from_millis(u64::from(ago_ms));
    now.checked_sub(ago).unwrap_or(now)
}

fn ms_since(at: Instant, now: Instant) -> u32 {
    let passed = now.saturating_duration_since(at).as_millis();
    u32::try_from(passed).unwrap_or(u32::MAX)
}
