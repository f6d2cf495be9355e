use {
    super::{AdmissionGate, EqualShare, PermitPool, ShareMode, MIN_PROBE_RATE_PER_S},
    crate::backend_signals::{LimitSignal, RequestRate},
    chalkcart_protocol::peer::{AdmissionResponse, ObservedLimit},
    std::time::{Duration, Instant},
};

/// Upper bound of the retry times given to rejected requests; most clients give up before.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Limit in a response to this entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ReceivedLimit {
    rate: RequestRate,
    /// When the newest response with this limit arrived.
    at: Instant,
}

/// Conditions under which a limit is shared.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitSharing {
    /// Number of entries that share the limit.
    pub entries: u32,
    /// Phase of this entry for this back end: between 0 and 1, uniform over entries.
    pub phase: f64,
    /// Whether the sidecar beside the back end is reachable and issues permits.
    pub has_issuer: bool,
    /// Whether the back end is an engine, whose sidecar may issue permits to other entries.
    pub is_engine: bool,
}

/// Limit of a back end as this entry observed it, for the permit issuer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LimitUpdate {
    pub limit: Option<ObservedLimit>,
    /// Time, in ms, since a response came without the limit that applied before.
    pub lifted_ago_ms: Option<u32>,
}

/// Rate limit that a back end advertises, and this entry's share of it.
///
/// An entry sends with permits of the back end's sidecar, and by an equal share of the rate
/// when the sidecar issues none.
#[derive(Debug, Clone, Default)]
pub struct AdvertisedLimit {
    /// Limit in responses to this entry.
    received: Option<ReceivedLimit>,
    /// Limit that the back end's sidecar reports.
    reported: Option<RequestRate>,
    /// When a response came without the limit that applied before.
    lifted_at: Option<Instant>,
    /// Whether the issuer has yet to receive the last limit signal.
    has_update: bool,
    share: Option<EqualShare>,
    permits: PermitPool,
    has_issuer: bool,
    /// Requests that wait for this back end, and the priority of the most urgent.
    waiting: u32,
    priority: u8,
    /// Retry time that was given to the last rejected request.
    last_retry_at: Option<Instant>,
}

impl AdvertisedLimit {
    /// Applies the signal of a response to a request that was sent at `sent_at`.
    ///
    /// Responses may arrive out of order. One to a request that was sent after another response
    /// had arrived is certainly newer; if the order isn't known, the lower limit applies.
    pub fn on_signal(
        &mut self,
        signal: LimitSignal,
        sent_at: Instant,
        sharing: LimitSharing,
        now: Instant,
    ) {
        let unordered = self.received.filter(|received| sent_at < received.at);
        match (signal, unordered) {
            (LimitSignal::Unreadable, _) | (LimitSignal::Absent, Some(_)) => return,
            (LimitSignal::Absent, None) => {
                self.has_update |= self.effective_rate().is_some();
                self.received = None;
                self.reported = None;
                self.lifted_at = Some(now);
            }
            (LimitSignal::Advertised(rate), other) => {
                let rate = other.map_or(rate, |other| other.rate.min(rate));
                self.has_update |= self.received.is_none_or(|received| received.rate != rate);
                self.received = Some(ReceivedLimit { rate, at: now });
            }
        }
        self.update_sharing(sharing, now);
    }

    /// Applies the limit, if any, that the back end's sidecar reports.
    pub fn on_sidecar_report(
        &mut self,
        reported: Option<RequestRate>,
        sharing: LimitSharing,
        now: Instant,
    ) {
        if self.reported != reported {
            self.reported = reported;
            self.update_sharing(sharing, now);
        }
    }

    /// Applies the issuer's response to the request that was sent at `requested_at`. Another
    /// entry may have reported to it that the limit was lifted since the last response here.
    pub fn on_permit_response(
        &mut self,
        response: &AdmissionResponse,
        requested_at: Instant,
        sharing: LimitSharing,
        now: Instant,
    ) {
        self.permits.on_response(response, requested_at, now);
        self.reported = response
            .limit_milli_per_s
            .map(RequestRate::from_milli_per_s);
        let lifted_at = response.freed_ago_ms.map(|ago| {
            let ago = Duration::from_millis(u64::from(ago));
            now.checked_sub(ago).unwrap_or(now)
        });
        let is_lifted =
            |received: &ReceivedLimit| lifted_at.is_some_and(|lifted_at| lifted_at > received.at);
        self.received = self.received.filter(|received| !is_lifted(received));
        self.update_sharing(sharing, now);
    }
    /// Records a failed permit request; `is_unsupported` means that the sidecar issues no
    /// permits.
    pub fn on_permit_request_failed(&mut self, is_unsupported: bool, now: Instant) {
        self.permits.on_request_failed(is_unsupported, now);
    }

