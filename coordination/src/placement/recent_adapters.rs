use {
    crate::membership::stable_hash,
    chalkcart_state::backends::AdapterRef,
    std::collections::{HashSet, VecDeque},
};

/// Adapters remembered per engine, fewer than fit an engine's host cache.
const MAX_ADAPTERS: usize = 512;

/// Hash of an adapter's name; all processes compute the same one.
pub type AdapterHash = u64;

pub fn adapter_hash(adapter: &AdapterRef) -> AdapterHash {
    stable_hash(&adapter.to_string())
}

/// Adapters that one incarnation of an engine held recently and has evicted. The
/// engine reloads them from its host cache, faster than from the weight store and
/// without using its bandwidth.
#[derive(Debug, Clone, Default)]
pub struct RecentAdapters {
    hashes: HashSet<AdapterHash>,
    order: VecDeque<AdapterHash>,
}

impl RecentAdapters {
    pub fn insert(&mut self, hash: AdapterHash) {
        if !self.hashes.insert(hash) {
            return;
        }
        self.order.push_back(hash);
        if self.order.len() > MAX_ADAPTERS {
            if let Some(oldest) = self.order.pop_front() {
                self.hashes.remove(&oldest);
            }
        }
    }
    pub fn contains(&self, hash: AdapterHash) -> bool {
        self.hashes.contains(&hash)
    }
    pub fn clear(&mut self) {
        self.hashes.clear();
        self.order.clear();
    }
    /// Returns the hashes, oldest first.
    pub fn hashes(&self) -> impl Iterator<Item = AdapterHash> + '_ {
        self.order.iter().copied()
    }
}
