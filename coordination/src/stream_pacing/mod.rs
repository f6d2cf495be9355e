//! Protects the decode of running streams from prefill.
//!
//! An engine generates one token for each running stream in a step, and prefills up to a chunk
//! of prompt tokens in the same step. Prompts therefore lengthen the pauses of all streams that
//! run there. For a request and an engine, this module predicts the time of the first event,
//! the longest pause and the end, and bounds the prompt tokens that start on an engine within
//! one gap objective.

mod engine_load;
mod forecast;
mod pacing_inputs;
mod pacing_settings;
mod prefill_window;
mod shortest_run;
mod stream_objectives;

pub use {
    engine_load::EngineLoad,
    forecast::Forecast,
    pacing_inputs::{PacingInputs, PacingOutcome},
    pacing_settings::PacingSettings,
    prefill_window::PrefillWindow,
    shortest_run::ShortestRun,
    stream_objectives::StreamObjectives,
};
