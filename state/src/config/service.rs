use {
    crate::ids::ServiceName,
    serde::{Deserialize, Serialize},
};

/// A plain service, which is not an inference engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    pub name: ServiceName,
    /// Concurrent calls per target.
    pub max_running: u32,
    /// Whether a call without a reserved id may be retried.
    pub repeatable: bool,
}
