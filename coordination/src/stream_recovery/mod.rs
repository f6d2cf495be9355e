//! Continuation of a stream whose engine ended, within the same response.
//!
//! docs/design/stream-recovery.md describes who decides what.

mod event_assembler;
mod event_block;
mod prior_run;
mod recovery_rule;

pub use {
    event_assembler::{EventAssembler, Pushed, StreamEnd, MAX_HELD_BYTES},
    event_block::EventBlock,
    prior_run::{PriorRun, STOP_TIME},
    recovery_rule::{NotResumed, RecoveryInputs, MAX_SENDS_PER_CUT},
};

/// Number of an event in its stream; rises within the stream.
pub type EventId = u64;
