use {
    chalkcart_state::{
        config::{digest_of, Root},
        ids::Generation,
    },
    std::cmp::Ordering,
};

/// Decision on a root document that a source offers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferDecision {
    /// Its generation is higher than the one in force.
    Accept,
    /// It is the document in force.
    Unchanged,
    /// Its generation is lower than the one in force: the source is stale.
    Stale { offered: Generation },
    /// Its content differs under the generation in force.
    Conflict,
}

/// Compares an offered root with the one in force.
///
/// Only a higher generation is accepted, so that a lagging source can't revert a change.
pub fn decide_offer(in_force: Option<&Root>, offered: &Root) -> OfferDecision {
    let Some(current) = in_force else {
        return OfferDecision::Accept;
    };
    match offered.generation.cmp(&current.generation) {
        Ordering::Greater => OfferDecision::Accept,
        Ordering::Less => OfferDecision::Stale {
            offered: offered.generation,
        },
        Ordering::Equal if digest_of(offered) == digest_of(current) => OfferDecision::Unchanged,
        Ordering::Equal => OfferDecision::Conflict,
    }
}
