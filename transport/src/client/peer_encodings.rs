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
pub struct PeerEncodings(Arc<Mutex<HashMap<SocketAddr, PeerEncoding>>>);

#[derive(Debug, Clone, Copy, Default)]
struct PeerEncoding {
    /// none before an answer, and of a build that says none
    version: Option<WireVersion>,
    /// it reads lives as texts only
    has_text_ids: bool,
}

impl PeerEncodings {
    /// the form of messages to a peer
    pub fn encoding_for(&self, peer: SocketAddr) -> WireEncoding {
        let known = self.peers().get(&peer).copied().unwrap_or_default();
        match (known.version, known.has_text_ids) {
            (None, true) => WireEncoding::NamedTextIds,
            (version, _) => WireEncoding::for_peer(version),
        }
    }
    pub fn version(&self, peer: SocketAddr) -> Option<WireVersion> {
        self.peers().get(&peer)?.version
    }
    /// A peer has answered. It may be another build than before, and says so each time.
    pub fn on_response(&self, peer: SocketAddr, version: Option<WireVersion>) {
        self.peers().entry(peer).or_default().version = version;
    }
    /// A peer that says no version could not read a message: it is written in the other of
    /// the two encodings of such builds from now on.
    pub fn on_message_rejected(&self, peer: SocketAddr) {
        let mut peers = self.peers();
        let known = peers.entry(peer).or_default();
        known.has_text_ids = !known.has_text_ids;
    }

    fn peers(&self) -> MutexGuard<'_, HashMap<SocketAddr, PeerEncoding>> {
        // no holder panics halfway through a change
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }
}
