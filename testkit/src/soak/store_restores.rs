use {
    crate::{
        forwarder::LinkFault,
        users_platform::{Fleet, LostWrites, StoreCopy, StoreFault},
    },
    std::collections::{BTreeSet, VecDeque},
};

/// Number of copies that are kept, one for each fault.
const MAX_COPIES: usize = 4;

/// Writes of other systems after each copy, such as heartbeats, so that a restore goes back by many
/// revisions.
const OTHER_WRITES: u64 = 100;

/// Copies of the store to which it may return, and what the returns require of other faults.
#[derive(Debug, Default)]
pub struct StoreRestores {
    copies: VecDeque<StoreCopy>,
    /// Plain back ends that are listed as draining or unreadable.
    leaving: BTreeSet<u8>,
    /// Those among them that were so when the store was restored.
    left: BTreeSet<u8>,
}

impl StoreRestores {
    /// Keeps a copy of the store's present state.
    pub fn copy(&mut self, fleet: &Fleet) {
        if self.copies.len() == MAX_COPIES {
            self.copies.pop_front();
        }
        self.copies.push_back(fleet.store.copy());
        fleet.store.raise_revision(OTHER_WRITES);
    }

    /// Makes the store return to the oldest copy.
    pub fn restore(&mut self, fleet: &Fleet) {
        if let Some(copy) = self.copies.pop_front() {
            fleet.store.restore(&copy, LostWrites::Repeated);
        }
        // Copies of the former era have revisions that were given out again.
        self.copies.clear();
        self.left.extend(&self.leaving);
    }

    pub fn on_leaving(&mut self, plain: u8) {
        self.leaving.insert(plain);
    }
    /// Records that a plain back end is no longer leaving. Returns whether it must return under
    /// another id: one that left in a former era does not return.
    pub fn on_return(&mut self, plain: u8) -> bool {
        self.leaving.remove(&plain);
        self.left.remove(&plain)
    }
}

/// Cuts the ingress off from the store, or ends that.
pub fn cut_off_ingress(fleet: &Fleet, is_cut_off: bool) {
    let fault = match is_cut_off {
        true => LinkFault::Blackhole,
        false => LinkFault::None,
    };
    if let Some(link) = &fleet.store_forwarder {
        link.set_fault(fault);
    }
}

/// Makes the store be away, or respond again.
pub fn set_store_away(fleet: &Fleet, is_away: bool) {
    fleet.store.set_fault(match is_away {
        true => StoreFault::Reset,
        false => StoreFault::None,
    });
}
