//! Addresses that the testkit hands out can be bound immediately.

use {
    anyhow::Result,
    chalkcart_testkit::cluster::next_addr,
    std::{
        net::TcpListener,
        process::Command,
        sync::atomic::{AtomicBool, Ordering},
        thread,
    },
};

const ROUNDS: usize = 1_500;
const THREADS: usize = 4;

/// Guards against: an address that is in use because a process being spawned briefly holds
/// copies of all open sockets.
#[test]
fn an_address_can_be_bound_while_other_threads_spawn_processes() -> Result<()> {
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    // only the spawn matters, not the result
                    let _ = Command::new("true").status();
                }
            });
        }
        let results: Vec<_> = (0..ROUNDS)
            .map(|_| TcpListener::bind(next_addr()))
            .collect();
        is_over.store(true, Ordering::Relaxed);
        for listener in results {
            listener?;
        }
        Ok(())
    })
}
