use {
    chalkcart_coordination::routing::PolicyName,
    chalkcart_node::settings::{
        check_log, check_not_empty, check_positive, defaults, Checked, SettingsError,
    },
    chalkcart_state::ids::{BoxName, ZoneName},
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
};

/// twice the time between two signs of a target
const MIN_SILENCE_MS: u64 = 500;

/// how targets are chosen
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Routing {
    #[default]
    LeastExpectedWait,
    LeastLoaded,
    PlainHash,
    Random,
}

impl From<Routing> for PolicyName {
    fn from(routing: Routing) -> Self {
        match routing {
            Routing::LeastExpectedWait => Self::LeastExpectedWait,
            Routing::LeastLoaded => Self::LeastLoaded,
            Routing::PlainHash => Self::PlainHash,
            Routing::Random => Self::Random,
        }
    }
}

/// the settings file of `chalkcart serve`
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// the box's name, as the platform lists it
    pub name: BoxName,
    pub zone: ZoneName,
    /// for callers, operators, peers and metrics
    pub listen: SocketAddr,
    /// the platform's configuration service and list of boxes
    pub platform: SocketAddr,
    /// entry boxes to ask before the platform's list is known
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    #[serde(default)]
    pub routing: Routing,
    #[serde(default = "defaults::log")]
    pub log: String,
    /// longest time that a planned stop waits for requests in flight, in ms
    #[serde(default = "defaults::drain_ms")]
    pub drain_ms: u64,
    /// a target that gives no sign for this long is taken for lost, in ms
    #[serde(default = "default_silence_ms")]
    pub silence_ms: u64,
    /// threads for traffic
    #[serde(default = "defaults::threads")]
    pub threads: usize,
}

impl Settings {
    pub fn drain(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
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
            let expected = "500 or more: targets send a sign each 250 ms";
            return Err(SettingsError::value(
                "silence_ms",
                self.silence_ms,
                expected,
            ));
        }
        check_log(&self.log)
    }
}

fn default_silence_ms() -> u64 {
    1_000
}
