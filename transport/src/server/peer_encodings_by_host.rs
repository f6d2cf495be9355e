use {
    chalkcart_protocol::wire::WireEncoding,
    std::{
        collections::HashMap,
        net::IpAddr,
        sync::{Mutex, MutexGuard},
    },
};

/// machines that are remembered, above the entries and relays that one sidecar hears
const MAX_HOSTS: usize = 1_024;

/// How processes read that say no wire version, by their machines: their messages show it.
///
/// A stream of views is asked for without a word of who asks; a demand, which the same
/// machine sends at least each second, shows how it names lives.
#[derive(Debug, Default)]
pub struct PeerEncodingsByHost(Mutex<HashMap<IpAddr, HostEncoding>>);

#[derive(Debug, Clone, Copy, Default)]
struct HostEncoding {
    /// it names lives by texts
    by_text: bool,
    /// messages of it that could not be read
    unread: u64,
}

impl PeerEncodingsByHost {
    /// a message of a build that says no version named lives by texts, or did not
    pub fn set_text_ids(&self, asker: IpAddr, by_text: bool) {
        self.change(asker, |asker| asker.by_text = by_text);
    }
    /// a message could not be read; gives how many of this machine could not, 0 if they are
    /// not counted
    pub fn count_undecodable(&self, asker: IpAddr) -> u64 {
        self.change(asker, |asker| asker.unread += 1);
        self.askers().get(&asker).map_or(0, |asker| asker.unread)
    }
    /// the form for an asker that says no version
    pub fn encoding_for(&self, asker: IpAddr) -> WireEncoding {
        let by_text = self.askers().get(&asker).is_some_and(|a| a.by_text);
        match by_text {
            true => WireEncoding::NamedTextIds,
            false => WireEncoding::Named,
        }
    }

    fn change(&self, asker: IpAddr, change: impl FnOnce(&mut HostEncoding)) {
        let mut askers = self.askers();
        if askers.len() < MAX_HOSTS || askers.contains_key(&asker) {
            change(askers.entry(asker).or_default());
        }
    }
    fn askers(&self) -> MutexGuard<'_, HashMap<IpAddr, HostEncoding>> {
        // no holder panics halfway through a change
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }
}
