use {
    super::{Fault, ScheduledFault, SoakSettings},
    rand::{rngs::StdRng, RngExt, SeedableRng},
    std::{ops::Range, time::Duration},
};

/// Separates the random numbers of the release from those of the other faults.
const SEED_MASK: u64 = 0x7265_6c65_6173_6500;
/// Time until the engines of the other version join, so that streams run before, in s.
const JOIN_AT_S: Range<f64> = 1.5..3.0;
/// Time from the first joining to the first drain, in s: some drain before the last joins.
const DRAIN_AFTER_S: Range<f64> = 0.1..2.0;
/// The same in seeds in which both versions serve for long, and all ends at one moment meanwhile, in
/// s: long enough to take streams up before the first drain.
const LONG_DRAIN_AFTER_S: Range<f64> = 6.0..8.0;
const CUT_IN_LONG_MIX_S: Range<f64> = 0.5..1.5;
/// Time from the first drain to the first end, in s.
const END_AFTER_S: Range<f64> = 0.3..1.5;
/// Time over which engines follow one another, in s.
const STAGGER_S: f64 = 0.4;
/// Moment of the kill before the first engine joins and after the first one ends, in s.
const CUT_BEFORE_S: f64 = 0.3;
const CUT_AFTER_S: f64 = 2.0;
/// Time until what was killed starts again, in s.
const DOWN_S: Range<f64> = 0.3..3.0;
/// Time from the end of a release to the return of the former version, in s.
const RETURN_AFTER_S: Range<f64> = 1.0..3.0;
/// Age of processes that remember all that they saw: over the 30 s for which versions are kept.
const LONG_AGE: Duration = Duration::from_secs(32);
/// One seed in so many has such processes.
const LONG_AGE_EVERY: u64 = 8;

/// Processes that are stopped at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PowerCut {
    pub has_entries: bool,
    pub has_sidecars: bool,
    /// Bits of the entries that get SIGTERM instead of SIGKILL.
    pub terminated: u8,
}

impl PowerCut {
    pub fn is_terminated(&self, entry: usize) -> bool {
        self.terminated >> entry & 1 == 1
    }
}

/// Numbers of engines at the begin and of those that join.
pub(super) fn release_groups(settings: &SoakSettings) -> (Range<u8>, Range<u8>) {
    let old = settings.engines / 2;
    (0..old, old..settings.engines)
}

/// Returns how long all processes run before the faults begin.
pub(super) fn age_before_faults(settings: &SoakSettings) -> Duration {
    match settings.has_releases && settings.seed % LONG_AGE_EVERY == LONG_AGE_EVERY - 1 {
        true => LONG_AGE,
        false => Duration::ZERO,
    }
}

/// Generates a release from the seed, with a moment at which all entries, sidecars or both end; in
/// some seeds the former version returns, with another such moment.
pub(super) fn schedule_release(settings: &SoakSettings) -> Vec<ScheduledFault> {
    let mut rng = StdRng::seed_from_u64(settings.seed ^ SEED_MASK);
    let (old, new) = release_groups(settings);
    let stays = rng.random_ratio(1, 4);
    let leaving = old.start + u8::from(stays)..old.end;
    let mut release = Release {
        rng,
        faults: Vec::new(),
    };
    let begin = release.between(JOIN_AT_S);
    // both versions serve from the start in some seeds
    let is_mixed = release.rng.random_ratio(1, 4);
    let end = release.replace(leaving.clone(), (new.clone(), 1), is_mixed, begin);
    if release.rng.random_ratio(1, 3) {
        let begin = end + release.between(RETURN_AFTER_S);
        release.replace(new, (leaving, 0), false, begin);
    }
    release.faults
}

struct Release {
    rng: StdRng,
    faults: Vec<ScheduledFault>,
}

impl Release {
    /// Replaces engines by those of another version; returns when the last one ends.
    fn replace(
        &mut self,
        leaving: Range<u8>,
        (joining, software): (Range<u8>, u8),
        is_mixed: bool,
        begin: f64,
    ) -> f64 {
        let is_long = self.rng.random_ratio(1, 3);
        let drain_after = match is_long {
            true => LONG_DRAIN_AFTER_S,
            false => DRAIN_AFTER_S,
        };
        let drain = begin + self.between(drain_after);
        let end = drain + self.between(END_AFTER_S);
        for engine in joining {
            let at = match is_mixed {
                true => 0.0,
                false => begin + self.stagger(),
            };
            self.push(at, 0.0, Fault::EngineJoins(engine, software));
        }
        for engine in leaving {
            let stagger = self.stagger();
            self.push(drain + stagger, 0.0, Fault::EngineDrains(engine));
            self.push(end + stagger, 0.0, Fault::EngineEnds(engine));
        }
        let cut = self.power_cut();
        let moment = match is_long {
            true => begin + CUT_IN_LONG_MIX_S.start..begin + CUT_IN_LONG_MIX_S.end,
            false => begin - CUT_BEFORE_S..end + CUT_AFTER_S,
        };
        let at = self.between(moment);
        let down = self.between(DOWN_S);
        self.push(at, down, Fault::PowerCut(cut));
        (end + STAGGER_S).max(at + down)
    }

    fn power_cut(&mut self) -> PowerCut {
        let (has_entries, has_sidecars) = match self.rng.random_range(0..6) {
            0..=2 => (true, false),
            3 => (false, true),
            _ => (true, true),
        };
        let terminated = match self.rng.random_ratio(1, 3) {
            true => self.rng.random(),
            false => 0,
        };
        PowerCut {
            has_entries,
            has_sidecars,
            terminated,
        }
    }

    fn push(&mut self, at_s: f64, duration_s: f64, fault: Fault) {
        self.faults.push(ScheduledFault {
            at: Duration::from_secs_f64(at_s),
            duration: Duration::from_secs_f64(duration_s),
            fault,
        });
    }
    fn between(&mut self, range: Range<f64>) -> f64 {
        self.rng.random_range(range)
    }
    fn stagger(&mut self) -> f64 {
        self.between(0.0..STAGGER_S)
    }
}
