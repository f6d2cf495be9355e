use {
    super::RateLimit,
    crate::regions::AllowedRegions,
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
};

/// name of a client account
pub type ClientAccountName = String;
/// a hash of its name that every process computes alike
pub type AccountFingerprint = u64;

/// whom a key belongs to
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClientAccount {
    pub name: ClientAccountName,
    #[serde(rename = "mark")]
    pub fingerprint: AccountFingerprint,
    /// goes before that of the route; 0 is the most urgent
    pub priority: u8,
    /// none if the account is not limited
    pub limit: Option<RateLimit>,
    /// where its requests may be served; missing: a build before 5, which reads no such bound
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
