use {
    crate::{configs::Documents, engine::EngineSettings, store::StoreSettings},
    serde_json::{Map, Value},
    std::time::Duration,
};

/// one plain service of a fleet
#[derive(Debug, Clone)]
pub struct ServiceSettings {
    pub name: String,
    /// time of one call
    pub delay: Duration,
    pub max_running: u32,
}

/// a fleet to start
#[derive(Debug, Clone)]
pub struct ClusterSettings {
    pub documents: Documents,
    /// boxes are spread over them in turn
    pub zones: Vec<String>,
    pub entries: usize,
    pub engines: Vec<EngineSettings>,
    pub services: Vec<ServiceSettings>,
    pub store: StoreSettings,
    /// reach sidecars through forwarders, so that tests can cut them off
    pub forward_targets: bool,
    /// the same for what peers ask of entries; callers reach them directly
    pub forward_entries: bool,
    /// keys added to the entries' settings
    pub entry_settings: Map<String, Value>,
    /// keys added to the sidecars' settings
    pub sidecar_settings: Map<String, Value>,
}

impl Default for ClusterSettings {
    fn default() -> Self {
        Self {
            documents: Documents::new(4)
                .with_group("branches", 1)
                .with_base_model("base")
                .with_service("fee-table", 8, false)
                .with_service("rates", 8, true)
                .with_adapters("loan", 20, "branches", "base"),
            zones: vec!["posta".to_string(), "kariakoo".to_string()],
            entries: 2,
            engines: vec![EngineSettings::default(); 2],
            services: vec![ServiceSettings {
                name: "fee-table".to_string(),
                delay: Duration::from_millis(5),
                max_running: 8,
            }],
            store: StoreSettings {
                loads_per_second: 50.0,
                at_once: 10,
                load_time: Duration::from_millis(50),
            },
            forward_targets: false,
            forward_entries: false,
            entry_settings: Map::new(),
            sidecar_settings: Map::new(),
        }
    }
}
