use {
    chalkcart_protocol::peer::AdmissionResponse,
    std::time::{Duration, Instant},
};

/// Validity of a permit, counted from its request. It bounds the requests sent with permits of
/// earlier grants on top of the current ones.
const PERMIT_VALID_FOR: Duration = Duration::from_millis(500);
/// Time for which the next grant that the issuer announced is relied on.
const RESPONSE_VALID_FOR: Duration = Duration::from_millis(1_500);
/// Time to wait for the issuer's response before falling back to an equal share.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(40);
const MAX_REQUEST_INTERVAL: Duration = Duration::from_millis(300);
/// Pause after a request to the issuer failed.
const RETRY_AFTER_FAILURE: Duration = Duration::from_millis(1_000);
/// Pause after the sidecar replied that it doesn't support permits.
const RETRY_IF_UNSUPPORTED: Duration = Duration::from_secs(5);

/// Permits that the sidecar of a rate-limited engine issued to this entry.
#[derive(Debug, Clone, Default)]
pub struct PermitPool {
    count: u32,
    valid_until: Option<Instant>,
    /// When the last response came, and the time of the next grant that it announced.
    last_response: Option<(Instant, Instant)>,
    /// When the request in flight was sent.
    requested_at: Option<Instant>,
    next_request_at: Option<Instant>,
    /// Time before which the issuer isn't called.
    unavailable_until: Option<Instant>,
}

impl PermitPool {
    /// Returns the number of valid permits.
    pub fn available(&self, now: Instant) -> u32 {
        let is_valid = self.valid_until.is_some_and(|until| now < until);
        if is_valid {
            self.count
        } else {
            0
        }
    }
    pub fn on_permit_used(&mut self) {
        self.count = self.count.saturating_sub(1);
    }

    /// Returns the time until a permit is expected, or `None` if the issuer doesn't respond.
    pub fn wait_time(&self, now: Instant) -> Option<Duration> {
        if self.available(now) > 0 {
            return Some(Duration::ZERO);
        }
        if self.is_unavailable(now) {
            return None;
        }
        let response = self
            .last_response
            .filter(|(at, _)| elapsed(*at, now) < RESPONSE_VALID_FOR);
        match (response, self.requested_at) {
            (Some((_, next)), _) => {
                let remaining = next.saturating_duration_since(now);
                Some(remaining.max(MIN_REQUEST_INTERVAL))
            }
            (None, Some(at)) if elapsed(at, now) < RESPONSE_TIMEOUT => Some(MIN_REQUEST_INTERVAL),
            (None, Some(_)) => None,
            // no request was sent yet
            (None, None) => Some(MIN_REQUEST_INTERVAL),
        }
    }

    /// Returns whether a request for permits may be sent now.
    pub fn is_request_due(&self, now: Instant) -> bool {
        let is_in_flight = self
            .requested_at
            .is_some_and(|at| elapsed(at, now) < RESPONSE_TIMEOUT);
        let is_early = self.next_request_at.is_some_and(|at| now < at);
        !is_in_flight && !is_early && !self.is_unavailable(now)
    }

    /// Records a request for permits, and returns the number of expired permits to give back
    /// with it.
    pub fn on_requested(&mut self, now: Instant) -> u32 {
        self.requested_at = Some(now);
        let expired = self.count - self.available(now);
        self.count -= expired;
        expired
    }

    /// Applies the response to the request that was sent at `requested_at`.
    pub fn on_response(
        &mut self,
        response: &AdmissionResponse,
        requested_at: Instant,
        now: Instant,
    ) {
        let next = Duration::from_millis(u64::from(response.next_ms));
        self.count = self.available(now) + response.granted;
        if response.granted > 0 {
            self.valid_until = Some(requested_at + PERMIT_VALID_FOR);
        }
        self.requested_at = None;
        self.unavailable_until = None;
        self.last_response = Some((now, now + next));
        self.next_request_at = Some(now + next.clamp(MIN_REQUEST_INTERVAL, MAX_REQUEST_INTERVAL));
    }

    /// Records a failed request; `is_unsupported` means that the sidecar issues no permits.
    pub fn on_request_failed(&mut self, is_unsupported: bool, now: Instant) {
        self.requested_at = None;
        self.last_response = None;
        let pause = match is_unsupported {
            true => RETRY_IF_UNSUPPORTED,
            false => RETRY_AFTER_FAILURE,
        };
        self.unavailable_until = Some(now + pause);
    }

    fn is_unavailable(&self, now: Instant) -> bool {
        self.unavailable_until.is_some_and(|until| now < until)
    }
}

fn elapsed(since: Instant, now: Instant) -> Duration {
    now.saturating_duration_since(since)
}
