use {
    super::{DispatchRequest, Ticket},
    std::{collections::BTreeMap, time::Instant},
};

/// place of a request among those that wait: by the priority of its account, then
/// of its route, then by the turn of its account, then by its arrival
type Place = (u8, u8, u64, Instant, Ticket);

/// requests that wait, the most urgent first, then by the turns of their accounts
#[derive(Debug, Default)]
pub struct WaitingList {
    rows: BTreeMap<Place, DispatchRequest>,
    keys: BTreeMap<Ticket, Place>,
}

impl WaitingList {
    pub fn put(&mut self, ticket: Ticket, request: DispatchRequest) {
        let key = (
            request.account_priority,
            request.priority,
            request.start_tag,
            request.arrived_at,
            ticket,
        );
        self.keys.insert(ticket, key);
        self.rows.insert(key, request);
    }
    pub fn take(&mut self, ticket: Ticket) -> Option<DispatchRequest> {
        let key = self.keys.remove(&ticket)?;
        self.rows.remove(&key)
    }
    /// tickets of those that are concerned, in the order in which they are served
    pub fn tickets(&self, is_included: impl Fn(&DispatchRequest) -> bool) -> Vec<Ticket> {
        let rows = self.rows.iter().filter(|(_, request)| is_included(request));
        rows.map(|((.., ticket), _)| *ticket).collect()
    }
    pub fn requests(&self) -> impl Iterator<Item = &DispatchRequest> {
        self.rows.values()
    }
    pub fn len(&self) -> usize {
        self.rows.len()
    }
}
