//! A process that starts waits for what its machine can't give it at that moment.

use {
    chalkcart_node::runtime::{start_thread_by, until_had, Run},
    rand::{rngs::StdRng, RngExt, SeedableRng},
    std::{
        io,
        sync::mpsc::{channel, Receiver},
        thread,
    },
};

/// Starts a thread after some failures, each of which loses what it was given, and returns what
/// the thread sends.
fn start_after(failures: usize) -> Receiver<()> {
    let (tx, rx) = channel();
    let mut left = failures;
    let spawn = move |run: Run| {
        if left > 0 {
            left -= 1;
            return Err(io::ErrorKind::WouldBlock.into());
        }
        thread::spawn(run);
        Ok(())
    };
    let run = move || tx.send(()).expect("the test waits");
    start_thread_by("test", spawn, Box::new(run));
    rx
}

/// Guards against a process that ends (FAULT) because its machine had no thread to give.
#[test]
fn a_thread_that_cannot_be_started_yet_runs_once_later() {
    let ran = start_after(3);
    assert_eq!(ran.iter().count(), 1);
}

/// Guards against any failures that pass (seeded): errors, and panics of a library, in any order.
#[test]
fn what_fails_in_any_way_for_some_time_is_had_in_the_end() {
    for seed in 0..3 {
        let mut rng = StdRng::seed_from_u64(seed);
        let failures = rng.random_range(1..4);
        let mut tries = 0;
        let had = until_had("something", || {
            tries += 1;
            match tries <= failures {
                true if rng.random_bool(0.5) => panic!("no descriptor"),
                true => Err(io::ErrorKind::OutOfMemory.into()),
                false => Ok(tries),
            }
        });
        assert_eq!(had, failures + 1, "seed {seed}");
    }
}
