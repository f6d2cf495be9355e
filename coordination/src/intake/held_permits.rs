use {
    chalkcart_protocol::peer::AdmissionResponse,
    std::time::{Duration, Instant},
};

/// A permit may be used for this long after it was asked for: what the dealer gave out before
/// adds to what it gives out then.
const VALID_FOR: Duration = Duration::from_millis(500);
/// the dealer's word on turns is used for this long
const WORD_HOLDS: Duration = Duration::from_millis(1_500);
/// a dealer that was asked answers within this time; a limit is not given up for its silence
/// before
const ANSWERS_WITHIN: Duration = Duration::from_millis(250);
/// shortest and longest time between two questions
const ASK_EVERY: Duration = Duration::from_millis(40);
const ASK_LATEST: Duration = Duration::from_millis(300);
/// a dealer that does not answer, or does not know the matter, is asked again after this time
const SILENT_FOR: Duration = Duration::from_millis(1_000);
const UNKNOWING_FOR: Duration = Duration::from_secs(5);

/// Permits to send to a limited engine, as its sidecar has dealt them to this entry.
#[derive(Debug, Clone, Default)]
pub struct HeldPermits {
    count: u32,
    valid_until: Option<Instant>,
    /// the last answer came then, and the next turn is then
    answered: Option<(Instant, Instant)>,
    /// a question is on its way since then
    asked: Option<Instant>,
    ask_again: Option<Instant>,
    /// nothing is expected of the dealer before
    is_silent_until: Option<Instant>,
}

impl HeldPermits {
    pub fn count(&self, now: Instant) -> u32 {
        let is_valid = self.valid_until.is_some_and(|until| now < until);
        if is_valid {
            self.count
        } else {
            0
        }
    }
    pub fn on_sent(&mut self) {
        self.count = self.count.saturating_sub(1);
    }

    /// time until the next turn; none if the dealer does not say
    pub fn opens_in(&self, now: Instant) -> Option<Duration> {
        if self.count(now) > 0 {
            return Some(Duration::ZERO);
        }
        if self.is_silent(now) {
            return None;
        }
        let word = self
            .answered
            .filter(|(at, _)| passed(*at, now) < WORD_HOLDS);
        match (word, self.asked) {
            (Some((_, next)), _) => {
                let left = next.saturating_duration_since(now);
                Some(left.max(ASK_EVERY))
            }
            (None, Some(asked)) if passed(asked, now) < ANSWERS_WITHIN => Some(ASK_EVERY),
            (None, Some(_)) => None,
            // it was not asked yet
            (None, None) => Some(ASK_EVERY),
        }
    }

    /// whether the dealer should be asked now
    pub fn is_due(&self, now: Instant) -> bool {
        let is_waited_for = self
            .asked
            .is_some_and(|asked| passed(asked, now) < ANSWERS_WITHIN);
        let is_early = self.ask_again.is_some_and(|at| now < at);
        !is_waited_for && !is_early && !self.is_silent(now)
    }

    /// the dealer is asked; gives the permits that are of no use any more
    pub fn on_asked(&mut self, now: Instant) -> u32 {
        self.asked = Some(now);
        let unused = self.count - self.count(now);
        self.count -= unused;
        unused
    }

    /// it has answered a question that was asked then
    pub fn on_answer(&mut self, answer: &AdmissionResponse, asked: Instant, now: Instant) {
        let next = Duration::from_millis(u64::from(answer.next_ms));
        self.count = self.count(now) + answer.granted;
        if answer.granted > 0 {
            self.valid_until = Some(asked + VALID_FOR);
        }
        self.asked = None;
        self.is_silent_until = None;
        self.answered = Some((now, now + next));
        self.ask_again = Some(now + next.clamp(ASK_EVERY, ASK_LATEST));
    }

    /// it did not answer, or is of a build that deals out nothing
    pub fn on_no_answer(&mut self, is_unknowing: bool, now: Instant) {
        self.asked = None;
        self.answered = None;
        let pause = match is_unknowing {
            true => UNKNOWING_FOR,
            false => SILENT_FOR,
        };
        self.is_silent_until = Some(now + pause);
    }

    fn is_silent(&self, now: Instant) -> bool {
        self.is_silent_until.is_some_and(|until| now < until)
    }
}

fn passed(at: Instant, now: Instant) -> Duration {
    now.saturating_duration_since(at)
}
