use {
    super::{EqualShare, HeldPermits, IntakeReason, ShareBasis, LEAST_PER_S},
    crate::own_word::{LimitWord, RequestRate},
    chalkcart_protocol::peer::{AdmissionResponse, ObservedLimit},
    std::time::{Duration, Instant},
};

/// Turns are promised no further ahead than this to requests that are refused: most clients
/// have given up by then.
const TURNS_PROMISED: Duration = Duration::from_secs(5);

/// what a back end says of the requests that it takes
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Said {
    rate: RequestRate,
    /// when the last answer came that named it
    at: Instant,
}

/// who shares a limit
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sharers {
    pub entries: u32,
    /// of this entry for this back end: between 0 and 1, evenly over entries
    pub phase: f64,
    /// a sidecar stands beside the back end, and is heard
    pub has_dealer: bool,
    /// it is an engine, whose sidecar other entries may hear
    pub is_engine: bool,
}

/// what the dealer of a back end's permits has not heard of this entry
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LimitNews {
    pub named: Option<ObservedLimit>,
    pub freed_ago_ms: Option<u32>,
}

/// The requests a second that a back end names, and what of them this entry may send.
#[derive(Debug, Clone, Default)]
pub struct NamedLimit {
    /// in answers to this entry
    said: Option<Said>,
    /// by the word of its sidecar
    told: Option<RequestRate>,
    /// an answer to this entry named none any more
    freed: Option<Instant>,
    /// the dealer must hear what an answer said
    has_news: bool,
    share: Option<EqualShare>,
    permits: HeldPermits,
    has_dealer: bool,
    /// requests that wait for it, and the priority of the most urgent
    wanted: u32,
    priority: u8,
    /// the last of those that were refused is told to come back then
    returns_at: Option<Instant>,
}

impl NamedLimit {
    /// An answer says this, or nothing, to a request that was sent then.
    ///
    /// Answers overtake each other. One to a request that was sent after another answer had
    /// come was surely written later; of two whose order is not known the lower limit holds.
    pub fn on_word(&mut self, word: LimitWord, sent: Instant, sharers: Sharers, now: Instant) {
        let overtaken = self.said.filter(|said| sent < said.at);
        match (word, overtaken) {
            (LimitWord::Unreadable, _) | (LimitWord::Unsaid, Some(_)) => return,
            (LimitWord::Unsaid, None) => {
                self.has_news |= self.named().is_some();
                self.said = None;
                self.told = None;
                self.freed = Some(now);
            }
            (LimitWord::Named(rate), other) => {
                let rate = other.map_or(rate, |other| other.rate.min(rate));
                self.has_news |= self.said.is_none_or(|said| said.rate != rate);
                self.said = Some(Said { rate, at: now });
            }
        }
        self.share_among(sharers, now);
    }

    /// its sidecar says that it names this limit, or none
    pub fn on_told(&mut self, told: Option<RequestRate>, sharers: Sharers, now: Instant) {
        if self.told != told {
            self.told = told;
            self.share_among(sharers, now);
        }
    }

    /// The dealer has answered a question that was asked then. It may have heard of an answer
    /// that named no limit, and that was written after the last one that came here.
    pub fn on_dealt(
        &mut self,
        answer: &AdmissionResponse,
        asked: Instant,
        sharers: Sharers,
        now: Instant,
    ) {
        self.permits.on_answer(answer, asked, now);
        self.told = answer.limit_milli_per_s.map(RequestRate::of_milli);
        let freed = answer.freed_ago_ms.map(|ago| {
            let ago = Duration::from_millis(u64::from(ago));
            now.checked_sub(ago).unwrap_or(now)
        });
        let is_over = |said: &Said| freed.is_some_and(|freed| freed > said.at);
        self.said = self.said.filter(|said| !is_over(said));
        self.share_among(sharers, now);
    }
    /// it did not answer, or is of a build that deals out nothing
    pub fn on_no_deal(&mut self, is_unknowing: bool, now: Instant) {
        self.permits.on_no_answer(is_unknowing, now);
    }

