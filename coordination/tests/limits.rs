//! limits of client accounts: what one entry and a keeper decide

use {
    chalkcart_coordination::{
        limits::{LimitBook, LimitSettings, OverLimit, TokenBucket, UsageKeeper, WindowSum},
        membership::{KeeperChoice, KeptMatter},
    },
    chalkcart_state::accounts::{ClientAccount, LimitUnit, RateLimit},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

const WINDOW: Duration = Duration::from_secs(8);

fn limit() -> RateLimit {
    RateLimit {
        unit: LimitUnit::Tokens { plain: 1 },
        per_s: 1_000.0,
        burst: 1_000.0,
    }
}

fn account() -> ClientAccount {
    ClientAccount::new("acme", 1, Some(limit()))
}

fn settings() -> LimitSettings {
    LimitSettings {
        window: WINDOW,
        overage: 0.25,
        slack: 0.0,
    }
}

fn book(name: &str, entries: u32, now: Instant) -> LimitBook {
    let mut book = LimitBook::new(settings(), name.to_string(), 1, now);
    book.set_entries(Some(entries), now);
    book.set_accounts([&account()].into_iter(), now);
    book
}

fn charge(book: &mut LimitBook, units: u64, now: Instant) -> Result<(), OverLimit> {
    book.ask(account().fingerprint, &limit(), units, now);
    book.charge(account().fingerprint, &limit(), units, now)
}

fn report(book: &mut LimitBook, keeper: &mut UsageKeeper, now: Instant) {
    let report = book.report(now).expect("a report");
    let answer = keeper.on_report(report.clone(), now);
    book.on_answer(&report, &answer, now);
}

/// nothing runs until the limits are whole; gives the time then
fn calm_down(books: &mut [LimitBook], keeper: &mut UsageKeeper, start: Instant) -> Instant {
    let mut now = start;
    for _ in 0..10 {
        now += Duration::from_millis(250);
        books.iter_mut().for_each(|book| report(book, keeper, now));
    }
    now
}

/// units that an entry lets run at once
fn run_out(book: &mut LimitBook, now: Instant) -> u64 {
    let mut units = 0;
    while charge(book, 100, now).is_ok() {
        units += 100;
    }
    units
}

#[test]
fn a_bucket_pays_back_what_was_taken_beyond() {
    let now = Instant::now();
    let mut bucket = TokenBucket::new(10.0, 50.0, now);
    assert_eq!(bucket.level(now), 0.0);
    bucket.spend(25.0, now);
    let later = now + Duration::from_secs(2);
    assert_eq!(bucket.level(later), -5.0);
    assert_eq!(
        bucket.level(later + Duration::from_secs(60)),
        50.0,
        "no more"
    );
    bucket.spend(-100.0, later);
    assert_eq!(bucket.level(later), 50.0);
}

#[test]
fn a_window_forgets_what_fell_out_of_it() {
    let start = Instant::now();
    let mut sum = WindowSum::default();
    for second in 0..20 {
        sum.add(1.0, WINDOW, start + Duration::from_secs(second));
    }
    let now = start + Duration::from_secs(19);
    assert_eq!(sum.get(WINDOW, now), 9.0, "both ends of the window");
    assert_eq!(sum.get(WINDOW, now + WINDOW * 2), 0.0);
}

#[test]
fn without_a_keeper_an_entry_keeps_to_its_equal_part() {
    let now = Instant::now();
    let mut alone = book("e", 10, now);
    let first = run_out(&mut alone, now);
    assert!(first <= 200, "no more than its part of the burst: {first}");
    let later = now + Duration::from_secs(10);
    let mut units = 0;
    for tenth in 0..100 {
        let at = now + Duration::from_millis(100 * tenth);
        units += u64::from(charge(&mut alone, 100, at).is_ok()) * 100;
    }
    assert!(units <= 1_100, "a tenth of the rate: {units}");
    let over = charge(&mut alone, 100, later).err();
    assert!(over.is_none_or(|over| over.basis.age.is_none()));
}

#[test]
fn with_a_keeper_one_entry_may_use_the_whole_limit() {
    let start = Instant::now();
    let mut keeper = UsageKeeper::new(7);
    let new = |n| book(&format!("e{n}"), 10, start);
    let mut books: Vec<LimitBook> = (0..10).map(new).collect();
    let now = calm_down(&mut books, &mut keeper, start);
    let units = run_out(&mut books[3], now);
    assert!((500..=1_400).contains(&units), "most of the burst: {units}");
    // the rate, and what it ran beyond it are known: it has to wait, and the others
    report(&mut books[3], &mut keeper, now);
    let rest = run_out(&mut books[3], now);
    assert!(units + rest >= 1_000, "the burst: {units} and {rest}");
    books[3].give_back(account().fingerprint, 0, now);
    report(&mut books[3], &mut keeper, now);
    report(&mut books[5], &mut keeper, now);
    let over = charge(&mut books[5], 100, now).expect_err("over limit");
    assert!(over.basis.age == Some(Duration::ZERO) && over.basis.level <= Some(0.0));
    assert!(over.retry_after >= Duration::from_millis(100));
}

#[test]
fn what_did_not_run_is_given_back() {
    let start = Instant::now();
    let mut keeper = UsageKeeper::new(7);
    let mut books = [book("e", 1, start)];
    let now = calm_down(&mut books, &mut keeper, start);
    let [mut one] = books;
    let units = run_out(&mut one, now);
    report(&mut one, &mut keeper, now);
    assert_eq!(
        one.report(now).expect("a report").accounts[0].taken,
        units as i64
    );
    one.give_back(account().fingerprint, units, now);
    report(&mut one, &mut keeper, now);
    let told = one.report(now).expect("a report");
    assert_eq!(
        (told.accounts[0].taken, told.accounts[0].told_taken),
        (0, 0)
    );
    assert!(run_out(&mut one, now) >= 500);
}

/// an entry that another keeper hears takes its part of the limit with it
#[test]
fn two_keepers_give_out_no_more_than_one_limit() {
    let start = Instant::now();
    let mut keepers = [UsageKeeper::new(1), UsageKeeper::new(2)];
    let mut books: Vec<LimitBook> = (0..10).map(|n| book(&format!("e{n}"), 10, start)).collect();
    let mut units = 0;
    for step in 0..320 {
        let now = start + Duration::from_millis(25 * step);
        for (n, book) in books.iter_mut().enumerate() {
            units += u64::from(charge(book, 100, now).is_ok()) * 100;
            if step % 10 == n as u64 {
                report(book, &mut keepers[usize::from(n < 3)], now);
            }
        }
    }
    // (rate x window + burst) x 1.25 in the first window
    assert!(units <= 11_250, "{units}");
    assert!(units >= 8_000, "{units}");
}

#[test]
fn those_that_come_back_do_not_come_together() {
    let now = Instant::now();
    let mut one = book("e", 1, now);
    run_out(&mut one, now);
    let refused = (0..4).map(|_| charge(&mut one, 500, now).expect_err("over limit"));
    let times: Vec<Duration> = refused.map(|over| over.retry_after).collect();
    let apart = times.windows(2).map(|two| two[1].saturating_sub(two[0]));
    assert!(apart.min() >= Some(Duration::from_millis(300)), "{times:?}");
    assert!(times.iter().all(|time| *time <= Duration::from_secs(5)));
}

#[test]
fn a_limit_that_is_taken_off_or_changed_is_so_at_once() {
    let now = Instant::now();
    let mut one = book("e", 1, now);
    assert_eq!(
        one.set_accounts([&account()].into_iter(), now),
        [],
        "the same"
    );
    let raised = RateLimit {
        per_s: 5_000.0,
        ..limit()
    };
    let raised = ClientAccount::new("acme", 1, Some(raised));
    let changed = one.set_accounts([&raised].into_iter(), now);
    assert_eq!(changed[0].bounds.granted_per_s, 5_000.0);
    let free = ClientAccount::new("acme", 1, None);
    one.set_accounts([&free].into_iter(), now);
    assert!(one.report(now).is_none(), "nothing is limited");
}

#[test]
fn entries_with_one_list_choose_one_keeper_and_come_back_to_it() {
    let now = Instant::now();
    let engine = |n: u8| SocketAddr::from(([10, 0, 0, n], 80));
    let engines: Vec<SocketAddr> = (1..40).map(engine).collect();
    let reversed: Vec<SocketAddr> = engines.iter().rev().copied().collect();
    let mut one = KeeperChoice::new(KeptMatter::Limits);
    let mut other = KeeperChoice::new(KeptMatter::Limits);
    let first = one.choose(&engines, now).expect("a keeper");
    assert_eq!(other.choose(&reversed, now), Some(first));
    one.on_failed(first, now);
    assert_eq!(one.choose(&engines, now), Some(first), "once is no reason");
    one.on_failed(first, now);
    let next = one.choose(&engines, now).expect("another");
    assert_ne!(next, first);
    let later = now + Duration::from_secs(4);
    assert_eq!(one.choose(&engines, later), Some(first));
    assert_eq!(one.choose(&[], later), None);
}

/// it knows only later how many entries there are
#[test]
fn an_entry_that_has_just_started_takes_nothing_from_the_others() {
    let start = Instant::now();
    let mut keeper = UsageKeeper::new(7);
    let mut books: Vec<LimitBook> = (0..4).map(|n| book(&format!("e{n}"), 4, start)).collect();
    let now = calm_down(&mut books, &mut keeper, start);
    let mut restarted = LimitBook::new(settings(), "e0".to_string(), 2, now);
    restarted.set_accounts([&account()].into_iter(), now);
    report(&mut restarted, &mut keeper, now);
    report(&mut books[1], &mut keeper, now);
    let units = run_out(&mut books[1], now);
    report(&mut books[1], &mut keeper, now);
    let units = units + run_out(&mut books[1], now);
    assert!(units >= 1_000, "the whole burst: {units}");
}
