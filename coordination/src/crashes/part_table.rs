use {
    super::{crash_record::RETENTION, part_history::PartHistory},
    chalkcart_state::ingress::PartId,
    std::{collections::HashMap, time::Instant},
};

/// Upper bound on the parts whose crashes are kept: 56 crashes of engines with 24 requests of three
/// parts each that no other request has; 24 MB if each has all crashes and good runs that are kept.
pub const MAX_TRACKED_PARTS: usize = 4_096;
/// One in this many parts is evicted when the table is full.
const EVICTION_DIVISOR: usize = 4;

/// Histories of the parts under which engines crashed, of bounded number.
#[derive(Debug, Default)]
pub struct PartTable {
    histories: HashMap<PartId, PartHistory>,
}

impl PartTable {
    pub fn is_empty(&self) -> bool {
        self.histories.is_empty()
    }
    pub fn iter(&self) -> impl Iterator<Item = (&PartId, &PartHistory)> {
        self.histories.iter()
    }
    pub fn get(&self, part: &PartId) -> Option<&PartHistory> {
        self.histories.get(part)
    }
    pub fn get_mut(&mut self, part: &PartId) -> Option<&mut PartHistory> {
        self.histories.get_mut(part)
    }

    /// Notes that a part is used now.
    pub fn on_used(&mut self, part: &PartId, now: Instant) {
        if let Some(history) = self.histories.get_mut(part) {
            history.last_used = now;
        }
    }

    /// Returns the history of a part that is reported now, and makes it if there is none.
    pub fn reported(&mut self, part: PartId, now: Instant) -> &mut PartHistory {
        if self.histories.len() >= MAX_TRACKED_PARTS && !self.histories.contains_key(&part) {
            self.evict(now);
        }
        let history = self.histories.entry(part);
        let history = history.or_insert_with(|| PartHistory::new(now));
        history.last_used = now;
        history
    }

    /// Removes the parts that nobody has used for a long time.
    pub fn remove_expired(&mut self, now: Instant) {
        self.histories.retain(|_, history| {
            let unused = now.saturating_duration_since(history.last_used);
            unused < RETENTION
        });
    }

    /// Evicts the parts with the fewest crashes, and among these the least recently used, so that
    /// a flood of new ones doesn't displace those already blocked.
    fn evict(&mut self, now: Instant) {
        self.remove_expired(now);
        let histories = self.histories.iter();
        let mut ranked: Vec<(usize, Instant, PartId)> = histories
            .map(|(part, history)| (history.crashes().len(), history.last_used, *part))
            .collect();
        ranked.sort_unstable();
        let room = MAX_TRACKED_PARTS / EVICTION_DIVISOR;
        let excess = (ranked.len() + room).saturating_sub(MAX_TRACKED_PARTS);
        for (_, _, part) in ranked.into_iter().take(excess) {
            self.histories.remove(&part);
        }
    }
}
