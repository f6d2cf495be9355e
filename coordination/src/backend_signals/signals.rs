use {super::LimitSignal, chalkcart_state::spans::LONGEST_SPAN, std::time::Duration};

/// Signals in the head of one response of a back end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BackendSignals {
    /// Whether the back end is shutting down and accepts no more requests.
    pub is_leaving: bool,
    /// The back end refused a request and asks this entry to send none for this long.
    pub backoff: Option<Duration>,
    /// Request rate that the back end accepts.
    pub limit: LimitSignal,
    /// Remaining time of the slow start: zero if it is over, `None` if the response doesn't
    /// contain it.
    pub slow_start_left: Option<Duration>,
}

impl BackendSignals {
    pub fn new(is_leaving: bool, backoff: Option<Duration>) -> Self {
        Self {
            is_leaving,
            backoff: backoff.map(|backoff| backoff.min(LONGEST_SPAN)),
            limit: LimitSignal::Absent,
            slow_start_left: None,
        }
    }
    pub fn with_limit(self, limit: LimitSignal) -> Self {
        Self { limit, ..self }
    }
    pub fn with_slow_start_left(self, left: Option<Duration>) -> Self {
        let slow_start_left = left.map(|left| left.min(LONGEST_SPAN));
        Self {
            slow_start_left,
            ..self
        }
    }
    /// Returns the codes of the signals present, for logs and metrics.
    pub fn codes(&self) -> impl Iterator<Item = &'static str> {
        let signals = [
            (self.is_leaving, "leaving"),
            (self.backoff.is_some(), "rest"),
            (self.limit.rate().is_some(), "limit"),
            (self.limit == LimitSignal::Unreadable, "limit_unreadable"),
            (self.is_in_slow_start(), "cold"),
        ];
        signals
            .into_iter()
            .filter(|(is_present, _)| *is_present)
            .map(|(_, code)| code)
    }
    pub fn is_in_slow_start(&self) -> bool {
        self.slow_start_left.is_some_and(|left| !left.is_zero())
    }
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
