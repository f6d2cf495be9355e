use {
    chalkcart_protocol::wire::WireEncoding,
    std::{
        collections::HashMap,
        net::IpAddr,
        sync::{Mutex, MutexGuard},
    },
};

/// Above the number of entries and relays that call one sidecar.
const MAX_TRACKED_IPS: usize = 1_024;

/// The encodings that callers without a wire version read, by IP address, as seen in their
/// messages.
///
/// A request for a stream of views has no body that shows its sender's encoding, but the same
/// machine sends a demand at least every second, which does.
#[derive(Debug, Default)]
pub struct PeerEncodingsByIp(Mutex<HashMap<IpAddr, IpEncoding>>);

#[derive(Debug, Clone, Copy, Default)]
struct IpEncoding {
    /// Whether its messages have back-end ids as text.
    has_text_ids: bool,
    /// The number of its messages that could not be decoded.
    undecodable: u64,
}

impl PeerEncodingsByIp {
    /// Records whether a message from a build without a wire version has back-end ids as text.
    pub fn set_text_ids(&self, ip: IpAddr, has_text_ids: bool) {
        self.update(ip, |known| known.has_text_ids = has_text_ids);
    }
    /// Counts a message that could not be decoded, and returns the count of its address, or 0
    /// if the address is not tracked.
    pub fn count_undecodable(&self, ip: IpAddr) -> u64 {
        self.update(ip, |known| known.undecodable += 1);
        self.encodings()
            .get(&ip)
            .map_or(0, |known| known.undecodable)
    }
    /// Returns the encoding for a caller without a wire version.
    pub fn encoding_for(&self, ip: IpAddr) -> WireEncoding {
        let has_text_ids = self
            .encodings()
            .get(&ip)
            .is_some_and(|known| known.has_text_ids);
        match has_text_ids {
            true => WireEncoding::NamedTextIds,
            false => WireEncoding::Named,
        }
    }

    fn update(&self, ip: IpAddr, update: impl FnOnce(&mut IpEncoding)) {
        let mut encodings = self.encodings();
        if encodings.len() < MAX_TRACKED_IPS || encodings.contains_key(&ip) {
            update(encodings.entry(ip).or_default());
        }
    }
    fn encodings(&self) -> MutexGuard<'_, HashMap<IpAddr, IpEncoding>> {
        // No holder panics in the middle of an update.
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }
}
