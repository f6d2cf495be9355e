use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

/// Identifies one that holds something for a client: a connection, or a request on one.
pub type HolderId = u64;

/// Bytes that a connection takes at most beside what its client has sent: its task and its
/// buffers.
pub const CONNECTION_BYTES: usize = 16 * 1024;

/// What clients may hold in a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HoldingLimits {
    /// Bytes that all of them together may hold.
    pub bytes: usize,
    /// Bytes of these that are kept for holders of at most `small` bytes.
    pub reserve: usize,
    /// Bytes of a usual request.
    pub small: usize,
    /// Time without progress after which an unfinished holder gives way before others.
    pub stalled_after: Duration,
    /// Time for which a new connection keeps its place in any case.
    pub settled_after: Duration,
}

impl Default for HoldingLimits {
    fn default() -> Self {
        Self::of_bytes(64 * 1024 * 1024)
    }
}

impl HoldingLimits {
    /// Returns limits of which a quarter is kept for usual requests.
    pub fn of_bytes(bytes: usize) -> Self {
        Self {
            bytes,
            reserve: bytes / 4,
            small: (64 * 1024).min(bytes / 16),
            stalled_after: Duration::from_secs(1),
            settled_after: Duration::from_millis(300),
        }
    }
}

/// A listening socket with a number of places for connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Door {
    /// Name for logs, of which each process has one socket.
    pub name: &'static str,
    /// Connections that may be open at once.
    pub places: usize,
}

/// How far a holder is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// A connection on which nothing has arrived yet.
    Unused,
    /// A connection on which a part of a head has arrived.
    Head,
    /// A connection whose client has been answered.
    Idle,
    /// A connection whose requests are being handled.
    Busy,
    /// A request whose body is arriving.
    Body,
    /// A request that has arrived whole, and is held until its response has ended.
    Whole,
}

impl Stage {
    /// Returns its name in logs.
    pub fn code(self) -> &'static str {
        match self {
            Self::Unused => "unused",
            Self::Head => "head",
            Self::Idle => "idle",
            Self::Busy => "busy",
            Self::Body => "body",
            Self::Whole => "whole",
        }
    }

    fn is_connection(self) -> bool {
        matches!(self, Self::Unused | Self::Head | Self::Idle | Self::Busy)
    }

    fn is_unfinished(self) -> bool {
        matches!(self, Self::Head | Self::Body)
    }
}

/// Why a holder gives way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum WayGiven {
    /// Others need the bytes.
    ForBytes,
    /// Another client needs the place.
    ForPlace,
    /// Its head took too long.
    Late,
    /// The process stops.
    AtStop,
}

impl WayGiven {
    /// Returns its name in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::ForBytes => "bytes",
            Self::ForPlace => "place",
            Self::Late => "late",
            Self::AtStop => "stop",
        }
    }
}

/// There is no room, and nobody else gives way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRoom;

#[derive(Debug)]
struct Holder {
    door: Door,
    /// The connection of a request.
    connection: Option<HolderId>,
    stage: Stage,
    bytes: usize,
    /// When its stage began.
    since: Instant,
    /// When bytes arrived last.
    progress: Instant,
    gives_way: Option<WayGiven>,
}

/// What clients hold in a process, and who gives way when there is no room.
///
/// Whoever is unfinished and makes no progress gives way first: a client that behaves has sent its
/// request whole long before. What has arrived whole never gives way.
#[derive(Debug)]
pub struct ClientHoldings {
    limits: HoldingLimits,
    holders: HashMap<HolderId, Holder>,
    next: HolderId,
    bytes: usize,
    /// Bytes of those that were told to give way.
    leaving: usize,
    /// Open connections by the name of their door, without those that were told to give way.
    open: BTreeMap<&'static str, usize>,
}

impl ClientHoldings {
    pub fn new(limits: HoldingLimits) -> Self {
        Self {
            limits,
            holders: HashMap::new(),
            next: 0,
            bytes: 0,
            leaving: 0,
            open: BTreeMap::new(),
        }
    }

    /// Returns the bytes that all hold.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the connections of a door that were not told to give way.
    pub fn open_connections(&self, door: Door) -> usize {
        self.open.get(door.name).copied().unwrap_or(0)
    }

