//! an open-loop load and a check of every answer

mod answer;
mod calls;
mod open_loop;
mod popularity;
mod report;
mod scrape;

pub use {
    answer::{check_answer, Answer, Verdict},
    calls::{call_once, generate, reserve_for_adapter, reserve_for_service, Failure},
    open_loop::{run_load, LoadSettings, Stream},
    popularity::Popularity,
    report::{ClassReport, LoadReport},
    scrape::{scrape_engines, Scraped},
};
