use {super::LimitSignal, std::time::Duration};

/// no rest, and no cold time, is longer; it keeps sums of times in range, and is beyond any use of a back end
const LONGEST_REST: Duration = Duration::from_secs(24 * 3_600);

/// what a back end says of itself in the head of an answer
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BackendSignals {
    /// it leaves: it wants no more requests
    pub is_leaving: bool,
    /// it turned a request away, and wants nothing of this entry for so long
    pub rest: Option<Duration>,
    /// how many requests it takes
    pub limit: LimitSignal,
    /// how much longer it is cold; none if it does not say, which proves neither
    pub cold: Option<Duration>,
}

impl BackendSignals {
    pub fn new(is_leaving: bool, rest: Option<Duration>) -> Self {
        Self {
            is_leaving,
            rest: rest.map(|rest| rest.min(LONGEST_REST)),
            limit: LimitSignal::Unsaid,
            cold: None,
        }
    }
    pub fn with_limit(self, limit: LimitSignal) -> Self {
        Self { limit, ..self }
    }
    pub fn with_cold(self, cold: Option<Duration>) -> Self {
        let cold = cold.map(|left| left.min(LONGEST_REST));
        Self { cold, ..self }
    }
    /// the words of it in logs and metrics
    pub fn codes(&self) -> impl Iterator<Item = &'static str> {
        let said = [
            (self.is_leaving, "leaving"),
            (self.rest.is_some(), "rest"),
            (self.limit.named().is_some(), "limit"),
            (self.limit == LimitSignal::Unreadable, "limit_unreadable"),
            (self.is_cold(), "cold"),
        ];
        said.into_iter()
            .filter(|(is_said, _)| *is_said)
            .map(|(_, code)| code)
    }
    pub fn is_cold(&self) -> bool {
        self.cold.is_some_and(|left| !left.is_zero())
    }
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
