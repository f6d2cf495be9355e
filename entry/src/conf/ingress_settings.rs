use {
    chalkcart_coordination::{
        features::FeatureSwitches, limits::LimitSettings, relay::MIN_ENGINES_FOR_RELAYS,
    },
    chalkcart_node::settings::{
        check_client_memory, check_log, check_not_empty, check_positive, defaults, Checked,
        SettingsError,
    },
    chalkcart_state::{
        ids::{BoxName, RegionName, ZoneName},
        spans::bounded_secs,
    },
    chalkcart_transport::clients::default_client_bytes,
    serde::Deserialize,
    std::{collections::HashMap, net::SocketAddr, time::Duration},
};

/// The settings file of `chalkcart ingress`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IngressSettings {
    /// Name of the box.
    pub name: BoxName,
    pub zone: ZoneName,
    /// Region of each availability zone.
    #[serde(default)]
    pub regions: HashMap<ZoneName, RegionName>,
    /// Listens for clients.
    pub clients: SocketAddr,
    /// Listens for the platform's readiness checks.
    pub readiness: SocketAddr,
    /// Listens for operators' tools.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Port of the sidecars, on the addresses of their engines.
    pub sidecar_port: u16,
    /// Seconds between SIGTERM and SIGKILL.
    pub grace_s: f64,
    /// Retries allowed per request of a service, over all entries.
    pub retry_ratio: f64,
    /// Additional retries allowed in each window, over all entries.
    pub retry_extra: f64,
    pub retry_window_s: f64,
    /// Whether the whole system starts for the first time, so that no previous incarnation of
    /// this process has used a part of the retry budget.
    #[serde(default)]
    pub first_start: bool,
    /// Milliseconds for which a request may still start on the previous version of its adapter.
    pub version_ms: u64,
    /// Milliseconds after which a revoked API key must be rejected; without it, a key is valid
    /// until its revocation is known.
    #[serde(default)]
    pub revoke_ms: Option<u64>,
    /// Whether `revoke_ms` also holds on boxes that are disconnected from the store.
    #[serde(default = "default_revoke_strict")]
    pub revoke_strict: bool,
    /// Window of the tenants' quotas in seconds. In each window, at most
    /// (rate x window + burst) x (1 + overage) + slack requests of an account run.
    #[serde(default = "default_quota_window_s")]
    pub quota_window_s: f64,
    #[serde(default)]
    pub quota_overage: f64,
    #[serde(default)]
    pub quota_slack: f64,
    /// Milliseconds after which a leaving back end gets no more requests.
    pub drain_ms: u64,
    /// Milliseconds after which a configuration change is in force everywhere.
    #[serde(default = "default_config_apply_ms")]
    pub config_apply_ms: u64,
    /// Milliseconds between the writes of a back end's record.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Read calls per second that the store allows over all processes.
    pub store_reads_per_s: f64,
    /// Minimum number of engines for which this entry receives their views through relays.
    #[serde(default = "default_relays_from_engines")]
    pub relays_from_engines: usize,
    /// Largest response of a back end in bytes, with its head and framing.
    #[serde(default = "default_max_response_bytes")]
    pub max_response_bytes: usize,
    /// Memory of the box in MiB; without it, the system is asked.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Bytes that clients may hold together; a quarter of the memory by default.
    #[serde(default)]
    pub client_bytes: Option<usize>,
    /// Values that the platform left out, for the log.
    #[serde(default)]
    pub defaulted: Vec<String>,
    /// Switches for features of routing and placement.
    #[serde(default)]
    pub mechanisms: FeatureSwitches,
    #[serde(default = "defaults::log")]
    pub log: String,
}

impl IngressSettings {
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }
    pub fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }
    /// Returns the time after which a revoked API key must be rejected on every box, or `None`
    /// if disconnected boxes may go on using it.
    pub fn revocation_bound(&self) -> Option<Duration> {
        let bound = self.revoke_ms.filter(|_| self.revoke_strict);
        bound.map(Duration::from_millis)
    }
    /// Returns the bytes that clients may hold together.
    pub fn client_bytes(&self) -> usize {
        self.client_bytes
            .unwrap_or_else(|| default_client_bytes(self.memory_mb))
    }
    pub fn limits(&self) -> LimitSettings {
        LimitSettings {
            window: Duration::from_secs_f64(self.quota_window_s),
            overage: self.quota_overage,
            slack: self.quota_slack,
            is_share_by_demand: self.mechanisms.limit_shares_by_demand,
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
        check_positive("heartbeat_ms", self.heartbeat_ms)?;
        check_positive("max_response_bytes", self.max_response_bytes as u64)?;
        check_client_memory(self.memory_mb, self.client_bytes)?;
        check_number("store_reads_per_s", self.store_reads_per_s)?;
        check_span("grace_s", self.grace_s)?;
        check_number("retry_ratio", self.retry_ratio)?;
        check_number("retry_extra", self.retry_extra)?;
        check_span("retry_window_s", self.retry_window_s)?;
        if let Some(revoke_ms) = self.revoke_ms {
            check_positive("revoke_ms", revoke_ms)?;
        }
        check_span("quota_window_s", self.quota_window_s)?;
        check_number("quota_overage", self.quota_overage)?;
        check_number("quota_slack", self.quota_slack)?;
        check_log(&self.log)
    }
}

fn default_relays_from_engines() -> usize {
    MIN_ENGINES_FOR_RELAYS
}

/// Returns four times the largest body of a request on the platform's sites.
fn default_max_response_bytes() -> usize {
    16 * 1024 * 1024
}

fn default_heartbeat_ms() -> u64 {
    1_200
}

/// Returns the shortest time among the platform's sites, in milliseconds.
fn default_config_apply_ms() -> u64 {
    2_000
}

fn default_revoke_strict() -> bool {
    true
}

/// Returns the quota window of the platform's sites, in seconds.
fn default_quota_window_s() -> f64 {
    8.0
}

/// Rejects a time in seconds that is negative, no number, or longer than any.
fn check_span(key: &'static str, seconds: f64) -> Result<(), SettingsError> {
    match bounded_secs(seconds) {
        Some(_) => Ok(()),
        None => Err(SettingsError::value(
            key,
            seconds,
            "0 or more, at most 86400",
        )),
    }
}

fn check_number(key: &'static str, value: f64) -> Result<(), SettingsError> {
    match value.is_finite() && value >= 0.0 {
        true => Ok(()),
        false => Err(SettingsError::value(key, value, "0 or more")),
    }
}
