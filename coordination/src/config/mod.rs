//! Rules for accepting a configuration and for relying on it.

mod config_lease;
mod generation_rule;

pub use {
    config_lease::ConfigLease,
    generation_rule::{decide_offer, OfferDecision},
};
