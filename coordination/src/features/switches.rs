use {
    serde::Deserialize,
    std::fmt::{self, Display, Formatter},
};

/// A switch for each mechanism of decision, all on unless the settings say
/// otherwise. One that is off leaves a plain rule in its place, so that its worth
/// can be measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FeatureSwitches {
    /// the rate at which engines read prompts is observed; else a constant
    pub observed_rate: bool,
    /// prompts that other entries have sent to an engine count in its queue
    pub prompts_of_all: bool,
    /// an adapter goes back to an engine that held it lately, before any other
    pub return_home: bool,
    /// engines read short prompts first, and late ones last; else by the route's
    /// priority alone
    pub urgency_by_size: bool,
    /// an engine loads fewer adapters at once while loads are slow
    pub loads_by_speed: bool,
    /// a copy is made only where it comes before the queue is over
    pub copies_weighed: bool,
    /// an adapter in demand gets copies
    pub copies: bool,
    /// an adapter that many wait for is loaded at several engines
    pub several_homes: bool,
    /// a request whose adapter comes too late is told early when to come back
    pub early_refusals: bool,
    /// entries of a large fleet hear engines by a relay of their zone
    pub relays: bool,
    /// they also hear the platform's store by it
    pub store_by_relay: bool,
    /// entries share the limits of client accounts by what a keeper says; else each
    /// keeps to its equal part
    pub shared_limits: bool,
    /// entries hear what sidecars say of their engines; else they go by the list, by what
    /// engines answer and by what sidecars were asked for
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

/// the names of those that are off
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
