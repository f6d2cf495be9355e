use {
    super::{EngineOrder, OrderAnswer, OrderKind},
    std::time::{Duration, Instant},
};

/// Time after which a report is used although it counts no order that was taken: some engines do
/// not count each.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The number of orders that the engine has taken in its current incarnation.
///
/// Each order names the count of the report that it was decided on, and the engine refuses it at
/// any other one. So of all orders decided on the same state one is taken at most, be they of this
/// process or an earlier one, and an order that got no answer takes no place beside a later one.
#[derive(Debug, Clone, Default)]
pub(super) struct OrderCount {
    reported: Option<u64>,
    /// The count that an order which was taken named, and when it was answered.
    taken: Option<(u64, Instant)>,
    /// An order that was refused, and the count it named.
    refused: Option<(u64, OrderKind)>,
}

impl OrderCount {
    pub(super) fn reported(&self) -> Option<u64> {
        self.reported
    }

    /// Records a report. Returns an order that was refused only because the report before this
    /// one was out of date.
    pub(super) fn on_report(&mut self, count: Option<u64>) -> Option<OrderKind> {
        self.reported = count;
        let is_counted = |before: u64| count.is_none_or(|count| count > before);
        if self.taken.is_some_and(|(before, _)| is_counted(before)) {
            self.taken = None;
        }
        let (before, order) = self.refused.take()?;
        (count.is_some() && is_counted(before)).then_some(order)
    }

    pub(super) fn on_answer(&mut self, order: &EngineOrder, answer: &OrderAnswer, now: Instant) {
        let Some(before) = order.expected_count else {
            return;
        };
        match answer {
            OrderAnswer::Taken => self.taken = Some((before, now)),
            OrderAnswer::Busy => self.refused = Some((before, order.kind.clone())),
            _ => {}
        }
    }

    /// Returns whether the last report describes the engine after the last order that was taken.
    pub(super) fn is_current(&self, now: Instant) -> bool {
        self.taken
            .is_none_or(|(_, at)| now.saturating_duration_since(at) >= MAX_WAIT)
    }
}
