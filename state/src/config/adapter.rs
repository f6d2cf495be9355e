use {
    crate::ids::{AdapterName, BaseModelName, GroupName, VersionNumber, WeightsDigest},
    serde::{Deserialize, Serialize},
};

/// one version of an adapter's weights
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterVersion {
    pub version: VersionNumber,
    /// digest of the weights in the weight store
    pub digest: WeightsDigest,
}

/// a LoRA adapter that a group registered
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    pub name: AdapterName,
    pub group: GroupName,
    pub base_model: BaseModelName,
    /// in rising order of their number
    pub versions: Vec<AdapterVersion>,
}
