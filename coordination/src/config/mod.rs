//! which configuration is in force

mod generation_rule;

pub use generation_rule::{judge_root, Verdict};
