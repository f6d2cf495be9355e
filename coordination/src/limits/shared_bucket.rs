use {
    super::{usage_keeper::AMPLE_PART, LimitBounds, TokenBucket},
    chalkcart_protocol::peer::{AccountLevel, AccountUsage},
    chalkcart_state::{accounts::AccountFingerprint, ids::Incarnation},
    std::time::{Duration, Instant},
};

/// a keeper's word is used for this long, then the entry keeps to its equal part.
/// An account that sends 3.3 times its rate runs 2.1 rates too much in this time,
/// by a window's tolerance of 2.25 rates on the pages
const WORD_HOLDS: Duration = Duration::from_millis(900);
/// What is left of a limit, or was run beyond it, is given out or paid back in about
/// this time. It is longer than it takes all entries to hear of a change.
const LEVELLED_IN_S: f64 = 1.0;
/// Of its equal part of a burst, what an entry may use before it has heard a keeper.
/// What it let run before its start is not known; entries that start again and again
/// must not have a burst each time.
const AT_START_PART: f64 = 0.25;

/// how far an entry that has just started may rely on its keeper
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Youth {
    /// the keeper may not have heard the other entries
    Ignorant,
    /// it has, but it may not know what ran before
    Careful,
    Over,
}

/// what one entry knows of the limit of one account
#[derive(Debug)]
pub(super) struct SharedBucket {
    /// for the whole fleet
    bounds: LimitBounds,
    /// let run here since the start, less what did not run
    taken: i64,
    /// asked for here since the start
    asked: i64,
    /// both when a keeper last answered
    told_taken: i64,
    told_asked: i64,
    /// the keeper that was told of the account
    told_to: Option<Incarnation>,
    heard: Option<HeardLevel>,
    /// the equal part of this entry, for times without a keeper
    own_part: TokenBucket,
    /// when a request was last charged
    pub(super) used: Option<Instant>,
    /// of what was asked for while little is left, the part that may run and did not
    /// yet, in units
    due: f64,
    /// between 0 and 1: entries that hold a part of a request each begin one after
    /// the other
    phase: f64,
    /// those that were refused come back one after the other
    pub(super) returns_at: Instant,
}

/// a keeper's word
#[derive(Debug)]
struct HeardLevel {
    level: f64,
    asked_per_s: f64,
    /// of this entry, as the keeper knew
    taken: i64,
    at: Instant,
}

impl SharedBucket {
    pub fn new(bounds: LimitBounds, entries: u32, phase: f64, now: Instant) -> Self {
        let part = 1.0 / f64::from(entries.max(1));
        let (per_s, most) = (bounds.granted_per_s * part, bounds.at_once * part);
        let mut own_part = TokenBucket::new(per_s, most, now);
        own_part.set_level(most * AT_START_PART, now);
        Self {
            bounds,
            taken: 0,
            asked: 0,
            told_taken: 0,
            told_asked: 0,
            told_to: None,
            heard: None,
            own_part,
            used: None,
            due: 0.0,
            phase,
            returns_at: now,
        }
    }

    /// the limit or the number of entries has changed
    pub fn set_bounds(&mut self, bounds: LimitBounds, entries: u32, now: Instant) {
        let part = 1.0 / f64::from(entries.max(1));
        let (per_s, most) = (bounds.granted_per_s * part, bounds.at_once * part);
        self.own_part.set_bounds(per_s, most, now);
        self.bounds = bounds;
    }

    pub fn bounds(&self) -> LimitBounds {
        self.bounds
    }

    /// age of the keeper's word, none if there is none that holds
    pub fn word_age(&self, now: Instant) -> Option<Duration> {
        let heard = self.heard.as_ref()?;
        let age = now.saturating_duration_since(heard.at);
        (age <= WORD_HOLDS).then_some(age)
    }

    /// units that the fleet may run at once, by the keeper's word, less what was let
    /// run here since then. What the account is due since then and what others let
    /// run count with the next word.
    pub fn fleet_level(&self, now: Instant) -> Option<f64> {
        self.word_age(now)?;
        let heard = self.heard.as_ref()?;
        Some(heard.level - (self.taken - heard.taken) as f64)
    }

    /// a request came
    pub fn ask(&mut self, charge: u64, now: Instant) {
        self.asked += charge as i64;
        self.used = Some(now);
    }

