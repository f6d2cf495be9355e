//! Stand-in for an inference engine.

mod batch;
mod engine_stand_in;
mod engine_state;
mod order_error;
mod prefix_cache;
mod routes;
mod settings;
mod text;

pub use {
    engine_stand_in::EngineStandIn,
    engine_state::EngineState,
    settings::{EngineFaults, EngineSettings},
    text::{expected_token, prompt_hash},
};
