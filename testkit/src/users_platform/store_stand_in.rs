use {
    super::wire::{read_head, write_response, Head},
    crate::{cluster::next_addr, serving::lock},
    anyhow::Result,
    base64::{engine::general_purpose::STANDARD, Engine},
    chalkcart_platform::names,
    percent_encoding::percent_decode_str,
    serde_json::{json, Value},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        task::JoinHandle,
        time::{sleep, sleep_until, timeout},
    },
};

const ITEMS_PER_PAGE: usize = 3;
/// Largest part of a response that is sent at once over a link of limited rate, in bytes.
const LINK_PART: usize = 4 * 1024;
/// Era of a store that has never returned with an older state.
const FIRST_ERA: u64 = 1;
const ERA_HEADER: &str = "Store-Era";
/// Path for reading one item; the processes under test read ranges only.
const KEY_PATH: &str = "/chalkcart/kv-key";

/// Fault that the store injects.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StoreFault {
    #[default]
    None,
    /// Never responds.
    Unresponsive,
    /// Responds to each call with this status.
    Status(u16),
    /// Closes each connection.
    Reset,
}

/// Values by key, as they were written, with the revision of their last change.
type Items = BTreeMap<String, (String, u64)>;

/// Limits of the store.
#[derive(Debug, Clone, Copy)]
pub struct StoreLimits {
    pub items_per_page: usize,
    /// Rate of the link that all responses share, in bytes per second; `None` without a limit.
    pub link_rate: Option<u64>,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self {
            items_per_page: ITEMS_PER_PAGE,
            link_rate: None,
        }
    }
}

/// A state of the store to which it can return.
#[derive(Debug, Clone)]
pub struct StoreCopy {
    items: Items,
    revision: u64,
}

/// What happens to the writes that a store lost when it returned with an older state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LostWrites {
    /// Their writers write the last value of each key again.
    Repeated,
    /// Their writers don't notice.
    Forgotten,
}

#[derive(Debug)]
struct State {
    limits: StoreLimits,
    items: Items,
    /// Changes: revision, key and value, or `None` for a deletion.
    history: Vec<(u64, String, Option<String>)>,
    /// Changes up to this revision have been removed from the history.
    forgotten: u64,
    revision: u64,
    fault: StoreFault,
    /// Target of each call.
    calls: Vec<String>,
    /// Bytes of all response bodies.
    bytes_sent: u64,
    /// The time until which the link is in use.
    link_busy_until: Option<Instant>,
    /// Connections accepted so far; those up to `silent_connections` get no more responses.
    connections: u64,
    silent_connections: u64,
    /// Items and revision that stale reads return instead of the current ones.
    stale: Option<(Items, u64)>,
    /// What all reads and watches return instead of the present state.
    behind: Option<StoreCopy>,
    /// The era that all responses name; `None` for a store that names none.
    era: Option<u64>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            limits: StoreLimits::default(),
            items: Items::new(),
            history: Vec::new(),
            forgotten: 0,
            revision: 0,
            fault: StoreFault::None,
            calls: Vec::new(),
            bytes_sent: 0,
            link_busy_until: None,
            connections: 0,
            silent_connections: 0,
            stale: None,
            behind: None,
            era: Some(FIRST_ERA),
        }
    }
}

/// Stand-in for the platform's store.
pub struct StoreStandIn {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<u64>>,
    server: JoinHandle<()>,
}

