//! Open-loop load generator that checks every completion.

mod calls;
mod completion;
mod open_loop;
mod popularity;
mod report;
mod scrape;

pub use {
    calls::{call_once, generate, reserve_for_adapter, reserve_for_service, Failure},
    completion::{check_completion, Completion, CompletionCheck},
    open_loop::{run_load, LoadSettings, RequestStream},
    popularity::Popularity,
    report::{ClassReport, LoadReport},
    scrape::{scrape_engines, HistogramTotals},
};
