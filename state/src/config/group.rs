use {
    crate::ids::GroupName,
    serde::{Deserialize, Serialize},
};

/// a team that shares the fleet with others
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    pub name: GroupName,
    /// weight of the group against the others, at least 1
    pub share: u32,
}
