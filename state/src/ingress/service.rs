use {
    crate::ids::{BaseModelName, ServiceName},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A base model as operators describe it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BaseModel {
    pub name: BaseModelName,
    pub weights_mb: f64,
    pub adapter_mb: f64,
    /// Time to load it from the weight store.
    pub load_time: Duration,
    /// Time to load it from the engine's local disk.
    pub reload_time: Duration,
}

/// Capacity of a service's engines.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Concurrent requests.
    pub slots: u32,
    pub adapter_slots: u32,
    /// Memory for base models and adapters together, in MB.
    pub weights_mb: f64,
    pub kv_capacity: u64,
    pub models: Vec<BaseModel>,
}

/// A group of back ends that serve the same requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    pub name: ServiceName,
    /// Path at which a back end reports its identity.
    pub health_path: String,
    /// `None` for a plain service.
    pub engine: Option<EngineSpec>,
    /// Duration of a back end's slow start.
    #[serde(rename = "cold_start")]
    pub slow_start_duration: Duration,
    /// Requests per second sent to a back end in slow start; 0 for no limit.
    #[serde(rename = "cold_per_s")]
    pub slow_start_per_s: f64,
}
