//! Prints the encoded sample messages of this build; see docs/design/upgrades.md.

#[path = "../tests/samples/mod.rs"]
mod samples;

fn main() {
    print!("{}", samples::record());
}
