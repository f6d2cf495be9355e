//! what a back end says of itself in the head of an answer, whatever it answers

mod limit;
mod word;

pub use {
    limit::{LimitWord, RequestRate},
    word::OwnWord,
};
