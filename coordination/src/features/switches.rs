use {
    serde::Deserialize,
    std::fmt::{self, Display, Formatter},
};

/// Switches for features of routing and placement, all on by default. A simpler rule takes the
/// place of a feature that is off, so that its benefit can be measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FeatureSwitches {
    /// the prefill rate of engines is estimated from their responses; otherwise it is a constant
    pub observed_rate: bool,
    /// an engine's queue includes the prompts of all entries; otherwise this entry's only
    pub prompts_of_all: bool,
    /// an adapter is preferably reloaded on an engine that recently held it
    pub return_home: bool,
    /// engines prefill short prompts first and late ones last; otherwise by the route's
    /// priority only
    pub urgency_by_size: bool,
    /// an engine loads fewer adapters at once while loads are slow
    pub loads_by_speed: bool,
    /// a copy is loaded only if it is ready before the queue is processed
    pub copies_weighed: bool,
    /// adapters in demand are loaded on additional engines
    pub copies: bool,
    /// an adapter with many waiting requests is first loaded on several engines
    pub several_homes: bool,
    /// a request whose adapter would load too late is rejected early, with a retry time
    pub early_refusals: bool,
    /// entries of a large fleet receive engine views through a relay of their zone
    pub relays: bool,
    /// they also watch the platform's store through it
    pub store_by_relay: bool,
    /// entries share the limits of client accounts by the usage that an aggregator reports;
    /// otherwise each entry enforces an equal share
    pub shared_limits: bool,
    /// entries use the engine views that sidecars report; otherwise they use the list, the
    /// responses of engines and the loads that they requested
    pub sidecar_views: bool,
}

impl Default for FeatureSwitches {
    fn default() -> Self {
        Self {
            observed_rate: true,
            prompts_of_all: true,
            return_home: true,
            urgency_by_size: true,
            loads_by_speed: true,
            copies_weighed: true,
            copies: true,
            several_homes: true,
            early_refusals: true,
            relays: true,
            store_by_relay: true,
            shared_limits: true,
            sidecar_views: true,
        }
    }
}

impl FeatureSwitches {
    /// Returns the name and the state of each switch.
    fn rows(&self) -> [(&'static str, bool); 13] {
        [
            ("observed_rate", self.observed_rate),
            ("prompts_of_all", self.prompts_of_all),
            ("return_home", self.return_home),
            ("urgency_by_size", self.urgency_by_size),
            ("loads_by_speed", self.loads_by_speed),
            ("copies_weighed", self.copies_weighed),
            ("copies", self.copies),
            ("several_homes", self.several_homes),
            ("early_refusals", self.early_refusals),
            ("relays", self.relays),
            ("store_by_relay", self.store_by_relay),
            ("shared_limits", self.shared_limits),
            ("sidecar_views", self.sidecar_views),
        ]
    }
}

/// Lists the switches that are off.
impl Display for FeatureSwitches {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let off = self.rows().into_iter().filter(|(_, is_on)| !is_on);
        let off: Vec<&str> = off.map(|(name, _)| name).collect();
        match off.is_empty() {
            true => write!(f, "all on"),
            false => write!(f, "off: {}", off.join(", ")),
        }
    }
}
