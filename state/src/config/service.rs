use {
    crate::ids::ServiceName,
    serde::{Deserialize, Serialize},
};

/// a plain service beside the engines
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    pub name: ServiceName,
    /// calls that one target takes at once
    pub max_running: u32,
    /// whether a call without a reserved id may be run again
    pub repeatable: bool,
}
