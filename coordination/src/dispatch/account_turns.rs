use {chalkcart_state::accounts::AccountFingerprint, std::collections::HashMap};

/// accounts remembered before those without a request that waits are forgotten
const MOST_ACCOUNTS: usize = 1_000;

/// The order of accounts among requests of one priority: start-time fair queueing.
///
/// Each request begins, in virtual time, where the one before it of its account ends,
/// and takes as long as it is large. Those that begin first are served first: an
/// account that asks for much waits behind itself, not before others.
#[derive(Debug, Default)]
pub struct AccountTurns {
    /// beginning of the request that was served last
    now: u64,
    /// where the last request of each account ends
    ends: HashMap<AccountFingerprint, u64>,
}

impl AccountTurns {
    /// the beginning of a request of this size; one without an account comes as it
    /// arrives
    pub fn next(&mut self, account: Option<AccountFingerprint>, size: u32) -> u64 {
        let Some(account) = account else {
            return self.now;
        };
        if self.ends.len() >= MOST_ACCOUNTS {
            let now = self.now;
            self.ends.retain(|_, end| *end > now);
        }
        let end = self.ends.entry(account).or_default();
        let begin = (*end).max(self.now);
        *end = begin + u64::from(size.max(1));
        begin
    }

    /// a request left without having been served: it takes no turn of its account
    pub fn on_left(&mut self, account: Option<AccountFingerprint>, size: u32) {
        let end = account.and_then(|account| self.ends.get_mut(&account));
        if let Some(end) = end {
            *end = end.saturating_sub(u64::from(size.max(1))).max(self.now);
        }
    }

    /// a request that began there was served
    pub fn on_served(&mut self, begin: u64) {
        self.now = self.now.max(begin);
    }
}
