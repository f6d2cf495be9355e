use {
    super::PermitIssuer,
    crate::backend_signals::{LimitSignal, RequestRate},
    chalkcart_protocol::peer::{AdmissionReport, AdmissionResponse, ObservedLimit},
    chalkcart_state::backends::BackendId,
    std::time::{Duration, Instant},
};

/// Validity of a limit that entries reported. Entries that use the engine report it again with
/// each response; without requests, a single one shows whether it still applies.
const REPORTED_LIMIT_VALID_FOR: Duration = Duration::from_secs(10);

/// Rate limit of an engine as known to its sidecar, and the permits issued under it.
#[derive(Debug, Default)]
pub struct EngineLimit {
    /// Limit in the engine's responses to this sidecar.
    from_engine: Option<RequestRate>,
    /// Limit in the engine's responses to entries, and when the newest of them arrived.
    from_entries: Option<(RequestRate, Instant)>,
    /// When a response last came without the limit that applied before.
    lifted_at: Option<Instant>,
    issuer: PermitIssuer,
}

impl EngineLimit {
    /// Applies the limit signal of a response to this sidecar.
    ///
    /// Engines may send limits to entries only, so an absent signal lifts the limit only if the
    /// sidecar itself received one before.
    pub fn on_engine_signal(&mut self, signal: LimitSignal, now: Instant) {
        match signal {
            LimitSignal::Advertised(rate) => self.from_engine = Some(rate),
            LimitSignal::Absent if self.from_engine.is_some() => {
                self.from_engine = None;
                self.from_entries = None;
                self.lifted_at = Some(now);
            }
            LimitSignal::Absent | LimitSignal::Unreadable => {}
        }
    }

    /// Returns the lowest limit known to apply.
    pub fn effective_rate(&self, now: Instant) -> Option<RequestRate> {
        let is_valid = |at: &Instant| now.saturating_duration_since(*at) < REPORTED_LIMIT_VALID_FOR;
        let from_entries = self.from_entries.filter(|(_, at)| is_valid(at));
        let from_entries = from_entries.map(|(rate, _)| rate);
        self.from_engine.into_iter().chain(from_entries).min()
    }

    /// Applies the limit that an entry observed, and responds with the effective limit and
    /// permits.
    pub fn on_report(
        &mut self,
        backend: &BackendId,
        report: &AdmissionReport,
        now: Instant,
    ) -> AdmissionResponse {
        let is_same_engine = report.backend == *backend;
        if is_same_engine {
            self.update_from_entry(report, now);
        }
        let limit = self.effective_rate(now);
        let (granted, next) = match limit.filter(|_| is_same_engine) {
            Some(rate) => self.issuer.issue(rate.per_s(), report, now),
            None => (0, Duration::ZERO),
        };
        AdmissionResponse {
            backend: backend.clone(),
            limit_milli_per_s: limit.map(RequestRate::milli_per_s),
            freed_ago_ms: self.lifted_at.map(|at| ms_since(at, now)),
            granted,
            next_ms: next.as_millis() as u32,
        }
    }

    fn update_from_entry(&mut self, report: &AdmissionReport, now: Instant) {
        if let Some(lifted_at) = report.freed_ago_ms.map(|ago| ms_ago(ago, now)) {
            self.from_entries = self.from_entries.filter(|(_, at)| *at > lifted_at);
            let latest = self
                .lifted_at
                .map_or(lifted_at, |known| known.max(lifted_at));
            self.lifted_at = Some(latest);
        }
        let Some(ObservedLimit {
            milli_per_s,
            ago_ms,
        }) = report.named
        else {
            return;
        };
        let at = ms_ago(ago_ms, now);
        let is_newest = self.from_entries.is_none_or(|(_, known)| at >= known);
        let is_lifted = self.lifted_at.is_some_and(|lifted_at| at < lifted_at);
        if is_newest && !is_lifted {
            self.from_entries = Some((RequestRate::from_milli_per_s(milli_per_s), at));
        }
    }
}

fn ms_ago(ago_ms: u32, now: Instant) -> Instant {
    let ago = Duration::from_millis(u64::from(ago_ms));
    now.checked_sub(ago).unwrap_or(now)
}

fn ms_since(at: Instant, now: Instant) -> u32 {
    let elapsed = now.saturating_duration_since(at).as_millis();
    u32::try_from(elapsed).unwrap_or(u32::MAX)
}
