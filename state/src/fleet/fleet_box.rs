use {
    crate::ids::{BaseModelName, BoxName, ServiceName, ZoneName},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// what a box is for
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// runs `chalkcart`
    Entry,
    /// an engine with a sidecar
    Engine { base_model: BaseModelName },
    /// a plain service with a sidecar
    Service { service: ServiceName },
}

/// what the platform believes of a box
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BoxState {
    Live,
    Leaving,
}

/// one row of the platform's list
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FleetBox {
    pub name: BoxName,
    pub zone: ZoneName,
    /// where the box's chalkcart process listens for its peers
    pub addr: SocketAddr,
    pub role: Role,
    pub state: BoxState,
}
