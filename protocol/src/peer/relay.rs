use {
    super::{AdapterDemand, ViewUpdate},
    chalkcart_state::ids::BoxName,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// an entry asks a relay for the views of the engines that it follows
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayAsk {
    pub entry: BoxName,
}

/// what an entry needs of engines, told to a relay; engines that are not named
/// are needed as before
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayDemands {
    pub entry: BoxName,
    /// this replaces all that the entry said before
    pub is_whole: bool,
    pub engines: Vec<EngineDemand>,
}

/// what an entry needs of one engine
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineDemand {
    pub engine: SocketAddr,
    /// none if the entry no longer follows the engine
    pub demand: Option<AdapterDemand>,
}

/// one message of a relay's stream; without news it is a sign of life
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RelayUpdate {
    pub news: Vec<EngineNews>,
}

/// what a relay has heard of one engine
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineNews {
    pub engine: SocketAddr,
    /// time since the relay heard it, in ms
    pub age_ms: u32,
    pub word: EngineWord,
}

/// the word of an engine's sidecar, or that it is silent
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EngineWord {
    View(ViewUpdate),
    Silent,
}