    /// Returns the number of bytes that one holds, and its stage.
    pub fn holder(&self, id: HolderId) -> Option<(usize, Stage)> {
        self.holders.get(&id).map(|h| (h.bytes, h.stage))
    }

    /// Returns why a holder gives way, if it does.
    pub fn gives_way(&self, id: HolderId) -> Option<WayGiven> {
        self.holders.get(&id)?.gives_way
    }

    /// Takes a place for a new connection. If there is none, another connection gives way.
    ///
    /// # Errors
    /// Fails if nobody does: all have requests, or are new.
    pub fn connect(
        &mut self,
        door: Door,
        now: Instant,
    ) -> Result<(HolderId, Vec<HolderId>), NoRoom> {
        let leaving = match self.open_connections(door) < door.places {
            true => Vec::new(),
            false => self.free_place(door, now).ok_or(NoRoom)?,
        };
        *self.open.entry(door.name).or_default() += 1;
        Ok((self.insert(door, None, now), leaving))
    }

    /// Begins to hold a request whose head has arrived on a connection; returns `None` if that has
    /// ended.
    pub fn request(&mut self, connection: HolderId, now: Instant) -> Option<HolderId> {
        let door = self.holders.get(&connection)?.door;
        Some(self.insert(door, Some(connection), now))
    }

    fn insert(&mut self, door: Door, connection: Option<HolderId>, now: Instant) -> HolderId {
        self.next += 1;
        let holder = Holder {
            door,
            connection,
            stage: match connection {
                Some(_) => Stage::Body,
                None => Stage::Unused,
            },
            bytes: 0,
            since: now,
            progress: now,
            gives_way: None,
        };
        self.holders.insert(self.next, holder);
        self.next
    }

