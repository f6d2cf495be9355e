//! Configurations for tests.

mod documents;
mod users;

pub use {
    documents::Documents,
    users::{head_office, trentside, UserSize},
};
