//! Fairness between accounts: a flood of one account doesn't delay the others.

use {
    chalkcart_coordination::dispatch::AccountFairQueueing,
    quickcheck::{Gen, QuickCheck},
    std::collections::{BTreeSet, HashMap},
};

const SEED: u64 = 31;
const CASES: u64 = 200;
/// Number of queued requests of each account.
const BACKLOG: usize = 30;
const SERVED: usize = 200;

/// Returns the units served per account while all accounts have queued requests; `sizes` are
/// the sizes of the accounts' requests.
fn units_served(sizes: &[u32]) -> HashMap<u64, u64> {
    let mut queueing = AccountFairQueueing::default();
    let mut waiting = BTreeSet::new();
    let mut number = 0;
    let mut units: HashMap<u64, u64> = HashMap::new();
    let mut enqueue =
        |queueing: &mut AccountFairQueueing, waiting: &mut BTreeSet<_>, account: u64, size| {
            number += 1;
            waiting.insert((
                queueing.next_start_tag(Some(account), size),
                number,
                account,
                size,
            ));
        };
    for (account, size) in sizes.iter().enumerate() {
        for _ in 0..BACKLOG {
            enqueue(&mut queueing, &mut waiting, account as u64, *size);
        }
    }
    for _ in 0..SERVED {
        let Some((begin, _, account, size)) = waiting.pop_first() else {
            break;
        };
        queueing.on_served(begin);
        *units.entry(account).or_default() += u64::from(size);
        enqueue(&mut queueing, &mut waiting, account, size);
    }
    units
}

fn parts_are_even(sizes: Vec<u16>) -> bool {
    let sizes: Vec<u32> = sizes
        .iter()
        .take(6)
        .map(|size| u32::from(*size) + 1)
        .collect();
    let units = units_served(&sizes);
    let largest = u64::from(sizes.iter().copied().max().unwrap_or(0));
    let max_units = units.values().copied().max().unwrap_or(0);
    let all_units = (0..sizes.len() as u64).map(|a| units.get(&a).copied().unwrap_or(0));
    // the difference is at most two of the largest requests
    all_units.min().unwrap_or(0) + 2 * largest >= max_units
}

#[test]
fn queued_accounts_are_served_equally_regardless_of_request_size() {
    let gen = Gen::from_size_and_seed(20, SEED);
    let mut check = QuickCheck::new().rng(gen).tests(CASES);
    check.quickcheck(parts_are_even as fn(Vec<u16>) -> bool);
}

#[test]
fn a_small_account_is_served_before_the_rest_of_a_flood() {
    let mut queueing = AccountFairQueueing::default();
    let flood: Vec<u64> = (0..100)
        .map(|_| queueing.next_start_tag(Some(1), 1_000))
        .collect();
    queueing.on_served(flood[10]);
    let late = queueing.next_start_tag(Some(2), 1_000);
    assert!(late < flood[12], "{late}");
    // requests that left the queue unserved are not charged to their account
    (0..100).for_each(|_| queueing.on_withdrawn(Some(1), 1_000));
    assert!(queueing.next_start_tag(Some(1), 1_000) <= late);
    // requests without an account are served in order of arrival
    assert_eq!(
        queueing.next_start_tag(None, 5),
        queueing.next_start_tag(None, 5)
    );
}
