//! Clients of model engines.

mod engine_client;
mod errors;
mod http_engine;
mod messages;

pub use {
    engine_client::{Engine, EngineEvents, EngineRun},
    errors::EngineError,
    http_engine::{AdapterOrder, HttpEngine},
    messages::{
        AdapterBody, CancelBody, CancelReply, CancelState, EngineEvent, EventBody, FenceBody,
        GenerateBody, OrderReply, ResumeBody, RunningBody, StatusReply,
    },
};
