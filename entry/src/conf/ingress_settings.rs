use {
    chalkcart_coordination::{
        features::FeatureSwitches, limits::LimitSettings, relay::MIN_ENGINES_FOR_RELAYS,
    },
    chalkcart_node::settings::{
        check_log, check_not_empty, check_positive, defaults, Checked, SettingsError,
    },
    chalkcart_state::ids::{BoxName, RegionName, ZoneName},
    serde::Deserialize,
    std::{collections::HashMap, net::SocketAddr, time::Duration},
};

/// the settings file of `chalkcart ingress`
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IngressSettings {
    /// the box's name
    pub name: BoxName,
    pub zone: ZoneName,
    /// the region of each availability zone
    #[serde(default)]
    pub regions: HashMap<ZoneName, RegionName>,
    /// for clients
    pub clients: SocketAddr,
    /// for the platform's question whether this process takes connections
    pub readiness: SocketAddr,
    /// for operators' tools
    pub metrics: SocketAddr,
    /// the platform's store
    pub store: SocketAddr,
    /// port at which sidecars listen, on the addresses of their engines
    pub sidecar_port: u16,
    /// time between SIGTERM and SIGKILL, in s
    pub grace_s: f64,
    /// repeats for each request of a service, over all entries
    pub retry_ratio: f64,
    /// repeats beyond that in a window, over all entries
    pub retry_extra: f64,
    pub retry_window_s: f64,
    /// the whole system starts for the first time: no former life of this process has
    /// used a part of what it may repeat
    #[serde(default)]
    pub first_start: bool,
    /// a request may begin on the former version of its adapter for this
    /// long, in ms
    pub version_ms: u64,
    /// a key that was taken away is not used any more after this time, in ms; without
    /// it, for as long as nothing newer is known
    #[serde(default)]
    pub revoke_ms: Option<u64>,
    /// whether that holds also on boxes that are cut off
    #[serde(default = "default_revoke_strict")]
    pub revoke_strict: bool,
    /// in each window of so many s, an account may have (rate x window + burst) x
    /// (1 + overage) + slack run
    #[serde(default = "default_quota_window")]
    pub quota_window_s: f64,
    #[serde(default)]
    pub quota_overage: f64,
    #[serde(default)]
    pub quota_slack: f64,
    /// a back end that leaves gets no more requests after this time, in ms
    pub drain_ms: u64,
    /// a change of the configuration is in force everywhere after this time, in ms
    #[serde(default = "default_config_apply")]
    pub config_apply_ms: u64,
    /// reading calls that the store answers in a second, to all processes
    pub store_reads_per_s: f64,
    /// engines from which on this entry hears them by a relay
    #[serde(default = "default_relays_from")]
    pub relays_from_engines: usize,
    /// values that the platform left out, for the log
    #[serde(default)]
    pub defaulted: Vec<String>,
    /// which mechanisms of decision are at work
    #[serde(default)]
    pub mechanisms: FeatureSwitches,
    #[serde(default = "defaults::log")]
    pub log: String,
}

impl IngressSettings {
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }
    /// time after which a key that was taken away must not be used on any box
    pub fn revoked_within(&self) -> Option<Duration> {
        let bound = self.revoke_ms.filter(|_| self.revoke_strict);
        bound.map(Duration::from_millis)
    }
    pub fn limits(&self) -> LimitSettings {
        LimitSettings {
            window: Duration::from_secs_f64(self.quota_window_s),
            overage: self.quota_overage,
            slack: self.quota_slack,
        }
    }
}

impl Checked for IngressSettings {
    fn check(&self) -> Result<(), SettingsError> {
        check_not_empty("name", &self.name, "the box's name")?;
        check_not_empty("zone", &self.zone, "the availability zone")?;
        check_positive("sidecar_port", u64::from(self.sidecar_port))?;
        check_positive("version_ms", self.version_ms)?;
        check_positive("drain_ms", self.drain_ms)?;
        check_positive("config_apply_ms", self.config_apply_ms)?;
        check_number("store_reads_per_s", self.store_reads_per_s)?;
        check_number("grace_s", self.grace_s)?;
        check_number("retry_ratio", self.retry_ratio)?;
        check_number("retry_extra", self.retry_extra)?;
        check_number("retry_window_s", self.retry_window_s)?;
        if let Some(revoke_ms) = self.revoke_ms {
            check_positive("revoke_ms", revoke_ms)?;
        }
        check_number("quota_window_s", self.quota_window_s)?;
        check_number("quota_overage", self.quota_overage)?;
        check_number("quota_slack", self.quota_slack)?;
        check_log(&self.log)
    }
}

fn default_relays_from() -> usize {
    MIN_ENGINES_FOR_RELAYS
}

/// ms, the shortest time on the pages of the platform's sites
fn default_config_apply() -> u64 {
    2_000
}

/// the careful choice
fn default_revoke_strict() -> bool {
    true
}

/// s, as on the pages of the platform's sites
fn default_quota_window() -> f64 {
    8.0
}

fn check_number(key: &'static str, value: f64) -> Result<(), SettingsError> {
    match value.is_finite() && value >= 0.0 {
        true => Ok(()),
        false => Err(SettingsError::value(key, value, "0 or more")),
    }
}
