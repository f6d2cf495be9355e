//! the part of a sidecar that passes on between entries which requests engines ended under

mod handlers;
mod keeper;

pub use {handlers::crash_words, keeper::CrashKeeper};
