use {
    super::{ApiKeyDigest, ClientAccount, ClientAccountName},
    serde::{Deserialize, Serialize},
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
    },
    thiserror::Error,
};

/// client accounts by their keys
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AccountTable {
    by_key: HashMap<ApiKeyDigest, Arc<ClientAccount>>,
    /// keys that more than one account claims; they belong to nobody
    contested: HashSet<ApiKeyDigest>,
}

/// accounts that can't be told apart
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("client accounts {0:?} and {1:?} claim one key: it is refused")]
pub struct DuplicateKey(pub ClientAccountName, pub ClientAccountName);

impl AccountTable {
    /// add an account; gives its keys that another one claims as well
    pub fn add(
        &mut self,
        account: ClientAccount,
        keys: impl IntoIterator<Item = ApiKeyDigest>,
    ) -> Vec<DuplicateKey> {
        let account = Arc::new(account);
        let mut contested = Vec::new();
        for key in keys {
            if self.contested.contains(&key) {
                continue;
            }
            let before = self.by_key.insert(key, account.clone());
            if let Some(other) = before.filter(|other| other.name != account.name) {
                self.by_key.remove(&key);
                self.contested.insert(key);
                contested.push(DuplicateKey(other.name.clone(), account.name.clone()));
            }
        }
        contested
    }

    /// the account that has a key
    pub fn find(&self, key: &ApiKeyDigest) -> Option<&Arc<ClientAccount>> {
        self.by_key.get(key)
    }

    /// all accounts, each once for each of its keys
    pub fn accounts(&self) -> impl Iterator<Item = &Arc<ClientAccount>> {
        self.by_key.values()
    }
}
