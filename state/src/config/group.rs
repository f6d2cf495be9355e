use {
    crate::ids::GroupName,
    serde::{Deserialize, Serialize},
};

/// A tenant, a team that shares the fleet with others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    pub name: GroupName,
    /// Scheduling weight relative to the other groups, at least 1.
    pub share: u32,
}
