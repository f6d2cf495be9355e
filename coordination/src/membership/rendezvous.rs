use {
    sha2::{Digest, Sha256},
    std::cmp::Reverse,
};

/// Returns a hash of a name that is the same in every process and build.
pub fn stable_hash(name: &str) -> u64 {
    let digest = Sha256::digest(name.as_bytes());
    let mut head = [0u8; 8];
    head.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(head)
}

/// Returns the rendezvous weight of a member for a key, given the hashes of both. The member
/// with the highest weight is preferred. Mixes the bits like SplitMix64.
pub fn rendezvous_weight(key: u64, member: u64) -> u64 {
    let mut z = key ^ member.rotate_left(32);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Position of a member for a key where members have different capacities: the smallest score is
/// preferred, and a member is preferred for keys in proportion to its capacity. Members of equal
/// capacity are ordered by [`rendezvous_weight`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RendezvousScore {
    /// Bits of a positive float, which are ordered like its value.
    score: u64,
    /// Orders scores that rounding made equal.
    weight: Reverse<u64>,
}

impl RendezvousScore {
    /// `weight` is the [`rendezvous_weight`] of key and member; `capacity` is above 0.
    ///
    /// The score is that of weighted rendezvous hashing, -ln(u) / capacity with u uniform in 0..1.
    /// It changes only with the member's own capacity, so that a change of it moves no key between
    /// two others.
    pub fn new(weight: u64, capacity: f64) -> Self {
        let uniform = (weight as f64 + 1.0) / (u64::MAX as f64 + 1.0);
        let score = uniform.ln().abs() / capacity;
        Self {
            score: score.to_bits(),
            weight: Reverse(weight),
        }
    }
}

/// Returns the members by descending rendezvous weight for a key.
pub fn rank_by_rendezvous<'m, T>(
    key: &str,
    members: impl IntoIterator<Item = &'m T>,
    name: impl Fn(&T) -> &str,
) -> Vec<&'m T> {
    let key = stable_hash(key);
    let mut ranked: Vec<(u64, &T)> = members
        .into_iter()
        .map(|m| (rendezvous_weight(key, stable_hash(name(m))), m))
        .collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| name(a.1).cmp(name(b.1))));
    ranked.into_iter().map(|(_, m)| m).collect()
}
