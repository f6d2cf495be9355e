//! Logging as JSON lines on standard output, bounded in rate and non-blocking.

mod bounded_writer;
mod json_line;
mod line_budget;
mod start;

pub use {
    bounded_writer::BoundedWriter,
    line_budget::{LineBudget, BYTES_PER_SECOND},
    start::{check_level, start},
};
