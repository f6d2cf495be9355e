use std::{
    any::Any,
    panic::{self, PanicHookInfo},
    thread,
};

/// Has each panic logged with its thread and place, in whatever thread it happens.
///
/// The standard report goes to standard error, which stops the thread if nobody reads it.
pub fn log_panics() {
    panic::set_hook(Box::new(log_panic));
}

fn log_panic(info: &PanicHookInfo) {
    let thread = thread::current();
    let place = info.location().map(ToString::to_string);
    log::error!(
        thread = thread.name().unwrap_or_default(),
        place = place.unwrap_or_default().as_str(),
        problem = panic_text(info.payload());
        "process: a thread panicked"
    );
}

/// Returns the message of a panic.
pub fn panic_text(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("no message")
}
