use {
    super::LEAST_PER_S,
    chalkcart_protocol::peer::AdmissionReport,
    chalkcart_state::ids::BoxName,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// permits may be saved up for this long, beyond one
const SAVED_FOR: Duration = Duration::from_millis(200);
/// An entry that wants permits asks again within this time; one that does not has given up
/// what it wanted them for, and keeps nobody waiting.
const ASKS_AGAIN_WITHIN: Duration = Duration::from_millis(450);
/// an entry that asks for none is forgotten, with when it was last served, after this time
const KEPT: Duration = Duration::from_secs(10);

/// who asks for permits
#[derive(Debug)]
struct Contender {
    wanted: u32,
    priority: u8,
    heard: Instant,
    last_granted: Option<Instant>,
}

/// Deals out the requests that an engine takes to the entries that want to send some.
///
/// In any time, at most what has become due in it is given out, and what was saved before. A
/// dealer that begins has saved nothing: it does not know what an earlier one gave out.
#[derive(Debug, Default)]
pub struct PermitDealer {
    level: f64,
    counted: Option<Instant>,
    entries: HashMap<BoxName, Contender>,
}

impl PermitDealer {
    /// what an entry is given now, and the time until its next turn
    pub fn deal(&mut self, per_s: f64, report: &AdmissionReport, now: Instant) -> (u32, Duration) {
        let per_s = per_s.max(LEAST_PER_S);
        self.refill(per_s, f64::from(report.unused), now);
        self.hear(report, now);
        if report.wanted == 0 {
            return (0, Duration::ZERO);
        }
        let (rank, contenders) = self.rank_of(&report.entry, now);
        let whole = self.level.max(0.0) as u32;
        let granted = match contenders {
            1 => report.wanted.min(whole),
            _ => u32::from(rank < whole),
        };
        let mut ahead = rank;
        if granted > 0 {
            self.level -= f64::from(granted);
            if let Some(entry) = self.entries.get_mut(&report.entry) {
                entry.wanted -= granted;
                entry.last_granted = Some(now);
            }
            // it is the last now
            ahead = contenders - 1;
        }
        let missing = (f64::from(ahead + 1) - self.level).max(0.0);
        (granted, Duration::from_secs_f64(missing / per_s))
    }

    fn refill(&mut self, per_s: f64, returned: f64, now: Instant) {
        let counted = self.counted.replace(now).unwrap_or(now);
        let due = now.saturating_duration_since(counted).as_secs_f64() * per_s;
        let most = 1.0 + per_s * SAVED_FOR.as_secs_f64();
        self.level = (self.level + due + returned).min(most);
    }

    fn hear(&mut self, report: &AdmissionReport, now: Instant) {
        self.entries
            .retain(|_, e| now.saturating_duration_since(e.heard) < KEPT);
        let known = self.entries.get(&report.entry);
        let last_granted = known.and_then(|known| known.last_granted);
        let contender = Contender {
            wanted: report.wanted,
            priority: report.priority,
            heard: now,
            last_granted,
        };
        self.entries.insert(report.entry.clone(), contender);
    }

    /// how many go before an entry, and how many contend with it in all: the more urgent
    /// first, then those that were not served for longest
    fn rank_of(&self, entry: &BoxName, now: Instant) -> (u32, u32) {
        let contending = self.entries.iter().filter(|(_, e)| {
            e.wanted > 0 && now.saturating_duration_since(e.heard) < ASKS_AGAIN_WITHIN
        });
        let place = |name: &BoxName, e: &Contender| (e.priority, e.last_granted, name.clone());
        let Some(own) = self.entries.get(entry).map(|own| place(entry, own)) else {
            return (0, 0);
        };
        let places: Vec<_> = contending.map(|(name, e)| place(name, e)).collect();
        let before = places.iter().filter(|other| **other < own).count();
        (before as u32, places.len() as u32)
    }
}
