use std::{
    collections::HashMap,
    hash::Hash,
    time::{Duration, Instant},
};

/// How long knowledge of an earlier era outweighs the restored store, unless its record is written
/// again: a back end that announced leaving ends within this time, and writers repeat what the
/// store lost.
pub const RESTORED_HOLD: Duration = Duration::from_secs(60);

/// Keys for which knowledge of an earlier era holds, each until a time.
#[derive(Debug)]
pub struct Holds<K>(HashMap<K, Instant>);

impl<K> Default for Holds<K> {
    fn default() -> Self {
        Self(HashMap::new())
    }
}

impl<K: Eq + Hash> Holds<K> {
    /// Holds a key until a time, or longer if it is held already.
    pub fn hold(&mut self, key: K, until: Instant) {
        let held = self.0.entry(key).or_insert(until);
        *held = until.max(*held);
    }
    /// Returns whether the key was held.
    pub fn release(&mut self, key: &K) -> bool {
        self.0.remove(key).is_some()
    }
    pub fn contains(&self, key: &K) -> bool {
        self.0.contains_key(key)
    }
    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.0.keys()
    }
    /// Releases the keys whose time is over; returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.0.len();
        self.0.retain(|_, until| *until > now);
        self.0.len() < before
    }
}