    /// Decide on a request that came, and take its charge if it may run.
    ///
    /// While much is left each request may run. While little is left, of what clients
    /// ask for at all entries that part may run which the limit has room for; each
    /// entry lets this part of its own run, so that all stay together and nobody
    /// stops. Without a keeper's word an entry keeps to its equal part.
    ///
    /// While it is young nothing counts as much: the keeper may be young as well.
    pub fn take(&mut self, charge: u64, youth: Youth, now: Instant) -> bool {
        let units = charge as f64;
        let word = self.fleet_level(now).filter(|_| youth != Youth::Ignorant);
        let is_young = youth != Youth::Over;
        let may_run = match (word, self.asked_per_s(now)) {
            (Some(level), _) if level >= self.bounds.at_once * AMPLE_PART && !is_young => true,
            // a young keeper's bucket is no evidence that much is left
            (Some(level), Some(asked_per_s)) if is_young => {
                self.is_due(units, level.min(0.0), asked_per_s)
            }
            (Some(level), Some(asked_per_s)) => self.is_due(units, level, asked_per_s),
            (Some(level), None) if !is_young => level > 0.0,
            _ => self.own_part.level(now) > self.phase * units,
        };
        if may_run {
            self.taken += charge as i64;
            self.own_part.spend(units, now);
        }
        may_run
    }

    /// units a second that clients ask for at all entries, none if not known
    pub fn asked_per_s(&self, now: Instant) -> Option<f64> {
        self.word_age(now)?;
        let asked = self.heard.as_ref().map(|heard| heard.asked_per_s);
        asked.filter(|asked| *asked > 0.0)
    }

    /// whether a request is among the part that may run, while little is left
    fn is_due(&mut self, units: f64, level: f64, asked_per_s: f64) -> bool {
        let room_per_s = self.bounds.steady_per_s + level / LEVELLED_IN_S;
        self.due += units * (room_per_s / asked_per_s).clamp(0.0, 1.0);
        let is_due = self.due > units * self.phase;
        if is_due {
            self.due -= units;
        }
        is_due
    }

    /// a request that was charged did not run
    pub fn give_back(&mut self, charge: u64, now: Instant) {
        self.taken -= charge as i64;
        self.own_part.spend(-(charge as f64), now);
    }

    /// units that must become due before a request may run
    pub fn missing(&self, charge: u64, now: Instant) -> f64 {
        match self.fleet_level(now) {
            Some(level) => (charge as f64 - level).max(0.0),
            None => {
                let parts = 1.0 / self.part().max(f64::MIN_POSITIVE);
                (charge as f64 - self.own_part.level(now)).max(0.0) * parts
            }
        }
    }

    pub fn usage(&self, account: AccountFingerprint, entries: u32, now: Instant) -> AccountUsage {
        let own = || self.own_part.level(now) * f64::from(entries.max(1));
        AccountUsage {
            account,
            taken: self.taken,
            asked: self.asked,
            told_taken: self.told_taken,
            told_asked: self.told_asked,
            level: self.fleet_level(now).unwrap_or_else(own),
            per_s: self.bounds.steady_per_s,
            most: self.bounds.at_once,
            in_window: self.bounds.in_window,
        }
    }

    pub fn is_told(&self, keeper: Option<Incarnation>) -> bool {
        keeper.is_some() && self.told_to == keeper
    }
    pub fn has_untold(&self) -> bool {
        (self.taken, self.asked) != (self.told_taken, self.told_asked)
    }

    /// a keeper has said what the fleet may run; `usage` is what it was told, if
    /// the account was in the report
    pub fn on_level(
        &mut self,
        keeper: Incarnation,
        usage: Option<&AccountUsage>,
        level: &AccountLevel,
        now: Instant,
    ) {
        if let Some(usage) = usage {
            self.told_to = Some(keeper);
            (self.told_taken, self.told_asked) = (usage.taken, usage.asked);
        }
        self.hear(level.level, level.asked_per_s, now);
    }

    /// a keeper has not named the account: at least this part of what may run at
    /// once is left
    pub fn on_ample(&mut self, part: f64, now: Instant) {
        self.hear(self.bounds.at_once * part, 0.0, now);
    }

    fn hear(&mut self, level: f64, asked_per_s: f64, now: Instant) {
        self.heard = Some(HeardLevel {
            level,
            asked_per_s,
            taken: self.told_taken,
            at: now,
        });
        // without the keeper this entry goes on with its part of what is due
        let own = self.fleet_level(now).unwrap_or(0.0) * self.part();
        self.own_part.set_level(own, now);
    }

    /// of the whole limit, the equal part of this entry
    fn part(&self) -> f64 {
        self.own_part.per_s() / self.bounds.granted_per_s.max(f64::MIN_POSITIVE)
    }
}
