use {
    chalkcart_protocol::wire::{WireEncoding, WireVersion},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
    },
};

/// what is known of how each peer writes
#[derive(Debug, Clone, Default)]
pub struct PeerForms(Arc<Mutex<HashMap<SocketAddr, PeerForm>>>);

#[derive(Debug, Clone, Copy, Default)]
struct PeerForm {
    /// none before an answer, and of a build that says none
    version: Option<WireVersion>,
    /// it reads lives as texts only
    by_text: bool,
}

impl PeerForms {
    /// the form of messages to a peer
    pub fn of(&self, peer: SocketAddr) -> WireEncoding {
        let known = self.peers().get(&peer).copied().unwrap_or_default();
        match (known.version, known.by_text) {
            (None, true) => WireEncoding::NamedTextIds,
            (version, _) => WireEncoding::for_peer(version),
        }
    }
    pub fn version(&self, peer: SocketAddr) -> Option<WireVersion> {
        self.peers().get(&peer)?.version
    }
    /// A peer has answered. It may be another build than before, and says so each time.
    pub fn on_answer(&self, peer: SocketAddr, version: Option<WireVersion>) {
        self.peers().entry(peer).or_default().version = version;
    }
    /// A peer that says no version could not read a message: it is written in the other of
    /// the two forms of such builds from now on.
    pub fn on_unread(&self, peer: SocketAddr) {
        let mut peers = self.peers();
        let known = peers.entry(peer).or_default();
        known.by_text = !known.by_text;
    }

    fn peers(&self) -> MutexGuard<'_, HashMap<SocketAddr, PeerForm>> {
        // no holder panics halfway through a change
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }
}