    /// Moves a holder to another stage. A connection that was told to give way for want of a request
    /// stays if one has arrived meanwhile.
    pub fn enter(&mut self, id: HolderId, stage: Stage, now: Instant) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        if stage == Stage::Idle {
            self.bytes -= holder.bytes;
            if holder.gives_way.is_some() {
                self.leaving -= holder.bytes;
            }
            holder.bytes = 0;
        }
        let is_kept = stage == Stage::Busy && holder.stage != Stage::Busy;
        if is_kept && holder.gives_way.take().is_some() {
            self.leaving -= holder.bytes;
            *self.open.entry(holder.door.name).or_default() += 1;
        }
        holder.stage = stage;
        holder.since = now;
        holder.progress = now;
    }

    /// Holds further bytes that have arrived, and returns who gives way for them.
    ///
    /// # Errors
    /// Fails if nobody does: the bytes must not be kept.
    pub fn hold(
        &mut self,
        id: HolderId,
        bytes: usize,
        now: Instant,
    ) -> Result<Vec<HolderId>, NoRoom> {
        let Some(holder) = self.holders.get_mut(&id) else {
            return Err(NoRoom);
        };
        if holder.gives_way.is_some() {
            return Err(NoRoom);
        }
        holder.progress = now;
        match holder.stage {
            // these bytes are counted as those of its requests
            Stage::Busy => return Ok(Vec::new()),
            Stage::Unused | Stage::Idle => {
                holder.stage = Stage::Head;
                holder.since = now;
            }
            Stage::Head | Stage::Body | Stage::Whole => {}
        }
        let own = holder.bytes + bytes;
        let leaving = self.make_room(id, own, now)?;
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.bytes = own;
        }
        self.bytes += bytes;
        Ok(leaving)
    }

    /// Lets others give way until one holder may hold this many bytes.
    fn make_room(
        &mut self,
        id: HolderId,
        own: usize,
        now: Instant,
    ) -> Result<Vec<HolderId>, NoRoom> {
        let held = self.holders.get(&id).map_or(0, |h| h.bytes);
        let limit = match own <= self.limits.small {
            true => self.limits.bytes,
            false => self.limits.bytes - self.limits.reserve,
        };
        let mut leaving = Vec::new();
        loop {
            let others = self.bytes - self.leaving - held;
            // a single large request is served, whatever its size
            if others + own <= limit || others <= self.limits.reserve / 2 {
                return Ok(leaving);
            }
            match self.largest_unfinished(now) {
                Some(other) if other != id => {
                    self.tell(other, WayGiven::ForBytes);
                    leaving.push(other);
                }
                _ => return Err(NoRoom),
            }
        }
    }

    /// Returns the unfinished holder that gives way for bytes: one that stalls, else any; of these
    /// the one with the most bytes.
    fn largest_unfinished(&self, now: Instant) -> Option<HolderId> {
        let candidates = self.holders.iter().filter(|(_, holder)| {
            holder.stage.is_unfinished() && holder.gives_way.is_none() && holder.bytes > 0
        });
        let rank = |holder: &Holder| (self.is_stalled(holder, now), holder.bytes);
        let largest = candidates.max_by_key(|(id, holder)| (rank(holder), *id));
        largest.map(|(id, _)| *id)
    }

    fn is_stalled(&self, holder: &Holder, now: Instant) -> bool {
        now.saturating_duration_since(holder.progress) >= self.limits.stalled_after
    }

    /// Has the least needed connection of a door give way, with its request.
    fn free_place(&mut self, door: Door, now: Instant) -> Option<Vec<HolderId>> {
        let candidates = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.door == door && holder.gives_way.is_none());
        let ranked = candidates.filter_map(|(id, holder)| {
            let rank = self.rank_for_place(holder, now)?;
            Some(((rank, holder.progress), *id))
        });
        let (_, id) = ranked.min()?;
        let connection = self.holders.get(&id).and_then(|holder| holder.connection);
        let mut told = vec![id];
        told.extend(connection);
        told.iter()
            .for_each(|id| self.tell(*id, WayGiven::ForPlace));
        Some(told)
    }

    /// Returns the place of a holder in the order of those that give way for a place.
    fn rank_for_place(&self, holder: &Holder, now: Instant) -> Option<u8> {
        let is_settled = now.saturating_duration_since(holder.since) >= self.limits.settled_after;
        match holder.stage {
            Stage::Unused | Stage::Head if is_settled => Some(0),
            Stage::Body if self.is_stalled(holder, now) => Some(1),
            Stage::Idle if is_settled => Some(2),
            Stage::Body if is_settled => Some(3),
            _ => None,
        }
    }

    /// Returns the connections whose heads take longer than this, which give way.
    pub fn expire_heads(&mut self, limit: Duration, now: Instant) -> Vec<HolderId> {
        let is_late =
            |h: &Holder| h.stage == Stage::Head && now.saturating_duration_since(h.since) >= limit;
        self.tell_all(WayGiven::Late, is_late)
    }

    /// Returns the connections of a door that have no whole head as the process stops, which give
    /// way.
    pub fn stop(&mut self, door: Door) -> Vec<HolderId> {
        let has_no_request =
            |h: &Holder| h.door == door && matches!(h.stage, Stage::Unused | Stage::Head);
        self.tell_all(WayGiven::AtStop, has_no_request)
    }

    fn tell_all(&mut self, cause: WayGiven, applies: impl Fn(&Holder) -> bool) -> Vec<HolderId> {
        let holders = self.holders.iter();
        let told = holders.filter(|(_, h)| h.gives_way.is_none() && applies(h));
        let told: Vec<HolderId> = told.map(|(id, _)| *id).collect();
        told.iter().for_each(|id| self.tell(*id, cause));
        told
    }

    fn tell(&mut self, id: HolderId, cause: WayGiven) {
        let untold = |holder: &&mut Holder| holder.gives_way.is_none();
        let Some(holder) = self.holders.get_mut(&id).filter(untold) else {
            return;
        };
        holder.gives_way = Some(cause);
        self.leaving += holder.bytes;
        if holder.stage.is_connection() {
            remove_one(&mut self.open, holder.door);
        }
    }

    /// Ends a holder.
    pub fn end(&mut self, id: HolderId) {
        let Some(holder) = self.holders.remove(&id) else {
            return;
        };
        self.bytes -= holder.bytes;
        match holder.gives_way {
            Some(_) => self.leaving -= holder.bytes,
            None if holder.stage.is_connection() => remove_one(&mut self.open, holder.door),
            None => {}
        }
    }
}

fn remove_one(open: &mut BTreeMap<&'static str, usize>, door: Door) {
    if let Some(count) = open.get_mut(door.name) {
        *count = count.saturating_sub(1);
    }
}