impl Drop for StoreStandIn {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl StoreStandIn {
    pub async fn start() -> Result<Self> {
        let addr = next_addr();
        let listener = TcpListener::bind(addr).await?;
        let state = Arc::new(Mutex::new(State::default()));
        let changed = Arc::new(watch::Sender::new(0));
        let (shared, watched) = (state.clone(), changed.clone());
        let server = tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                tokio::spawn(serve(socket, shared.clone(), watched.clone()));
            }
        });
        Ok(Self {
            addr,
            state,
            changed,
            server,
        })
    }

    pub fn put(&self, key: &str, value: Value) {
        self.put_bytes(key, value.to_string().as_bytes());
    }
    /// Writes a value, encoded in base64.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        self.put_text(key, &STANDARD.encode(value));
    }
    /// Writes a value without encoding it.
    pub fn put_text(&self, key: &str, text: &str) {
        self.change(key, Some(text.to_string()));
    }
    pub fn delete(&self, key: &str) {
        self.change(key, None);
    }
    pub fn set_fault(&self, fault: StoreFault) {
        lock(&self.state).fault = fault;
    }
    /// Removes all changes from the history; watches from earlier revisions get 410.
    pub fn compact_history(&self) {
        let mut state = lock(&self.state);
        state.history.clear();
        state.forgotten = state.revision;
    }
    /// Raises the revision, as writes of other systems do.
    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        lock(&self.state).revision
    }
    pub fn raise_revision(&self, writes: u64) {
        lock(&self.state).revision += writes;
    }
    /// Returns a copy of the present state.
    pub fn copy(&self) -> StoreCopy {
        let state = lock(&self.state);
        StoreCopy {
            items: state.items.clone(),
            revision: state.revision,
        }
    }
    /// Returns to the state of a copy in a new era. Revisions after the copy are given out again;
    /// a watch from one that is not reached yet gets 410.
    pub fn restore(&self, copy: &StoreCopy, lost_writes: LostWrites) {
        let lost = {
            let mut state = lock(&self.state);
            let lost = std::mem::replace(&mut state.items, copy.items.clone());
            state.revision = copy.revision;
            state.forgotten = state.forgotten.min(copy.revision);
            state
                .history
                .retain(|(revision, _, _)| *revision <= copy.revision);
            state.era = state.era.map(|era| era + 1);
            lost
        };
        if lost_writes == LostWrites::Repeated {
            let is_lost =
                |key: &str, text: &str| copy.items.get(key).is_none_or(|(t, _)| t != text);
            let written = lost.iter().filter(|(key, (text, _))| is_lost(key, text));
            written.for_each(|(key, (text, _))| self.put_text(key, text));
            let deleted = copy.items.keys().filter(|key| !lost.contains_key(*key));
            deleted.for_each(|key| self.delete(key));
        }
        self.changed.send_modify(|_| {});
    }
    /// Makes responses name no era.
    pub fn hide_era(&self) {
        lock(&self.state).era = None;
    }
    /// Makes stale reads return the current state from now on.
    pub fn freeze_stale_reads(&self) {
        let mut state = lock(&self.state);
        state.stale = Some((state.items.clone(), state.revision));
    }
    /// Makes all reads and watches return this earlier state, as a replica that is behind does, until
    /// `None` makes them return the present one.
    pub fn set_behind(&self, copy: Option<StoreCopy>) {
        lock(&self.state).behind = copy;
        self.changed.send_modify(|_| {});
    }
    /// Stops responding on open connections; new ones are served.
    pub fn silence_connections(&self) {
        let mut state = lock(&self.state);
        state.silent_connections = state.connections;
    }
    pub fn set_limits(&self, limits: StoreLimits) {
        lock(&self.state).limits = limits;
    }
    /// Returns the bytes of all response bodies.
    pub fn bytes_sent(&self) -> u64 {
        lock(&self.state).bytes_sent
    }
    /// Returns the bytes of the keys and values with a prefix.
    pub fn list_bytes(&self, prefix: &str) -> u64 {
        let state = lock(&self.state);
        let items = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        items
            .map(|(key, (value, _))| (key.len() + value.len()) as u64)
            .sum()
    }
    /// Returns the targets of all calls in order.
    pub fn calls(&self) -> Vec<String> {
        lock(&self.state).calls.clone()
    }

    fn change(&self, key: &str, value: Option<String>) {
        let mut state = lock(&self.state);
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => {
                let item = (value.clone(), revision);
                state.items.insert(key.to_string(), item);
            }
            None => {
                state.items.remove(key);
            }
        }
        state.history.push((revision, key.to_string(), value));
        self.changed.send_replace(revision);
    }
}

async fn serve(mut socket: TcpStream, state: Arc<Mutex<State>>, changed: Arc<watch::Sender<u64>>) {
    let connection = {
        let mut state = lock(&state);
        state.connections += 1;
        state.connections
    };
    while let Ok(Some(head)) = read_head(&mut socket).await {
        let fault = {
            let mut state = lock(&state);
            state.calls.push(head.target());
            match connection <= state.silent_connections {
                true => StoreFault::Unresponsive,
                false => state.fault,
            }
        };
        let (status, body) = match fault {
            StoreFault::Unresponsive => return sleep(Duration::from_secs(60)).await,
            StoreFault::Reset => return,
            StoreFault::Status(status) => (status, Value::Null),
            StoreFault::None => respond(&head, &state, &changed).await,
        };
        let body = body.to_string();
        wait_for_link(&state, body.len()).await;
        let era = lock(&state).era;
        let header = era.map(|era| (ERA_HEADER, era.to_string()));
        let headers: Vec<_> = header.into_iter().collect();
        if write_response(&mut socket, status, &headers, body.as_bytes())
            .await
            .is_err()
        {
            return;
        }
    }
}

