use {
    chalkcart_coordination::sidecar::PermitMode,
    chalkcart_node::settings::{
        check_client_memory, check_log, check_not_empty, check_positive, defaults, Checked,
        SettingsError,
    },
    chalkcart_state::ids::{BoxName, ServiceName, ZoneName},
    chalkcart_transport::clients::default_client_bytes,
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
};

/// The target of this sidecar.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum TargetSettings {
    Engine {
        addr: SocketAddr,
    },
    Service {
        addr: SocketAddr,
        service: ServiceName,
        /// Maximum number of concurrent calls.
        max_running: u32,
    },
}

/// How loads are kept within the weight store's rate limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Permits {
    /// An entry issues permits.
    #[default]
    #[serde(rename = "given")]
    Issued,
    /// Loads are not limited.
    #[serde(rename = "none")]
    Unlimited,
    /// The sidecar has a fixed share of the store's rate.
    StaticShare { loads_per_second: f64 },
}

impl From<Permits> for PermitMode {
    fn from(permits: Permits) -> Self {
        match permits {
            Permits::Issued => Self::Issued,
            Permits::Unlimited => Self::Unlimited,
            Permits::StaticShare { loads_per_second } => Self::StaticShare(loads_per_second),
        }
    }
}

/// The settings file of `chalkcart-sidecar`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the box in the platform's list.
    pub name: BoxName,
    pub zone: ZoneName,
    pub listen: SocketAddr,
    pub target: TargetSettings,
    /// Addresses of entries from which the configuration is first read.
    pub entries: Vec<SocketAddr>,
    #[serde(default = "defaults::log")]
    pub log: String,
    /// Maximum duration of a drain, in ms.
    #[serde(default = "defaults::drain_ms")]
    pub drain_ms: u64,
    /// Pause of this process, in ms, after which the target's state must be read again before
    /// the next order.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// Maximum number of remembered reserved ids.
    #[serde(default = "default_id_capacity")]
    pub id_capacity: usize,
    /// Time within which a reserved id may be used, in ms.
    #[serde(default = "default_id_valid_ms")]
    pub id_valid_ms: u64,
    /// Maximum memory of kept responses, in bytes.
    #[serde(default = "default_buffer_bytes")]
    pub buffer_bytes: usize,
    #[serde(default)]
    pub permits: Permits,
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
    pub fn drain_timeout(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }
    /// Returns the bytes that clients may hold together.
    pub fn client_bytes(&self) -> usize {
        self.client_bytes
            .unwrap_or_else(|| default_client_bytes(self.memory_mb))
    }
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }
    pub fn id_validity(&self) -> Duration {
        Duration::from_millis(self.id_valid_ms)
    }
}

impl Checked for Settings {
    fn check(&self) -> Result<(), SettingsError> {
        check_not_empty("name", &self.name, "the box's name")?;
        check_not_empty("zone", &self.zone, "the availability zone")?;
        check_positive("threads", self.threads as u64)?;
        check_positive("lease_ms", self.lease_ms)?;
        check_positive("id_capacity", self.id_capacity as u64)?;
        check_positive("id_valid_ms", self.id_valid_ms)?;
        if self.entries.is_empty() {
            return Err(SettingsError::value("entries", "[]", "one address or more"));
        }
        if let TargetSettings::Service { max_running, .. } = self.target {
            check_positive("target.service.max_running", u64::from(max_running))?;
        }
        if let Permits::StaticShare { loads_per_second } = self.permits {
            if loads_per_second.is_nan() || loads_per_second <= 0.0 {
                let key = "permits.static_share.loads_per_second";
                return Err(SettingsError::value(key, loads_per_second, "more than 0"));
            }
        }
        check_client_memory(self.memory_mb, self.client_bytes)?;
        check_log(&self.log)
    }
}

fn default_lease_ms() -> u64 {
    1_000
}
fn default_id_capacity() -> usize {
    100_000
}
fn default_id_valid_ms() -> u64 {
    600_000
}
fn default_buffer_bytes() -> usize {
    32 * 1024 * 1024
}
