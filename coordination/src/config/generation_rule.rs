use {
    chalkcart_state::{
        config::{digest_of, Root},
        ids::Generation,
    },
    std::cmp::Ordering,
};

/// what to do with a root document that was offered
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferDecision {
    /// higher than what is in force
    Take,
    /// what is in force already
    Same,
    /// lower than what is in force: a stale source
    Older { offered: Generation },
    /// another content under the generation in force
    Conflict,
}

/// compare an offered root with the one in force.
///
/// Only a higher generation is ever taken, so that nothing that was accepted
/// is taken back by a source that lags.
pub fn judge_root(in_force: Option<&Root>, offered: &Root) -> OfferDecision {
    let Some(current) = in_force else {
        return OfferDecision::Take;
    };
    match offered.generation.cmp(&current.generation) {
        Ordering::Greater => OfferDecision::Take,
        Ordering::Less => OfferDecision::Older {
            offered: offered.generation,
        },
        Ordering::Equal if digest_of(offered) == digest_of(current) => OfferDecision::Same,
        Ordering::Equal => OfferDecision::Conflict,
    }
}
