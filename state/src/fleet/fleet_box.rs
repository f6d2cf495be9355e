use {
    crate::ids::{BaseModelName, BoxName, ServiceName, ZoneName},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The role of a box.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Runs the `chalkcart` gateway.
    Entry,
    /// An engine with a sidecar.
    Engine { base_model: BaseModelName },
    /// A plain service with a sidecar.
    Service { service: ServiceName },
}

/// The state of a box as the platform reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BoxState {
    Live,
    Leaving,
}

/// A box in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FleetBox {
    pub name: BoxName,
    pub zone: ZoneName,
    /// Address on which the box's chalkcart process accepts its peers.
    pub addr: SocketAddr,
    pub role: Role,
    pub state: BoxState,
}
