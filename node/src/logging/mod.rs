//! logs: lines of JSON on standard output, bounded and never waited for

mod bounded_writer;
mod json_line;
mod line_budget;
mod start;

pub use {
    bounded_writer::BoundedWriter,
    line_budget::{LineBudget, BYTES_PER_SECOND},
    start::{check_level, start},
};