/// Waits until a response has passed the link, in parts that alternate with those of other
/// responses.
async fn wait_for_link(state: &Mutex<State>, bytes: usize) {
    lock(state).bytes_sent += bytes as u64;
    let Some(rate) = lock(state).limits.link_rate else {
        return;
    };
    for part in (0..bytes).step_by(LINK_PART) {
        let part = LINK_PART.min(bytes - part);
        let until = {
            let mut state = lock(state);
            let from = state.link_busy_until.unwrap_or_else(Instant::now);
            let until =
                from.max(Instant::now()) + Duration::from_secs_f64(part as f64 / rate as f64);
            state.link_busy_until = Some(until);
            until
        };
        sleep_until(until.into()).await;
    }
}

async fn respond(head: &Head, state: &Mutex<State>, changed: &watch::Sender<u64>) -> (u16, Value) {
    let target = head.target();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let value = |name: &str| {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|(key, _)| *key == name);
        found.next().map(|(_, value)| decoded(value))
    };
    let prefix = value("PathPrefix").unwrap_or_default();
    let after = value("after").unwrap_or_default();
    match path {
        names::RANGE_PATH => {
            let state = lock(state);
            let present = match &state.behind {
                Some(copy) => (&copy.items, copy.revision),
                None => (&state.items, state.revision),
            };
            let (items, revision) = match &state.stale {
                Some((items, revision)) if value("stale").is_some() => (items, *revision),
                _ => present,
            };
            read_range(
                items,
                revision,
                &prefix,
                &after,
                state.limits.items_per_page,
            )
        }
        KEY_PATH => read_key(&lock(state), &value("Key").unwrap_or_default()),
        names::WATCH_PATH => {
            let after = after.parse().unwrap_or(0);
            let wait = value("WaitMs").and_then(|ms| ms.parse().ok()).unwrap_or(0);
            watch_changes(state, changed, &prefix, after, Duration::from_millis(wait)).await
        }
        _ => (404, Value::Null),
    }
}

/// Decodes a value of a query as forms encode it.
fn decoded(value: &str) -> String {
    let value = value.replace('+', " ");
    percent_decode_str(&value).decode_utf8_lossy().into_owned()
}

fn read_range(
    items: &Items,
    revision: u64,
    prefix: &str,
    after: &str,
    items_per_page: usize,
) -> (u16, Value) {
    let matching = items.iter().filter(|(key, _)| key.starts_with(prefix));
    let mut remaining = matching.filter(|(key, _)| key.as_str() > after);
    let page: Vec<Value> = remaining
        .by_ref()
        .take(items_per_page)
        .map(|(key, (value, revision))| item(key, Some(value), *revision))
        .collect();
    let more = remaining.next().is_some();
    let body = json!({"items": page, "more": more, "at": revision});
    (200, body)
}

fn read_key(state: &State, key: &str) -> (u16, Value) {
    match state.items.get(key) {
        Some((value, revision)) => (200, item(key, Some(value), *revision)),
        None => (404, Value::Null),
    }
}

async fn watch_changes(
    state: &Mutex<State>,
    changed: &watch::Sender<u64>,
    prefix: &str,
    after: u64,
    wait: Duration,
) -> (u16, Value) {
    let mut revisions = changed.subscribe();
    let next_change = async {
        loop {
            {
                let state = lock(state);
                if after < state.forgotten || after > state.revision {
                    return (410, Value::Null);
                }
                let at = state.behind.as_ref().map_or(state.revision, |b| b.revision);
                let events = events(&state, prefix, after, at);
                if !events.is_empty() {
                    return (200, json!({"events": events, "at": at}));
                }
            }
            // the sender lives as long as the store
            let _ = revisions.changed().await;
        }
    };
    let no_events = json!({"events": [], "at": after});
    timeout(wait, next_change).await.unwrap_or((200, no_events))
}

/// Returns the changes after a revision, up to another one.
fn events(state: &State, prefix: &str, after: u64, up_to: u64) -> Vec<Value> {
    let later_changes = state.history.iter().filter(|(revision, key, _)| {
        *revision > after && *revision <= up_to && key.starts_with(prefix)
    });
    let events = later_changes.map(|(revision, key, value)| item(key, value.as_ref(), *revision));
    events.collect()
}

fn item(key: &str, value: Option<&String>, revision: u64) -> Value {
    match value {
        Some(text) => {
            json!({"Key": key, "Value": text, "Revision": revision, "made": 1, "lease": 0})
        }
        None => json!({"Key": key, "Revision": revision, "gone": true}),
    }
}
