//! The process of an entry box, and the operators' command line.

use std::process;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    process::exit(chalkcart::cli::run(&args) as i32);
}
