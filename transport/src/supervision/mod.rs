//! Threads and tasks that a process can't serve without: they outlive a fault, and a process
//! learns when one of them has ended.

mod guard;
mod supervised;
mod thread_end;

pub use {
    guard::{Guard, Step},
    supervised::{contained, supervised},
    thread_end::{thread_end, EndOnDrop, ThreadEnd},
};

use std::any::Any;

/// Returns the message of a panic.
fn panic_text(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("no message")
}
