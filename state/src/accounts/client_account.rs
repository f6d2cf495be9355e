use {
    super::RateLimit,
    crate::regions::AllowedRegions,
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
};

pub type ClientAccountName = String;
/// First 64 bits of the SHA-256 of an account's name, the same in every process.
pub type AccountFingerprint = u64;

/// The client account that an API key belongs to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClientAccount {
    pub name: ClientAccountName,
    #[serde(rename = "mark")]
    pub fingerprint: AccountFingerprint,
    /// Takes precedence over the route's priority; 0 is the most urgent.
    pub priority: u8,
    /// `None` if the account has no rate limit.
    pub limit: Option<RateLimit>,
    /// Regions in which its requests may be served; missing in messages of builds before wire
    /// version 5, which do not support the restriction.
    #[serde(default)]
    pub allowed_regions: AllowedRegions,
}

impl ClientAccount {
    pub fn new(name: &str, priority: u8, limit: Option<RateLimit>) -> Self {
        let digest = Sha256::digest(name.as_bytes());
        let mut head = [0; 8];
        head.copy_from_slice(&digest[..8]);
        Self {
            name: name.to_string(),
            fingerprint: u64::from_be_bytes(head),
            priority,
            limit,
            allowed_regions: AllowedRegions::default(),
        }
    }
    pub fn with_allowed_regions(self, allowed_regions: AllowedRegions) -> Self {
        Self {
            allowed_regions,
            ..self
        }
    }
}
