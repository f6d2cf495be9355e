use {
    serde::Serialize,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// words of a prompt that count as its prefix
const PREFIX_WORDS: usize = 16;
/// events remembered for readers
const MAX_EVENTS: usize = 1_024;
/// each event with such a number is lost
const LOST_EVERY: u64 = 7;

/// a change of the cache, as the engine tells it: late and with gaps
#[derive(Debug, Clone, Serialize)]
pub struct CacheEvent {
    pub number: u64,
    pub prefix: String,
    pub cached: bool,
    #[serde(skip)]
    visible_from: Option<Instant>,
}

/// prompt prefixes in limited memory
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    lag: Duration,
    prefixes: VecDeque<String>,
    events: VecDeque<CacheEvent>,
    next_event: u64,
}

impl PrefixCache {
    pub fn new(capacity: usize, lag: Duration) -> Self {
        Self {
            capacity,
            lag,
            prefixes: VecDeque::new(),
            events: VecDeque::new(),
            next_event: 0,
        }
    }
    /// whether the prompt's prefix was cached; it is now
    pub fn lookup_or_insert(&mut self, prompt: &str) -> bool {
        let words: Vec<&str> = prompt.split_whitespace().take(PREFIX_WORDS).collect();
        let prefix = words.join(" ");
        if let Some(index) = self.prefixes.iter().position(|p| *p == prefix) {
            self.prefixes.remove(index);
            self.prefixes.push_back(prefix);
            return true;
        }
        if self.prefixes.len() >= self.capacity {
            if let Some(dropped) = self.prefixes.pop_front() {
                self.record_event(dropped, false);
            }
        }
        self.prefixes.push_back(prefix.clone());
        self.record_event(prefix, true);
        false
    }
    /// events after a number that can be seen by now
    pub fn events_after(&self, after: u64, now: Instant) -> Vec<CacheEvent> {
        let events = self.events.iter();
        events
            .filter(|e| e.number > after && e.visible_from.is_none_or(|from| from <= now))
            .cloned()
            .collect()
    }
    fn record_event(&mut self, prefix: String, cached: bool) {
        self.next_event += 1;
        if self.next_event.is_multiple_of(LOST_EVERY) {
            return;
        }
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(CacheEvent {
            number: self.next_event,
            prefix,
            cached,
            visible_from: Some(Instant::now() + self.lag),
        });
    }
}
