use {
    crate::ids::{BaseModelName, ServiceName},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// a base model as the operators describe it
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BaseModel {
    pub name: BaseModelName,
    pub weights_mb: f64,
    pub adapter_mb: f64,
    /// time to load it from the weight store
    pub load_time: Duration,
    /// time to load it on an engine that has a copy on its own disk
    pub reload_time: Duration,
}

/// what the engines of a service can hold
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct EngineSpec {
    /// requests that run at once
    pub slots: u32,
    pub adapter_slots: u32,
    /// room for base models and adapters together
    pub weights_mb: f64,
    pub kv_capacity: u64,
    pub models: Vec<BaseModel>,
}

/// a group of back ends that serve the same requests
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    pub name: ServiceName,
    /// at which a back end tells its identity
    pub health_path: String,
    /// what its engines can hold; none for a plain service
    pub engine: Option<EngineSpec>,
    /// how long a back end is cold after its start
    pub cold_start: Duration,
    /// requests a second that a cold one carries; 0 if it is bounded by nothing
    pub cold_per_s: f64,
}
