use {
    super::{DispatchRequest, Ticket},
    std::{collections::BTreeMap, time::Instant},
};

/// Sort key of a waiting request: priority of its account, priority of its route, whether its
/// account is beyond its share, start tag, arrival.
type SortKey = (u8, u8, bool, u64, Instant, Ticket);

/// Waiting requests in the order in which they are served.
#[derive(Debug, Default)]
pub struct WaitingList {
    requests: BTreeMap<SortKey, DispatchRequest>,
    keys_by_ticket: BTreeMap<Ticket, SortKey>,
}

impl WaitingList {
    pub fn insert(&mut self, ticket: Ticket, request: DispatchRequest) {
        let key = (
            request.account_priority,
            request.priority,
            request.is_beyond_share,
            request.start_tag,
            request.arrived_at,
            ticket,
        );
        self.keys_by_ticket.insert(ticket, key);
        self.requests.insert(key, request);
    }
    pub fn remove(&mut self, ticket: Ticket) -> Option<DispatchRequest> {
        let key = self.keys_by_ticket.remove(&ticket)?;
        self.requests.remove(&key)
    }
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.keys_by_ticket.contains_key(&ticket)
    }
    /// Returns the tickets of the included requests, in serving order.
    pub fn tickets(&self, is_included: impl Fn(&DispatchRequest) -> bool) -> Vec<Ticket> {
        let requests = self
            .requests
            .iter()
            .filter(|(_, request)| is_included(request));
        requests.map(|((.., ticket), _)| *ticket).collect()
    }
    /// Returns those of these tickets that wait, in serving order.
    pub fn in_order(&self, mut tickets: Vec<Ticket>) -> Vec<Ticket> {
        tickets.retain(|ticket| self.keys_by_ticket.contains_key(ticket));
        tickets.sort_by_key(|ticket| self.keys_by_ticket[ticket]);
        tickets
    }
    pub fn iter(&self) -> impl Iterator<Item = &DispatchRequest> {
        self.requests.values()
    }
    pub fn len(&self) -> usize {
        self.requests.len()
    }
}
