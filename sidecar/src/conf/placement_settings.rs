use {
    chalkcart_coordination::{
        features::FeatureSwitches,
        relay::{RelayPacing, MIN_ENGINES_FOR_ZONE_RELAYS},
    },
    chalkcart_node::settings::{
        check_client_memory, check_log, check_not_empty, check_positive, defaults, Checked,
        SettingsError,
    },
    chalkcart_state::ids::BoxName,
    chalkcart_transport::clients::default_client_bytes,
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
};

/// The settings file of `chalkcart-sidecar --place`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementSettings {
    /// Name of the box, sent to the engine with each order.
    pub name: BoxName,
    /// Address for entries and operators' tools.
    pub listen: SocketAddr,
    /// Address of the engine on this box.
    pub engine: SocketAddr,
    /// Address of the platform's store, which a relay reads. Without it, a relay handles views
    /// and demands only.
    #[serde(default)]
    pub store: Option<SocketAddr>,
    /// Maximum time until a draining back end gets no more requests, in ms.
    #[serde(default = "default_delay_limit_ms")]
    pub drain_ms: u64,
    /// Maximum time until a change of the configuration is in force on all boxes, in ms.
    #[serde(default = "default_delay_limit_ms")]
    pub config_apply_ms: u64,
    /// Number of watched engines from which a relay reads the engines of other zones through
    /// relays there.
    #[serde(default = "default_zone_relays_from_engines")]
    pub zone_relays_from_engines: usize,
    /// Memory of the box in MiB; without it, the system is asked.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Bytes that callers may hold together; a quarter of the memory by default.
    #[serde(default)]
    pub client_bytes: Option<usize>,
    /// Settings that the platform's file left out, for the log.
    #[serde(default)]
    pub defaulted: Vec<String>,
    #[serde(default)]
    pub mechanisms: FeatureSwitches,
    #[serde(default = "defaults::log")]
    pub log: String,
}

impl PlacementSettings {
    /// Returns the bytes that clients may hold together.
    pub fn client_bytes(&self) -> usize {
        self.client_bytes
            .unwrap_or_else(|| default_client_bytes(self.memory_mb))
    }
    /// Returns the intervals at which a relay reads the store.
    pub fn relay_pacing(&self) -> RelayPacing {
        RelayPacing {
            propagation_limit: Duration::from_millis(self.drain_ms.min(self.config_apply_ms)),
        }
    }
}

/// Returns the shortest time among the platform's sites, in ms.
fn default_delay_limit_ms() -> u64 {
    2_000
}

fn default_zone_relays_from_engines() -> usize {
    MIN_ENGINES_FOR_ZONE_RELAYS
}

impl Checked for PlacementSettings {
    fn check(&self) -> Result<(), SettingsError> {
        check_not_empty("name", &self.name, "the box's name")?;
        check_positive("drain_ms", self.drain_ms)?;
        check_positive("config_apply_ms", self.config_apply_ms)?;
        check_client_memory(self.memory_mb, self.client_bytes)?;
        check_log(&self.log)
    }
}
