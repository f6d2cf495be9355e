//! Counts the streams that clients took up, beside new ones of the same time.

use {
    super::{
        engine_lives::ServingHistory, stream_checks::streams, Outcome, RequestKind, RequestRecord,
    },
    std::{
        ops::AddAssign,
        time::{Duration, Instant},
    },
};

/// Engines of a version with which its streams must be able to go on.
const ENOUGH_ENGINES: usize = 2;
/// A new stream is of the same time as a take-up if it was sent at most so long before or after.
const SAME_TIME: Duration = Duration::from_millis(250);

/// Numbers of streams, not of their tries. All but the first two are of streams of whose version two
/// engines served at each try, and of the time of these tries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamCounts {
    /// Streams that broke off and were taken up.
    pub taken_up: usize,
    /// Those that went on, if only for an event.
    pub went_on: usize,
    pub taken_up_while_served: usize,
    pub went_on_while_served: usize,
    /// Those that were refused at least once, and never went on.
    pub refused_while_served: usize,
    /// New streams that were sent at the same time, and those that began.
    pub new_sent: usize,
    pub new_began: usize,
}

impl StreamCounts {
    pub fn of(requests: &[RequestRecord], serving: &ServingHistory) -> Self {
        let mut counts = Self::default();
        let mut served_at = Vec::new();
        for tries in streams(requests).into_values() {
            let [first, take_ups @ ..] = tries.as_slice() else {
                continue;
            };
            if take_ups.is_empty() {
                continue;
            }
            let goes_on = take_ups.iter().any(|request| has_begun(request));
            counts.taken_up += 1;
            counts.went_on += usize::from(goes_on);
            let software = first.event_data().into_iter().next().unwrap_or_default();
            let sent_at: Vec<Instant> = take_ups.iter().filter_map(|r| r.sent_at).collect();
            let is_served = |at: &Instant| serving.count(&software, *at) >= ENOUGH_ENGINES;
            if !sent_at.iter().all(is_served) {
                continue;
            }
            let is_refused = !goes_on && take_ups.iter().any(|request| is_rejected(request));
            counts.taken_up_while_served += 1;
            counts.went_on_while_served += usize::from(goes_on);
            counts.refused_while_served += usize::from(is_refused);
            served_at.extend(sent_at);
        }
        counts.count_new(requests, served_at);
        counts
    }

    /// Counts the new streams that were sent at the time of the take-ups.
    fn count_new(&mut self, requests: &[RequestRecord], mut take_ups: Vec<Instant>) {
        take_ups.sort();
        let is_same_time = |at: Instant| {
            let next = take_ups.partition_point(|t| *t + SAME_TIME < at);
            take_ups.get(next).is_some_and(|t| *t <= at + SAME_TIME)
        };
        let streams = requests.iter().filter(|r| r.kind == RequestKind::Stream);
        let new = streams.filter(|request| request.taken_up.is_none());
        for request in new.filter(|r| r.sent_at.is_some_and(is_same_time)) {
            self.new_sent += 1;
            self.new_began += usize::from(has_begun(request));
        }
    }
}

impl AddAssign for StreamCounts {
    fn add_assign(&mut self, other: Self) {
        self.taken_up += other.taken_up;
        self.went_on += other.went_on;
        self.taken_up_while_served += other.taken_up_while_served;
        self.went_on_while_served += other.went_on_while_served;
        self.refused_while_served += other.refused_while_served;
        self.new_sent += other.new_sent;
        self.new_began += other.new_began;
    }
}

/// Returns whether the response has an event, or is complete without one.
fn has_begun(request: &RequestRecord) -> bool {
    let is_whole = matches!(
        request.outcome,
        Outcome::Responded {
            status: 200,
            is_complete: true,
            ..
        }
    );
    is_whole || !request.complete_events().is_empty()
}

fn is_rejected(request: &RequestRecord) -> bool {
    matches!(request.outcome, Outcome::Responded { status, .. } if status != 200)
}
