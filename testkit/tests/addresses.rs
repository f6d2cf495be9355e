//! addresses that the testkit hands out can be listened on at once

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

/// a process that is being started holds copies of all open sockets for a
/// moment; an address must not be held up by that
#[test]
fn an_address_is_free_while_other_threads_start_processes() -> Result<()> {
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    // what it does is of no interest
                    let _ = Command::new("true").status();
                }
            });
        }
        let tries: Vec<_> = (0..ROUNDS)
            .map(|_| TcpListener::bind(next_addr()))
            .collect();
        is_over.store(true, Ordering::Relaxed);
        for listener in tries {
            listener?;
        }
        Ok(())
    })
}
