use {chalkcart_state::accounts::AccountFingerprint, std::collections::HashMap};

/// Accounts tracked before those without a waiting request are dropped.
const MAX_TRACKED_ACCOUNTS: usize = 1_000;

/// Start-time fair queueing of the accounts among requests of one priority.
///
/// A request's start tag is the virtual time at which the previous request of its account
/// finishes; it takes as much virtual time as its size. Requests are served by start tag,
/// so an account with many requests delays only itself.
#[derive(Debug, Default)]
pub struct AccountFairQueueing {
    /// Start tag of the request served last.
    virtual_time: u64,
    /// Finish tag of the last request of each account.
    finish_tags: HashMap<AccountFingerprint, u64>,
}

impl AccountFairQueueing {
    /// Returns the start tag of a request; a request without an account starts at the
    /// current virtual time.
    pub fn next_start_tag(&mut self, account: Option<AccountFingerprint>, size: u32) -> u64 {
        let Some(account) = account else {
            return self.virtual_time;
        };
        if self.finish_tags.len() >= MAX_TRACKED_ACCOUNTS {
            let virtual_time = self.virtual_time;
            self.finish_tags
                .retain(|_, finish_tag| *finish_tag > virtual_time);
        }
        let finish_tag = self.finish_tags.entry(account).or_default();
        let start_tag = (*finish_tag).max(self.virtual_time);
        *finish_tag = start_tag + u64::from(size.max(1));
        start_tag
    }

    /// Handles a request that left without being served: it costs its account nothing.
    pub fn on_withdrawn(&mut self, account: Option<AccountFingerprint>, size: u32) {
        let finish_tag = account.and_then(|account| self.finish_tags.get_mut(&account));
        if let Some(finish_tag) = finish_tag {
            *finish_tag = finish_tag
                .saturating_sub(u64::from(size.max(1)))
                .max(self.virtual_time);
        }
    }

    /// Handles a request with this start tag that was served.
    pub fn on_served(&mut self, start_tag: u64) {
        self.virtual_time = self.virtual_time.max(start_tag);
    }
}
