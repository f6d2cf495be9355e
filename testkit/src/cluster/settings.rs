use {
    crate::{configs::Documents, engine::EngineSettings, store::StoreSettings},
    serde_json::{Map, Value},
    std::time::Duration,
};

#[derive(Debug, Clone)]
pub struct ServiceSettings {
    pub name: String,
    /// Time that one call takes.
    pub delay: Duration,
    pub max_running: u32,
}

#[derive(Debug, Clone)]
pub struct ClusterSettings {
    pub documents: Documents,
    /// Zones over which boxes are distributed round-robin.
    pub zones: Vec<String>,
    pub entries: usize,
    pub engines: Vec<EngineSettings>,
    pub services: Vec<ServiceSettings>,
    pub store: StoreSettings,
    /// Whether sidecars are reached through forwarders that can inject faults.
    pub forward_targets: bool,
    /// Whether peers reach entries through forwarders; clients connect directly.
    pub forward_entries: bool,
    /// Keys added to the entries' settings.
    pub entry_settings: Map<String, Value>,
    /// Keys added to the sidecars' settings.
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
