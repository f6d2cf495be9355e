use {
    serde::Serialize,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Number of words of a prompt that form its prefix.
const PREFIX_WORDS: usize = 16;
/// Maximum number of events kept for readers.
const MAX_EVENTS: usize = 1_024;
/// Every event whose number is a multiple of this is lost.
const LOST_EVERY: u64 = 7;

/// Change of the cache as reported to readers: delayed and with gaps.
#[derive(Debug, Clone, Serialize)]
pub struct CacheEvent {
    pub number: u64,
    pub prefix: String,
    pub cached: bool,
    #[serde(skip)]
    visible_from: Option<Instant>,
}

/// LRU cache of prompt prefixes.
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
    /// Returns whether the prompt's prefix was cached, and caches it.
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
    /// Returns the events after a number that are visible at a time.
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
