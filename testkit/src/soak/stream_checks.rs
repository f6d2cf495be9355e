//! Checks streams over all tries of their clients.

use {
    super::{RequestKind, RequestRecord, SoakRecord, Violation},
    std::collections::{BTreeMap, BTreeSet},
};

/// Checks that the events of a stream are of one software version.
pub fn check_software(record: &SoakRecord) -> Vec<Violation> {
    let streams = streams(&record.requests).into_iter();
    let seen = streams.map(|(first_attempt, tries)| {
        let versions = tries.iter().flat_map(|request| request.event_data());
        (first_attempt, versions.collect::<BTreeSet<String>>())
    });
    let mixed = seen.filter(|(_, versions)| versions.len() > 1);
    let found = mixed.map(|(first_attempt, versions)| Violation::MixedSoftware {
        first_attempt: first_attempt.to_string(),
        versions: versions.into_iter().collect(),
    });
    found.collect()
}

/// Checks that the ids of a stream's events begin at 0 and rise by one, whether its responses are
/// complete or not.
pub fn check_event_order(record: &SoakRecord) -> Vec<Violation> {
    let streams = streams(&record.requests).into_iter();
    let found = streams.filter_map(|(first_attempt, tries)| {
        let events = tries.iter().flat_map(|request| request.complete_events());
        let (expected, event) = events
            .enumerate()
            .find(|(expected, event)| event != expected)?;
        Some(Violation::EventsOutOfOrder {
            first_attempt: first_attempt.to_string(),
            expected,
            event,
        })
    });
    found.collect()
}

/// Returns the tries of each stream in the order of its client, by the first one.
pub fn streams(requests: &[RequestRecord]) -> BTreeMap<&str, Vec<&RequestRecord>> {
    let mut streams: BTreeMap<&str, Vec<&RequestRecord>> = BTreeMap::new();
    for request in requests.iter().filter(|r| r.kind == RequestKind::Stream) {
        let taken_up = request.taken_up.as_ref();
        let first_attempt = taken_up.map_or(request.id.as_str(), |t| &t.first_attempt);
        streams.entry(first_attempt).or_default().push(request);
    }
    streams
}
