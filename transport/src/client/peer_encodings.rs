use {
    chalkcart_protocol::wire::{WireEncoding, WireVersion},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
    },
};

/// The message encoding that each peer reads.
#[derive(Debug, Clone, Default)]
pub struct PeerEncodings(Arc<Mutex<HashMap<SocketAddr, PeerEncoding>>>);

#[derive(Debug, Clone, Copy, Default)]
struct PeerEncoding {
    /// `None` before the first response, and for a build that reports no version.
    version: Option<WireVersion>,
    /// Whether the peer reads back-end ids as text only.
    has_text_ids: bool,
}

impl PeerEncodings {
    /// Returns the encoding of messages to a peer.
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
    /// Records the version in a response: a peer may restart as another build.
    pub fn on_response(&self, peer: SocketAddr, version: Option<WireVersion>) {
        self.peers().entry(peer).or_default().version = version;
    }
    /// Switches to the other encoding of builds without a version, after such a peer could
    /// not decode a message.
    pub fn on_message_rejected(&self, peer: SocketAddr) {
        let mut peers = self.peers();
        let known = peers.entry(peer).or_default();
        known.has_text_ids = !known.has_text_ids;
    }

    fn peers(&self) -> MutexGuard<'_, HashMap<SocketAddr, PeerEncoding>> {
        // No holder panics in the middle of an update.
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }
}
