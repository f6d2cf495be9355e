use {super::ExpectedTime, std::time::Instant};

/// Until when a process that stops sends a request to a back end.
///
/// A request that is cut at the end of the grace has run, and its caller doesn't know. One that is
/// declined before it is sent can be served by another entry.
#[derive(Debug, Clone, Copy)]
pub struct LastStart {
    /// Until then requests are accepted, which are owed their end if that is likely.
    pub accepts_until: Instant,
    /// When the process exits.
    pub exits_at: Instant,
}

impl LastStart {
    /// Returns whether a request may be sent now. One that ends with its deadline before the process
    /// does may be, and one of which nothing is known; in the time in which requests are accepted one
    /// that usually ends in time, after it one that does so almost surely.
    pub fn may_start(
        &self,
        expected: Option<ExpectedTime>,
        deadline: Instant,
        now: Instant,
    ) -> bool {
        let left = self.exits_at.saturating_duration_since(now);
        let is_early = now < self.accepts_until;
        let needed = expected.map(|time| if is_early { time.usual } else { time.long });
        deadline <= self.exits_at || needed.is_none_or(|needed| needed <= left)
    }
}
