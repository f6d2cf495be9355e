use {
    chalkcart_coordination::{features::FeatureSwitches, relay::RelayPacing},
    chalkcart_node::settings::{
        check_log, check_not_empty, check_positive, defaults, Checked, SettingsError,
    },
    chalkcart_state::ids::BoxName,
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
};

/// the settings file of `chalkcart-sidecar --place`
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementSettings {
    /// the box's name, and who gives orders to the engine
    pub name: BoxName,
    /// for entries and operators' tools
    pub listen: SocketAddr,
    /// the engine on this box
    pub engine: SocketAddr,
    /// the platform's store, read while this process is a relay; without it a
    /// relay passes on views and demands alone
    #[serde(default)]
    pub store: Option<SocketAddr>,
    /// a back end that leaves gets no more requests after this time, in ms
    #[serde(default = "defaults_drain_ms")]
    pub drain_ms: u64,
    /// a change of the configuration is in force everywhere after this time, in ms
    #[serde(default = "defaults_drain_ms")]
    pub config_apply_ms: u64,
    /// values that the platform left out, for the log
    #[serde(default)]
    pub defaulted: Vec<String>,
    /// which mechanisms of decision are at work
    #[serde(default)]
    pub mechanisms: FeatureSwitches,
    #[serde(default = "defaults::log")]
    pub log: String,
}

impl PlacementSettings {
    /// how often the store is asked while this process is a relay
    pub fn relay_pacing(&self) -> RelayPacing {
        RelayPacing {
            propagation_limit: Duration::from_millis(self.drain_ms.min(self.config_apply_ms)),
        }
    }
}

/// the shortest time on the pages of the platform's sites
fn defaults_drain_ms() -> u64 {
    2_000
}

impl Checked for PlacementSettings {
    fn check(&self) -> Result<(), SettingsError> {
        check_not_empty("name", &self.name, "the box's name")?;
        check_positive("drain_ms", self.drain_ms)?;
        check_positive("config_apply_ms", self.config_apply_ms)?;
        check_log(&self.log)
    }
}
