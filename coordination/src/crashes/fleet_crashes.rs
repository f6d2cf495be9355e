use std::{
    collections::{HashSet, VecDeque},
    time::Instant,
};

/// Upper bound on the crashes that are kept, the newest.
const MAX_CRASHES: usize = 4_096;

/// Upper bound on the changes of the fleet's size that are kept.
const MAX_SIZES: usize = 256;

/// All crashes of engines that are known, whatever ran there.
#[derive(Debug, Default)]
pub struct FleetCrashes {
    /// Times with the hash of the engine's incarnation, in order.
    crashes: Vec<(Instant, u64)>,
    known: HashSet<u64>,
    /// Number of engines that could take requests, with the time from which on, in order.
    sizes: VecDeque<(Instant, usize)>,
}

impl FleetCrashes {
    /// Sets the number of engines that can take requests now. Returns whether it changed.
    pub fn set_engines(&mut self, engines: usize, now: Instant) -> bool {
        if self
            .sizes
            .back()
            .is_some_and(|(_, known)| *known == engines)
        {
            return false;
        }
        if self.sizes.len() >= MAX_SIZES {
            self.sizes.pop_front();
        }
        self.sizes.push_back((now, engines));
        true
    }

    /// Adds a crash. Returns whether it is new.
    pub fn add(&mut self, incarnation: u64, at: Instant) -> bool {
        if !self.known.insert(incarnation) {
            return false;
        }
        let index = self
            .crashes
            .partition_point(|crash| *crash <= (at, incarnation));
        self.crashes.insert(index, (at, incarnation));
        if self.crashes.len() > MAX_CRASHES {
            let (_, oldest) = self.crashes.remove(0);
            self.known.remove(&oldest);
        }
        true
    }

    /// Returns how many engines crashed from one time to another.
    pub fn count(&self, from: Instant, to: Instant) -> usize {
        let before = self.crashes.partition_point(|(at, _)| *at < from);
        let until = self.crashes.partition_point(|(at, _)| *at <= to);
        until.saturating_sub(before)
    }

    /// Returns how many engines there were in some time, at most; one at least. Those that are down
    /// after a crash are taken as there, so that the crashes of several parts don't hide each other.
    pub fn most_engines(&self, from: Instant, to: Instant) -> usize {
        let first = self.sizes.partition_point(|(at, _)| *at <= from);
        let sizes = self.sizes.iter().skip(first.saturating_sub(1));
        let sizes = sizes.filter(|(at, _)| *at <= to);
        sizes.map(|(_, engines)| *engines).max().unwrap_or(1).max(1)
    }
}
