use {
    chalkcart_coordination::routing::PolicyName,
    chalkcart_node::settings::{
        check_client_memory, check_log, check_not_empty, check_positive, defaults, Checked,
        SettingsError,
    },
    chalkcart_state::ids::{BoxName, ZoneName},
    chalkcart_transport::clients::default_client_bytes,
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
};

/// Twice the heartbeat interval of targets.
const MIN_SILENCE_MS: u64 = 500;

/// How targets are selected.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoutingPolicy {
    #[default]
    LeastExpectedWait,
    LeastLoaded,
    PlainHash,
    Random,
}

impl From<RoutingPolicy> for PolicyName {
    fn from(policy: RoutingPolicy) -> Self {
        match policy {
            RoutingPolicy::LeastExpectedWait => Self::LeastExpectedWait,
            RoutingPolicy::LeastLoaded => Self::LeastLoaded,
            RoutingPolicy::PlainHash => Self::PlainHash,
            RoutingPolicy::Random => Self::Random,
        }
    }
}

/// The settings file of `chalkcart serve`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the box, as in the platform's list.
    pub name: BoxName,
    pub zone: ZoneName,
    /// Listens for callers, operators, peers and metrics.
    pub listen: SocketAddr,
    /// Address of the platform's configuration service and list of boxes.
    pub platform: SocketAddr,
    /// Entries to poll before the platform's list is known.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    #[serde(default)]
    pub routing: RoutingPolicy,
    #[serde(default = "defaults::log")]
    pub log: String,
    /// Milliseconds that a planned stop waits at most for requests in flight.
    #[serde(default = "defaults::drain_ms")]
    pub drain_ms: u64,
    /// Milliseconds without a frame after which a target is considered unresponsive.
    #[serde(default = "default_silence_ms")]
    pub silence_ms: u64,
    /// Number of traffic threads.
    #[serde(default = "defaults::threads")]
    pub threads: usize,
    /// Memory of the box in MiB; without it, the system is asked.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Bytes that clients may hold together; a quarter of the memory by default.
    #[serde(default)]
    pub client_bytes: Option<usize>,
}

impl Settings {
    pub fn drain(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }
    /// Returns the bytes that clients may hold together.
    pub fn client_bytes(&self) -> usize {
        self.client_bytes
            .unwrap_or_else(|| default_client_bytes(self.memory_mb))
    }
    pub fn silence(&self) -> Duration {
        Duration::from_millis(self.silence_ms)
    }
}

impl Checked for Settings {
    fn check(&self) -> Result<(), SettingsError> {
        check_not_empty("name", &self.name, "the box's name")?;
        check_not_empty("zone", &self.zone, "the availability zone")?;
        check_positive("threads", self.threads as u64)?;
        if self.silence_ms < MIN_SILENCE_MS {
            let expected = "500 or more: targets send a heartbeat every 250 ms";

            return Err(SettingsError::value(
                "silence_ms",
                self.silence_ms,
                expected,
            ));
        }
        check_client_memory(self.memory_mb, self.client_bytes)?;
        check_log(&self.log)
    }
}

fn default_silence_ms() -> u64 {
    1_000
}
