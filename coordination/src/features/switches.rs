use {
    serde::Deserialize,
    std::fmt::{self, Display, Formatter},
};

/// Switches for features of routing and placement, all on by default. A simpler rule takes the
/// place of a feature that is off, so that its benefit can be measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FeatureSwitches {
    /// Estimates the prefill rate of engines from their responses; otherwise it is a constant.
    pub observed_rate: bool,
    /// Counts the prompts of all entries in an engine's queue; otherwise this entry's only.
    pub prompts_of_all: bool,
    /// Prefers to reload an adapter on an engine that recently held it.
    pub return_home: bool,
    /// Has engines prefill short prompts first and late ones last; otherwise by the route's
    /// priority only.
    pub urgency_by_size: bool,
    /// Where the routes of a service differ in priority, orders prompts by their size relative to
    /// the route's typical one and by the route; otherwise by size and half the priority.
    pub urgency_by_route: bool,
    /// Lets requests of accounts beyond their share of the fleet go after the others of their
    /// kind, without new copies and homes of adapters.
    pub account_shares: bool,
    /// Spreads the retry times of requests rejected for want of room; otherwise they are equal.
    pub spread_retries: bool,
    /// Loads fewer adapters at once on an engine while loads are slow.
    pub loads_by_speed: bool,
    /// Loads a copy only if it is ready before the queue at the holders is processed.
    pub copies_weighed: bool,
    /// Loads copies of adapters in demand on additional engines.
    pub copies: bool,
    /// Loads an adapter with many waiting requests on several engines at first.
    pub several_homes: bool,
    /// While adapter slots are short, loads an adapter on an engine that has it in host memory,
    /// and loads fewer copies; otherwise where the expected wait is shortest.
    pub adapter_affinity: bool,
    /// Rejects a request whose adapter would load too late at once, with a retry time.
    pub early_refusals: bool,
    /// Sends engine views to the entries of a large fleet through a relay of their zone.
    pub relays: bool,
    /// Lets entries watch the platform's store through their relay too.
    pub store_by_relay: bool,
    /// Shares the limits of client accounts among entries by the usage that an aggregator
    /// sums up; otherwise each entry enforces an equal share.
    pub shared_limits: bool,
    /// Takes into account how fast each engine is according to its sidecar, in expected waits,
    /// costs and the choice of homes; otherwise all engines of a service count as equal.
    pub engine_performance: bool,
    /// Without a recent level, an entry keeps to its share of an account's limit by the demand
    /// last known; otherwise to an equal share.
    pub limit_shares_by_demand: bool,
    /// Uses the engine views that sidecars report; otherwise entries rely on the list, the
    /// responses of engines and the loads that they requested.
    pub sidecar_views: bool,
    /// Continues a resumable stream at another engine when its engine fails; otherwise the
    /// response breaks off and the client resumes it.
    pub stream_recovery: bool,
    /// Sends prompts of streams with a gap objective where running streams keep theirs, and
    /// rejects those that no engine can complete by their deadline; otherwise the gap objective
    /// is ignored.
    pub stream_pacing: bool,
}

impl Default for FeatureSwitches {
    fn default() -> Self {
        Self {
            observed_rate: true,
            prompts_of_all: true,
            return_home: true,
            urgency_by_size: true,
            urgency_by_route: true,
            account_shares: true,
            spread_retries: true,
            loads_by_speed: true,
            copies_weighed: true,
            copies: true,
            several_homes: true,
            adapter_affinity: true,
            early_refusals: true,
            relays: true,
            store_by_relay: true,
            shared_limits: true,
            engine_performance: true,
            limit_shares_by_demand: true,
            sidecar_views: true,
            stream_recovery: true,
            stream_pacing: true,
        }
    }
}

impl FeatureSwitches {
    /// Returns the name and the state of each switch.
    fn named_states(&self) -> [(&'static str, bool); 21] {
        [
            ("observed_rate", self.observed_rate),
            ("prompts_of_all", self.prompts_of_all),
            ("return_home", self.return_home),
            ("urgency_by_size", self.urgency_by_size),
            ("urgency_by_route", self.urgency_by_route),
            ("account_shares", self.account_shares),
            ("spread_retries", self.spread_retries),
            ("loads_by_speed", self.loads_by_speed),
            ("copies_weighed", self.copies_weighed),
            ("copies", self.copies),
            ("several_homes", self.several_homes),
            ("adapter_affinity", self.adapter_affinity),
            ("early_refusals", self.early_refusals),
            ("relays", self.relays),
            ("store_by_relay", self.store_by_relay),
            ("shared_limits", self.shared_limits),
            ("engine_performance", self.engine_performance),
            ("limit_shares_by_demand", self.limit_shares_by_demand),
            ("sidecar_views", self.sidecar_views),
            ("stream_recovery", self.stream_recovery),
            ("stream_pacing", self.stream_pacing),
        ]
    }
}

/// Lists the switches that are off.
impl Display for FeatureSwitches {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let off = self.named_states().into_iter().filter(|(_, is_on)| !is_on);
        let off: Vec<&str> = off.map(|(name, _)| name).collect();
        match off.is_empty() {
            true => write!(f, "all on"),
            false => write!(f, "off: {}", off.join(", ")),
        }
    }
}
