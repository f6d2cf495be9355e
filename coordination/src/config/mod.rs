//! which configuration is in force

mod config_lease;
mod generation_rule;

pub use {
    config_lease::ConfigLease,
    generation_rule::{judge_root, OfferDecision},
};
