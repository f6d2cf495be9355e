use {
    crate::membership::stable_hash,
    chalkcart_state::backends::AdapterRef,
    std::collections::{HashSet, VecDeque},
};

/// adapters remembered of one engine; the oldest are forgotten. An engine's
/// memory holds more of them
const MOST: usize = 512;

/// hash of an adapter's name, the same in every process
pub type AdapterHash = u64;

pub fn adapter_hash(adapter: &AdapterRef) -> AdapterHash {
    stable_hash(&adapter.to_string())
}

/// Adapters that one incarnation of an engine has held and holds no more. It
/// brings these back from its own memory, in a part of the time that the weight
/// store takes, and at no price.
#[derive(Debug, Clone, Default)]
pub struct RecentAdapters {
    marks: HashSet<AdapterHash>,
    order: VecDeque<AdapterHash>,
}

impl RecentAdapters {
    pub fn insert(&mut self, mark: AdapterHash) {
        if !self.marks.insert(mark) {
            return;
        }
        self.order.push_back(mark);
        if self.order.len() > MOST {
            if let Some(oldest) = self.order.pop_front() {
                self.marks.remove(&oldest);
            }
        }
    }
    pub fn contains(&self, mark: AdapterHash) -> bool {
        self.marks.contains(&mark)
    }
    pub fn clear(&mut self) {
        self.marks.clear();
        self.order.clear();
    }
    /// from the oldest on
    pub fn hashes(&self) -> impl Iterator<Item = AdapterHash> + '_ {
        self.order.iter().copied()
    }
}
