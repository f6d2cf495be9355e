use {
    chalkcart_coordination::mechanisms::Mechanisms,
    chalkcart_node::settings::{check_filled, check_log, defaults, Checked, SettingsError},
    chalkcart_state::ids::BoxName,
    serde::Deserialize,
    std::net::SocketAddr,
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
    /// values that the platform left out, for the log
    #[serde(default)]
    pub defaulted: Vec<String>,
    /// which mechanisms of decision are at work
    #[serde(default)]
    pub mechanisms: Mechanisms,
    #[serde(default = "defaults::log")]
    pub log: String,
}

impl Checked for PlacementSettings {
    fn check(&self) -> Result<(), SettingsError> {
        check_filled("name", &self.name, "the box's name")?;
        check_log(&self.log)
    }
}
