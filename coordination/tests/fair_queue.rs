//! The order of a target's queue.

use {
    chalkcart_coordination::queue::{FairQueue, QueuedRequest},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

const AGE_AFTER: Duration = Duration::from_secs(5);
const STEPS: u32 = 160;
const STEP: Duration = Duration::from_millis(100);

fn queued_request(request: String, group: &str, priority: u8, now: Instant) -> QueuedRequest {
    QueuedRequest {
        request,
        group: group.to_string(),
        priority,
        age_after: AGE_AFTER,
        arrived: now,
        deadline: now + Duration::from_secs(3_600),
        tokens: 10,
        max_output_tokens: 10,
        adapter: None,
        overtaken: 0,
        head_since: None,
    }
}

fn new_queue(shares: &[(&str, u32)]) -> FairQueue {
    let mut queue = FairQueue::new();
    let shares = shares.iter().map(|(g, s)| (g.to_string(), *s));
    queue.set_shares(shares.collect::<HashMap<_, _>>());
    queue
}

/// Starts the first request and returns its group.
fn start_first(queue: &mut FairQueue, now: Instant) -> String {
    let first = queue.order(now).remove(0);
    queue
        .start(&first)
        .expect("the first request is queued")
        .group
}

#[test]
fn groups_are_served_by_their_shares_although_one_floods_the_queue() {
    let shares = [("one", 1), ("two", 2), ("five", 5)];
    let mut queue = new_queue(&shares);
    let mut now = Instant::now();
    let mut served: HashMap<String, u32> = HashMap::new();
    for step in 0..STEPS {
        // each group adds more requests than are served, the first far more
        for (group, count) in [("one", 6), ("two", 1), ("five", 1)] {
            for number in 0..count {
                queue.push(queued_request(
                    format!("{group}-{step}-{number}"),
                    group,
                    1,
                    now,
                ));
            }
        }
        now += STEP;
        *served.entry(start_first(&mut queue, now)).or_insert(0) += 1;
    }
    for (group, share) in shares {
        let fair = STEPS * share / 8;
        assert!(
            served[group].abs_diff(fair) <= 2,
            "{group}: {} of {fair}",
            served[group]
        );
    }
}

#[test]
fn urgent_requests_go_first_and_patient_requests_age() {
    let mut queue = new_queue(&[("branches", 1)]);
    let mut now = Instant::now();
    queue.push(queued_request("overnight".to_string(), "branches", 2, now));
    let mut started_after = None;
    for step in 0..400 {
        queue.push(queued_request(
            format!("counter-{step}"),
            "branches",
            0,
            now,
        ));
        now += STEP;
        let first = queue.order(now).remove(0);
        queue.start(&first);
        if first == "overnight" {
            started_after = Some(step);
            break;
        }
    }
    let steps_to_age = (2 * AGE_AFTER.as_millis() / STEP.as_millis()) as i32;
    let started_after = started_after.expect("the patient request starts");
    assert!(
        (steps_to_age - 2..=steps_to_age + 2).contains(&started_after),
        "{started_after}"
    );
}

#[test]
fn a_group_gets_no_credit_for_its_idle_time() {
    let mut queue = new_queue(&[("busy", 1), ("idle", 1)]);
    let now = Instant::now();
    for number in 0..100 {
        queue.push(queued_request(format!("busy-{number}"), "busy", 0, now));
        start_first(&mut queue, now);
    }
    for number in 0..20 {
        queue.push(queued_request(format!("busy-x{number}"), "busy", 0, now));
        queue.push(queued_request(format!("idle-{number}"), "idle", 0, now));
    }
    let first_ten: Vec<String> = (0..10).map(|_| start_first(&mut queue, now)).collect();
    let idle = first_ten.iter().filter(|g| *g == "idle").count();
    assert!((4..=6).contains(&idle), "{first_ten:?}");
}

#[test]
fn requests_that_would_miss_their_deadline_are_removed() {
    let mut queue = new_queue(&[("branches", 1)]);
    let now = Instant::now();
    let mut request = queued_request("soon".to_string(), "branches", 0, now);
    request.deadline = now + Duration::from_secs(1);
    queue.push(request);
    assert!(queue.remove_late(Duration::from_millis(50), now).is_empty());
    assert_eq!(queue.remove_late(Duration::from_millis(150), now).len(), 1);
}
