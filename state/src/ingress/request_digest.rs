use {
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::fmt::{self, Display, Formatter},
};

/// 128 bits: among a million requests two different ones meet with a probability of 1e-27
const BYTES: usize = 16;

/// What a request is, whoever tries it and wherever: the same caller that sends the same
/// body to the same path has the same digest at each process, under any request id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestDigest([u8; BYTES]);

impl RequestDigest {
    /// `target` is the path with its query, `caller` the client account, empty where
    /// requests carry no key
    pub fn of(method: &str, target: &str, caller: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [method.as_bytes(), target.as_bytes(), caller.as_bytes()] {
            // with its length, so that no part can pass for the end of another
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(body);
        let whole = hasher.finalize();
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&whole[..BYTES]);
        Self(bytes)
    }
}

impl Display for RequestDigest {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}