    /// the number of entries, or who stands beside the back end, may be another
    pub fn share_among(&mut self, sharers: Sharers, now: Instant) {
        self.has_dealer = sharers.has_dealer;
        let Some(rate) = self.named() else {
            self.share = None;
            self.wanted = 0;
            return;
        };
        let basis = match sharers.is_engine {
            true => ShareBasis::BesidePermits,
            false => ShareBasis::Alone,
        };
        let (per_s, entries) = (rate.per_s(), sharers.entries);
        match &mut self.share {
            Some(share) => share.set(basis, per_s, entries, now),
            None => {
                let share = EqualShare::new(basis, per_s, entries, sharers.phase, now);
                self.share = Some(share);
            }
        }
    }

    pub fn named(&self) -> Option<RequestRate> {
        let said = self.said.map(|said| said.rate);
        said.into_iter().chain(self.told).min()
    }
    pub fn allows_one(&self, now: Instant) -> bool {
        self.opens_in(now).is_zero()
    }
    /// time until this entry may send one more
    pub fn opens_in(&self, now: Instant) -> Duration {
        let Some(share) = &self.share else {
            return Duration::ZERO;
        };
        self.dealt_in(now).unwrap_or_else(|| share.opens_in(now))
    }
    /// time until it may send this many more, and one
    pub fn opens_after(&self, ahead: u32, now: Instant) -> Duration {
        let Some(share) = &self.share else {
            return Duration::ZERO;
        };
        self.opens_in(now) + self.interval(share, now) * ahead
    }
    pub fn on_sent(&mut self, now: Instant) {
        match (&mut self.share, self.permits.count(now)) {
            (None, _) => {}
            (Some(share), 0) => share.on_sent(now),
            (Some(_), _) => self.permits.on_sent(),
        }
    }

    /// When a request that is refused should come back: each gets a turn of its own, after all
    /// those that were told one before.
    pub fn return_in(&mut self, now: Instant) -> Duration {
        let Some(share) = &self.share else {
            return Duration::ZERO;
        };
        let opens = now + self.opens_in(now);
        let next = self.returns_at.map(|at| at + self.interval(share, now));
        let turn = next.map_or(opens, |at| at.min(now + TURNS_PROMISED));
        let at = turn.max(opens);
        self.returns_at = Some(at);
        at.saturating_duration_since(now)
    }

    /// so many requests wait for it, the most urgent of this priority
    pub fn set_wanted(&mut self, wanted: u32, priority: u8) {
        self.wanted = wanted;
        self.priority = priority;
    }
    pub fn wanted(&self) -> (u32, u8) {
        (self.wanted, self.priority)
    }
    /// whether its dealer should be asked now
    pub fn is_question_due(&self, now: Instant) -> bool {
        let wants = self.wanted > self.permits.count(now) || self.has_news;
        self.has_dealer && wants && self.permits.is_due(now)
    }
    /// the dealer is asked; gives what it has to hear, and the permits that are of no use
    pub fn on_asked(&mut self, now: Instant) -> (LimitNews, u32) {
        self.has_news = false;
        let ms_since = |at: Instant| {
            let passed = now.saturating_duration_since(at).as_millis();
            u32::try_from(passed).unwrap_or(u32::MAX)
        };
        let news = LimitNews {
            named: self.said.map(|said| ObservedLimit {
                milli_per_s: said.rate.milli(),
                ago_ms: ms_since(said.at),
            }),
            freed_ago_ms: self.freed.map(ms_since),
        };
        (news, self.permits.on_asked(now))
    }

    fn dealt_in(&self, now: Instant) -> Option<Duration> {
        let held = self.permits.count(now) > 0;
        (held || self.has_dealer)
            .then(|| self.permits.opens_in(now))
            .flatten()
    }

    /// time between two requests of this entry
    fn interval(&self, share: &EqualShare, now: Instant) -> Duration {
        match (self.dealt_in(now), self.named()) {
            (Some(_), Some(rate)) => Duration::from_secs_f64(1.0 / rate.per_s().max(LEAST_PER_S)),
            _ => share.interval(),
        }
    }
}

impl IntakeReason for NamedLimit {
    fn code(&self) -> &'static str {
        "limited"
    }
    fn closed_for(&self, now: Instant) -> Option<Duration> {
        let opens_in = self.opens_in(now);
        (!opens_in.is_zero()).then_some(opens_in)
    }
}
