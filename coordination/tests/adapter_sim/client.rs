//! Clients: their streams, the decisions on them, and their attempts after a rejection.

use {
    super::{
        engine::EngineRequest,
        entry::request,
        fleet::{addr, Fleet},
        ms,
        outcome::StreamRecord,
        workload::Stream,
        SimTime,
    },
    chalkcart_coordination::dispatch::{Decision, DispatchEvent, SendOutcome, Ticket},
    rand::RngExt,
};

/// Clients' attempts for one stream.
const MAX_CLIENT_ATTEMPTS: usize = 3;
/// Time until a crashed engine serves again, in ms.
const CRASH_DOWN_MS: SimTime = 2_000;

impl Fleet {
    pub fn on_client(&mut self, stream: Stream, now: SimTime) {
        self.requested.insert(stream.adapter);
        let record = self.outcome.streams.len();
        self.outcome.streams.push(StreamRecord {
            requested_at: now,
            objective_ms: stream.kind.objective_ms,
            ..StreamRecord::default()
        });
        let entry = self.rng.random_range(0..self.entries.len());
        self.submit(entry, stream, record, false, now);
    }

    pub fn submit(
        &mut self,
        entry: usize,
        stream: Stream,
        record: usize,
        was_rejected: bool,
        now: SimTime,
    ) {
        *self.attempts.entry(record).or_default() += 1;
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let at = self.at(now);
        let left = (stream.arrived_at + stream.kind.deadline_ms).saturating_sub(now);
        let request = request(&stream, was_rejected, at, ms(left));
        self.entries[entry]
            .streams
            .insert(ticket, (stream, record, request.clone()));
        let event = DispatchEvent::RequestArrived { ticket, request };
        let decided = self.entries[entry].dispatcher.handle(event, at);
        self.on_decisions(entry, decided, now);
    }

    pub fn on_decisions(&mut self, entry: usize, decided: Vec<(Ticket, Decision)>, now: SimTime) {
        for (ticket, decision) in decided {
            match decision {
                Decision::Send(assignment) => {
                    let Some((stream, record, _)) = self.entries[entry].streams.get(&ticket) else {
                        continue;
                    };
                    self.outcome.streams[*record].sent_at = Some(now);
                    let sent = EngineRequest {
                        ticket,
                        entry,
                        adapter: format!("a{}", stream.adapter),
                        shared_tokens: stream.kind.shared_tokens,
                        own_tokens: stream.own_tokens,
                        events: stream.kind.events,
                        urgency: assignment.urgency,
                    };
                    let engine = (0..self.engines.len()).find(|n| addr(*n) == assignment.addr);
                    let engine = &mut self.engines[engine.expect("a listed engine")];
                    if engine.is_down(now) {
                        self.retry_send(entry, ticket, SendOutcome::Unreachable, now);
                    } else if engine.accept(sent).is_err() {
                        self.outcome.misdirected += 1;
                        self.retry_send(entry, ticket, SendOutcome::Misdirected, now);
                    }
                }
                Decision::Reject {
                    cause, retry_after, ..
                } => {
                    let Some((stream, record, _)) = self.entries[entry].streams.remove(&ticket)
                    else {
                        continue;
                    };
                    *self.outcome.rejections.entry(cause.code()).or_default() += 1;
                    let at = now + retry_after.as_millis() as SimTime;
                    let is_over = at >= stream.arrived_at + stream.kind.deadline_ms
                        || self.attempts[&record] >= MAX_CLIENT_ATTEMPTS;
                    if !is_over {
                        self.entries[entry].retries.insert((at, record), stream);
                    }
                }
            }
        }
    }

    /// Ends a send that did not run, and dispatches the request again.
    pub fn retry_send(&mut self, entry: usize, ticket: Ticket, outcome: SendOutcome, now: SimTime) {
        self.end_send(entry, ticket, outcome, now);
        let Some((stream, record, mut request)) = self.entries[entry].streams.remove(&ticket)
        else {
            return;
        };
        request.send_count += 1;
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.entries[entry]
            .streams
            .insert(ticket, (stream, record, request.clone()));
        let event = DispatchEvent::RequestArrived { ticket, request };
        let at = self.at(now);
        let decided = self.entries[entry].dispatcher.handle(event, at);
        self.on_decisions(entry, decided, now);
    }

    /// Restarts a quarter of the engines at once; clients request the cut streams again.
    pub fn crash(&mut self, now: SimTime) {
        for engine in (0..self.engines.len()).filter(|n| n % 4 == 0) {
            for cut in self.engines[engine].crash(now, CRASH_DOWN_MS) {
                let entry = cut.entry;
                self.end_send(entry, cut.ticket, SendOutcome::Broken, now);
                let Some((stream, record, _)) = self.entries[entry].streams.remove(&cut.ticket)
                else {
                    continue;
                };
                self.entries[entry]
                    .retries
                    .insert((now + 20, record), stream);
            }
        }
    }
}
