use {
    super::{backends::SendEnd, membership::ENGINES, rule::RequestNumber},
    chalkcart_coordination::dispatch::{
        unread_until, Decision, DispatchEvent, DispatchRequest, DispatchSettings, Dispatcher,
        RetryBudgetSettings, SendOutcome, Ticket,
    },
    chalkcart_state::{
        backends::{Backend, BackendId},
        ingress::{EngineSpec, IngressLimits, RequestDigest, RouteTable, Service, SharedParts},
        published::StorePosition,
        regions::AllowedRegions,
    },
    std::{
        collections::HashMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

pub const PLAIN: &str = "plain";
/// Most sends of one request.
const MAX_SENDS: u32 = 4;
/// Time after which clients give up.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// A send that the entry decided on.
pub struct Send {
    pub ticket: Ticket,
    pub request: RequestNumber,
    pub backend: BackendId,
}

struct OpenRequest {
    number: RequestNumber,
    request: DispatchRequest,
}

/// One entry's process.
pub struct Entry {
    pub dispatcher: Dispatcher,
    requests: HashMap<Ticket, OpenRequest>,
    next_ticket: Ticket,
    /// Ends of sends that were not processed yet.
    ends: Vec<SendEnd>,
    /// Whether the entry has had a view of each sidecar.
    pub has_views: Vec<bool>,
    pub is_running: bool,
    /// Until when the process is paused.
    pub paused_until: Duration,
}

impl Entry {
    pub fn new(
        name: String,
        budget: RetryBudgetSettings,
        list: &[Backend],
        sidecars: usize,
        restarted_at: Option<Instant>,
        now: Instant,
    ) -> Self {
        let mut dispatcher = Dispatcher::new(DispatchSettings {
            entry: name,
            zone: "z".to_string(),
            budget,
            restarted_at,
            ..DispatchSettings::default()
        });
        dispatcher.handle(DispatchEvent::ConfigUpdated(Arc::new(table())), now);
        let at = StorePosition::new(1, 1);
        let list = list.to_vec();
        dispatcher.handle(DispatchEvent::ListUpdated { at, list }, now);
        Self {
            dispatcher,
            requests: HashMap::new(),
            next_ticket: 0,
            ends: Vec::new(),
            has_views: vec![false; sidecars],
            is_running: true,
            paused_until: Duration::ZERO,
        }
    }
    pub fn can_run(&self, now: Duration) -> bool {
        self.is_running && self.paused_until <= now
    }
    pub fn on_send_end(&mut self, end: SendEnd) {
        self.ends.push(end);
    }

    /// Handles a client's request.
    pub fn on_request(&mut self, number: RequestNumber, now: Instant) -> Vec<Send> {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let request = new_request(now);
        self.submit(ticket, number, request, now)
    }

    /// Processes the ends of sends that are due, and what follows from the time alone.
    pub fn advance(&mut self, at: Duration, now: Instant) -> Vec<Send> {
        let mut sends = Vec::new();
        let (due, later) = std::mem::take(&mut self.ends)
            .into_iter()
            .partition(|e| e.at <= at);
        self.ends = later;
        for end in due {
            sends.extend(self.on_end(end, now));
        }
        sends.extend(self.abandon_late(now));
        let decided = self.dispatcher.handle(DispatchEvent::Tick, now);
        sends.extend(self.sends(decided));
        sends
    }

    fn on_end(&mut self, end: SendEnd, now: Instant) -> Vec<Send> {
        let Some(open) = self.requests.remove(&end.ticket) else {
            return Vec::new();
        };
        let (ticket, outcome) = (end.ticket, end.outcome);
        let ended = DispatchEvent::SendEnded { ticket, outcome };
        let decided = self.dispatcher.handle(ended, now);
        let mut sends = self.sends(decided);
        let sent = open.request.send_count + 1;
        let is_served = outcome == SendOutcome::Answered;
        if !is_served && sent < MAX_SENDS && open.request.deadline > now {
            let unread_until = unread_until(outcome, now);
            let request = DispatchRequest {
                send_count: sent,
                earlier_unread_until: unread_until.max(open.request.earlier_unread_until),
                ..open.request
            };
            sends.extend(self.submit(ticket, open.number, request, now));
        }
        sends
    }

    /// Gives up requests whose clients have left.
    fn abandon_late(&mut self, now: Instant) -> Vec<Send> {
        let late = self
            .requests
            .iter()
            .filter(|(_, r)| r.request.deadline <= now);
        let late: Vec<Ticket> = late.map(|(ticket, _)| *ticket).collect();
        let mut sends = Vec::new();
        for ticket in late {
            self.requests.remove(&ticket);
            let outcome = SendOutcome::Abandoned;
            let events = [
                DispatchEvent::RequestWithdrawn(ticket),
                DispatchEvent::SendEnded { ticket, outcome },
            ];
            for event in events {
                let decided = self.dispatcher.handle(event, now);
                sends.extend(self.sends(decided));
            }
        }
        sends
    }

    fn submit(
        &mut self,
        ticket: Ticket,
        number: RequestNumber,
        request: DispatchRequest,
        now: Instant,
    ) -> Vec<Send> {
        let open = OpenRequest {
            number,
            request: request.clone(),
        };
        self.requests.insert(ticket, open);
        let event = DispatchEvent::RequestArrived { ticket, request };
        let decided = self.dispatcher.handle(event, now);
        self.sends(decided)
    }

    fn sends(&mut self, decided: Vec<(Ticket, Decision)>) -> Vec<Send> {
        let mut sends = Vec::new();
        for (ticket, decision) in decided {
            match (decision, self.requests.get(&ticket)) {
                (Decision::Send(assignment), Some(open)) => sends.push(Send {
                    ticket,
                    request: open.number,
                    backend: assignment.backend,
                }),
                (Decision::Reject { .. }, _) => {
                    self.requests.remove(&ticket);
                }
                (Decision::Send(_), None) => {}
            }
        }
        sends
    }
}

fn table() -> RouteTable {
    let spec = EngineSpec {
        slots: 4,
        adapter_slots: 2,
        weights_mb: 1_000.0,
        kv_capacity: 1_000,
        models: Vec::new(),
    };
    let service = |name: &str, engine| Service {
        name: name.to_string(),
        health_path: "/health".to_string(),
        engine,
        slow_start_duration: Duration::ZERO,
        slow_start_per_s: 0.0,
    };
    let services = vec![service(ENGINES, Some(spec)), service(PLAIN, None)];
    RouteTable::new(1, IngressLimits::default(), services)
}

fn new_request(now: Instant) -> DispatchRequest {
    DispatchRequest {
        digest: RequestDigest::of("GET", "/", "", b""),
        shared_parts: SharedParts::default(),
        is_crash_suspect: false,
        has_progress: false,
        service: PLAIN.to_string(),
        model: None,
        adapter: None,
        prompt_tokens: 0,
        expected_output_tokens: 0,
        account: None,
        allowed_regions: AllowedRegions::default(),
        software_version: None,
        account_priority: 0,
        is_beyond_share: false,
        priority: 1,
        target_latency: Duration::from_millis(400),
        target_gap: None,
        arrived_at: now,
        deadline: now + CLIENT_TIMEOUT,
        tried_backends: Vec::new(),
        was_rejected_before: false,
        is_load_time_checked: false,
        send_count: 0,
        is_repeat: false,
        earlier_unread_until: None,
        start_tag: 0,
    }
}
