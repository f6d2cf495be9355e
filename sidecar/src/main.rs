//! The sidecar of an engine or a plain service.

use std::process;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    process::exit(chalkcart_sidecar::cli::run(&args) as i32);
}
