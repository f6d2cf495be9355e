use {
    crate::ids::{AdapterName, BaseModelName, GroupName, VersionNumber, WeightsDigest},
    serde::{Deserialize, Serialize},
};

/// A version of an adapter's weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterVersion {
    pub version: VersionNumber,
    /// Digest of the weights in the weight store.
    pub digest: WeightsDigest,
}

/// A LoRA adapter registered by a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    pub name: AdapterName,
    pub group: GroupName,
    pub base_model: BaseModelName,
    /// In ascending order of their number.
    pub versions: Vec<AdapterVersion>,
}
