use {
    super::{BackendId, HeldAdapter, SoftwareVersion},
    crate::ids::{BaseModelName, ServiceName, ZoneName},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// A back end: an engine, or an instance of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    pub id: BackendId,
    pub service: ServiceName,
    pub addr: SocketAddr,
    pub zone: ZoneName,
    /// Concurrent requests.
    pub slots: u32,
    /// Whether it is draining and accepts no new requests.
    pub leaving: bool,
    /// Remaining duration of its slow start, as last reported; it accepts few requests until
    /// then.
    #[serde(rename = "cold_left")]
    pub slow_start_left: Duration,
    /// Base models loaded when the list was written.
    pub models: Vec<BaseModelName>,
    /// Adapters loaded when the list was written.
    pub held: Vec<HeldAdapter>,
    /// Version of the software that it runs; `None` if it is not known yet, or if a relay of a
    /// build before wire version 9 passed the record on.
    #[serde(default)]
    pub software_version: Option<SoftwareVersion>,
}

impl Backend {
    /// Returns whether a later record differs in anything but the loaded models and adapters.
    pub fn differs_beyond_weights(&self, later: &Self) -> bool {
        self.id != later.id
            || self.service != later.service
            || self.addr != later.addr
            || self.zone != later.zone
            || self.slots != later.slots
            || self.leaving != later.leaving
            || self.slow_start_left != later.slow_start_left
            || self.software_version != later.software_version
    }
}

/// The back ends that the platform lists.
pub type BackendList = Vec<Backend>;
