//! What a process does after a fault of its own.

mod fault_window;

pub use fault_window::{AfterFault, FaultSettings, FaultWindow};
