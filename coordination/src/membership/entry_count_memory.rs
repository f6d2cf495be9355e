use {
    chalkcart_protocol::peer::KnownEntries,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Time for which entries count that nobody hears any more: longer than boxes are cut from each
/// other, since a silent entry may serve on.
const REMEMBERED_FOR: Duration = Duration::from_secs(3_600);
/// Time for which a count must hold. An entry that changes its relay is counted at both for 10 s.
const CONFIRMATION_TIME: Duration = Duration::from_secs(12);
/// Longest time between two counts of one confirmation; a process that was paused begins anew.
const MAX_COUNT_GAP: Duration = Duration::from_secs(2);

/// The highest number of entries that a sidecar counted, kept while entries may serve unheard.
///
/// Silence is no sign that an entry has ended: it may be cut off, slow, or in another part of the
/// fleet. So the number does not fall when entries fall silent, and boxes that start learn it from
/// those that run.
#[derive(Debug, Default)]
pub struct EntryCountMemory {
    /// The counts that may still be confirmed, each with the time since when it holds.
    counts: VecDeque<Counted>,
    counted_at: Option<Instant>,
    highest: Option<Counted>,
    /// What was confirmed last, for the time when the highest count is forgotten.
    latest: Option<Counted>,
}

#[derive(Debug, Clone, Copy)]
struct Counted {
    entries: u32,
    at: Instant,
}

impl EntryCountMemory {
    /// Handles the number of entries that are heard now.
    pub fn on_count(&mut self, entries: u32, now: Instant) {
        let last = self.counted_at.replace(now);
        if last.is_some_and(|last| now.saturating_duration_since(last) > MAX_COUNT_GAP) {
            self.counts.clear();
        }
        if self
            .counts
            .back()
            .is_none_or(|last| last.entries != entries)
        {
            self.counts.push_back(Counted { entries, at: now });
        }
        let holds_long = |count: &Counted| age(count, now) >= CONFIRMATION_TIME;
        while self.counts.get(1).is_some_and(holds_long) {
            self.counts.pop_front();
        }
        if self.counts.front().is_some_and(holds_long) {
            let lowest = self.counts.iter().map(|count| count.entries).min();
            self.on_confirmed(lowest.unwrap_or(0), now);
        }
    }

    /// Handles what another box knows.
    pub fn on_known(&mut self, known: KnownEntries, now: Instant) {
        let age = Duration::from_secs(u64::from(known.age_s));
        if let Some(at) = now.checked_sub(age) {
            self.on_confirmed(known.entries, at);
        }
    }

    /// Returns what is known, for other boxes.
    pub fn known(&self, now: Instant) -> KnownEntries {
        let remembered = |c: &Counted| age(c, now) < REMEMBERED_FOR;
        let highest = self.highest.filter(remembered);
        let counted = highest.or(self.latest.filter(remembered));
        counted.map_or(KnownEntries::default(), |counted| KnownEntries {
            entries: counted.entries,
            age_s: age(&counted, now).as_secs_f64().ceil() as u32,
        })
    }

    fn on_confirmed(&mut self, entries: u32, at: Instant) {
        if entries == 0 {
            return;
        }
        let counted = Counted { entries, at };
        if self.latest.is_none_or(|latest| latest.at <= at) {
            self.latest = Some(counted);
        }
        let is_higher = |highest: Counted| {
            let is_forgotten = age(&highest, at) >= REMEMBERED_FOR;
            entries > highest.entries || is_forgotten || is_recount(&highest, &counted)
        };
        if self.highest.is_none_or(is_higher) {
            self.highest = Some(counted);
        }
    }
}

fn is_recount(before: &Counted, now: &Counted) -> bool {
    before.entries == now.entries && before.at < now.at
}

fn age(counted: &Counted, now: Instant) -> Duration {
    now.saturating_duration_since(counted.at)
}
