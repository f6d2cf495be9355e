use {
    super::{BackendId, HeldAdapter},
    crate::ids::{BaseModelName, ServiceName, ZoneName},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// one back end, an engine or a copy of a plain service
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    pub id: BackendId,
    pub service: ServiceName,
    pub addr: SocketAddr,
    pub zone: ZoneName,
    /// requests that it runs at once
    pub slots: u32,
    /// takes no new work
    pub leaving: bool,
    /// how much longer it is cold, by its last word: it carries few requests then
    pub cold_left: Duration,
    /// base models that it held when the list was written
    pub models: Vec<BaseModelName>,
    /// adapters that it held when the list was written
    pub held: Vec<HeldAdapter>,
}

impl Backend {
    /// whether a later record of it says more than that it holds something else
    pub fn differs_beyond_weights(&self, later: &Self) -> bool {
        self.id != later.id
            || self.service != later.service
            || self.addr != later.addr
            || self.zone != later.zone
            || self.slots != later.slots
            || self.leaving != later.leaving
            || self.cold_left != later.cold_left
    }
}

/// the platform's list of back ends
pub type BackendList = Vec<Backend>;
