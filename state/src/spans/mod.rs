//! Lengths of time that other systems and processes name, and moments that depend on them.

mod bounded;
mod later;

pub use {
    bounded::{bounded_ms, bounded_secs, LONGEST_SPAN},
    later::later,
};