    /// Adapts this entry's share to the number of entries and to the availability of an issuer.
    pub fn update_sharing(&mut self, sharing: LimitSharing, now: Instant) {
        self.has_issuer = sharing.has_issuer;
        let Some(rate) = self.effective_rate() else {
            self.share = None;
            self.waiting = 0;
            return;
        };
        let mode = match sharing.is_engine {
            true => ShareMode::WithPermits,
            false => ShareMode::SharesOnly,
        };
        let (per_s, entries) = (rate.per_s(), sharing.entries);
        match &mut self.share {
            Some(share) => share.update(mode, per_s, entries, now),
            None => {
                let share = EqualShare::new(mode, per_s, entries, sharing.phase, now);
                self.share = Some(share);
            }
        }
    }

    /// Returns the lowest limit known, `None` if the back end isn't limited.
    pub fn effective_rate(&self) -> Option<RequestRate> {
        let received = self.received.map(|received| received.rate);
        received.into_iter().chain(self.reported).min()
    }
    pub fn admits_request(&self, now: Instant) -> bool {
        self.wait_time(now).is_zero()
    }
    /// Returns the time until this entry may send one more request.
    pub fn wait_time(&self, now: Instant) -> Duration {
        let Some(share) = &self.share else {
            return Duration::ZERO;
        };
        self.permit_wait_time(now)
            .unwrap_or_else(|| share.wait_time(now))
    }
    /// Returns the time until this entry may send one more request after `ahead` others.
    pub fn wait_time_behind(&self, ahead: u32, now: Instant) -> Duration {
        let Some(share) = &self.share else {
            return Duration::ZERO;
        };
        self.wait_time(now) + self.send_interval(share, now) * ahead
    }
    pub fn on_request_sent(&mut self, now: Instant) {
        match (&mut self.share, self.permits.available(now)) {
            (None, _) => {}
            (Some(share), 0) => share.on_request_sent(now),
            (Some(_), _) => self.permits.on_permit_used(),
        }
    }

    /// Returns the retry time of a request that is rejected. Each rejected request gets a
    /// separate one, so that they don't all return at once.
    pub fn next_retry_after(&mut self, now: Instant) -> Duration {
        let Some(share) = &self.share else {
            return Duration::ZERO;
        };
        let opens_at = now + self.wait_time(now);
        let next = self
            .last_retry_at
            .map(|at| at + self.send_interval(share, now));
        let retry_at = next.map_or(opens_at, |at| at.min(now + MAX_RETRY_AFTER));
        let retry_at = retry_at.max(opens_at);
        self.last_retry_at = Some(retry_at);
        retry_at.saturating_duration_since(now)
    }

    /// Sets the number of requests that wait for this back end, and the priority of the most
    /// urgent.
    pub fn set_waiting(&mut self, waiting: u32, priority: u8) {
        self.waiting = waiting;
        self.priority = priority;
    }
    /// Returns the number of waiting requests and the priority of the most urgent.
    pub fn waiting(&self) -> (u32, u8) {
        (self.waiting, self.priority)
    }
    /// Returns whether a request for permits should be sent to the issuer now.
    pub fn is_permit_request_due(&self, now: Instant) -> bool {
        let is_needed = self.waiting > self.permits.available(now) || self.has_update;
        self.has_issuer && is_needed && self.permits.is_request_due(now)
    }
    /// Records a request for permits. Returns the update to send with it and the number of
    /// expired permits to give back.
    pub fn on_permits_requested(&mut self, now: Instant) -> (LimitUpdate, u32) {
        self.has_update = false;
        let ms_since = |at: Instant| {
            let elapsed = now.saturating_duration_since(at).as_millis();
            u32::try_from(elapsed).unwrap_or(u32::MAX)
        };
        let update = LimitUpdate {
            limit: self.received.map(|received| ObservedLimit {
                milli_per_s: received.rate.milli_per_s(),
                ago_ms: ms_since(received.at),
            }),
            lifted_ago_ms: self.lifted_at.map(ms_since),
        };
        (update, self.permits.on_requested(now))
    }

    /// Returns the time until a permit is expected, `None` if this entry sends by its equal
    /// share.
    fn permit_wait_time(&self, now: Instant) -> Option<Duration> {
        let has_permit = self.permits.available(now) > 0;
        (has_permit || self.has_issuer)
            .then(|| self.permits.wait_time(now))
            .flatten()
    }

    /// Returns the time between two requests of this entry.
    fn send_interval(&self, share: &EqualShare, now: Instant) -> Duration {
        match (self.permit_wait_time(now), self.effective_rate()) {
            (Some(_), Some(rate)) => {
                Duration::from_secs_f64(1.0 / rate.per_s().max(MIN_PROBE_RATE_PER_S))
            }
            _ => share.send_interval(),
        }
    }
}

impl AdmissionGate for AdvertisedLimit {
    fn code(&self) -> &'static str {
        "limited"
    }
    fn closed_for(&self, now: Instant) -> Option<Duration> {
        let wait_time = self.wait_time(now);
        (!wait_time.is_zero()).then_some(wait_time)
    }
}
