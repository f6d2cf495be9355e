use {
    super::crash_record::RETENTION,
    chalkcart_state::ingress::PartId,
    std::{collections::HashMap, time::Instant},
};

/// Upper bound on the parts that are kept, 0.5 MB when full.
const MAX_PARTS: usize = 8_192;
/// Good runs that are counted of each part. A part of which more were counted would cost more engines
/// once it begins to crash them.
pub const MAX_EARLIER_RUNS: u32 = 6;

/// Parts whose prompts were answered to their end a short time ago, before any crash.
#[derive(Debug, Default)]
pub struct SoundParts {
    /// Number of good runs, and the newest.
    parts: HashMap<PartId, (u32, Instant)>,
}

impl SoundParts {
    pub fn on_served(&mut self, part: PartId, now: Instant) {
        if self.parts.len() >= MAX_PARTS && !self.parts.contains_key(&part) {
            self.evict();
        }
        let (runs, newest) = self.parts.entry(part).or_insert((0, now));
        *runs = (*runs + 1).min(MAX_EARLIER_RUNS);
        *newest = now;
    }

    /// Returns how many good runs are known, a few at most.
    pub fn runs_of(&self, part: PartId, now: Instant) -> u32 {
        let recent = self.newest_of(part, now).and(self.parts.get(&part));
        recent.map_or(0, |(runs, _)| *runs)
    }

    /// Returns when the newest good run ended; `None` if that is too long ago.
    pub fn newest_of(&self, part: PartId, now: Instant) -> Option<Instant> {
        let (_, newest) = self.parts.get(&part)?;
        let age = now.saturating_duration_since(*newest);
        (age < RETENTION).then_some(*newest)
    }

    /// Evicts the half that was served longest ago.
    fn evict(&mut self) {
        let mut times: Vec<Instant> = self.parts.values().map(|(_, newest)| *newest).collect();
        times.sort_unstable();
        let kept_from = times[times.len() / 2];
        self.parts.retain(|_, (_, newest)| *newest > kept_from);
    }
}
