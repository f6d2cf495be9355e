//! Buffering and reordering of response streams.

mod assembler;
mod stream_buffer;

pub use {
    assembler::{Assembler, AssemblerError},
    stream_buffer::StreamBuffer,
};
