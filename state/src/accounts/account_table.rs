use {
    super::{ApiKeyDigest, ClientAccount, ClientAccountName},
    serde::{Deserialize, Serialize},
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
    },
    thiserror::Error,
};

/// Client accounts by API key.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AccountTable {
    by_key: HashMap<ApiKeyDigest, Arc<ClientAccount>>,
    /// Keys that several accounts list; they identify none of them.
    #[serde(rename = "contested")]
    duplicate_keys: HashSet<ApiKeyDigest>,
}

/// Two accounts that list the same API key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("client accounts {0:?} and {1:?} list the same API key; the key is rejected")]
pub struct DuplicateKey(pub ClientAccountName, pub ClientAccountName);

impl AccountTable {
    /// Adds an account and returns its keys that another account lists as well.
    pub fn add(
        &mut self,
        account: ClientAccount,
        keys: impl IntoIterator<Item = ApiKeyDigest>,
    ) -> Vec<DuplicateKey> {
        let account = Arc::new(account);
        let mut duplicates = Vec::new();
        for key in keys {
            if self.duplicate_keys.contains(&key) {
                continue;
            }
            let previous = self.by_key.insert(key, account.clone());
            if let Some(other) = previous.filter(|other| other.name != account.name) {
                self.by_key.remove(&key);
                self.duplicate_keys.insert(key);
                duplicates.push(DuplicateKey(other.name.clone(), account.name.clone()));
            }
        }
        duplicates
    }

    /// Returns the account with this key.
    pub fn find(&self, key: &ApiKeyDigest) -> Option<&Arc<ClientAccount>> {
        self.by_key.get(key)
    }

    /// Returns all accounts, each once per key.
    pub fn accounts(&self) -> impl Iterator<Item = &Arc<ClientAccount>> {
        self.by_key.values()
    }
}
