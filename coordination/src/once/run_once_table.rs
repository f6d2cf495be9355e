use {
    super::OnceError,
    chalkcart_protocol::peer::Outcome,
    chalkcart_state::ids::{BoxName, Incarnation, ReservedId},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// how long a caller is told to wait when the table is full
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// bounds of the table
#[derive(Debug, Clone)]
pub struct OnceSettings {
    pub target: BoxName,
    pub incarnation: Incarnation,
    /// ids remembered at most
    pub capacity: usize,
    /// how long an id may wait for its first use
    pub valid_for: Duration,
}

impl Default for OnceSettings {
    fn default() -> Self {
        Self {
            target: BoxName::new(),
            incarnation: 0,
            capacity: 100_000,
            valid_for: Duration::from_secs(600),
        }
    }
}

/// where the request of an id stands
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// given, not used
    Reserved,
    /// admitted, not started
    Queued,
    /// handed to the engine or service; may have run from now on
    Started,
    /// ran to its end
    Ended,
    /// started, and its end is not known
    Unclear,
    /// never started, and never will
    Sealed,
}

/// what to do with an arriving request
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// the first copy: queue it
    First,
    /// a further copy: join the first one's stream
    Repeat,
}

#[derive(Debug)]
struct Row {
    secret: u64,
    expires: Instant,
    phase: Phase,
}

impl Row {
    fn phase_at(&self, now: Instant) -> Phase {
        match self.phase {
            Phase::Reserved if now >= self.expires => Phase::Sealed,
            phase => phase,
        }
    }
    fn is_final(&self, now: Instant) -> bool {
        matches!(
            self.phase_at(now),
            Phase::Ended | Phase::Unclear | Phase::Sealed
        )
    }
}

/// remembers each id of one incarnation until its row is dropped, and
/// refuses every id below the lowest remembered one.
///
/// No row is dropped by the clock alone: an id that is no longer remembered
/// is below `floor` and refused, however late its copy arrives.
#[derive(Debug)]
pub struct RunOnceTable {
    settings: OnceSettings,
    /// number of the oldest remembered id
    floor: u64,
    rows: VecDeque<Row>,
}

impl RunOnceTable {
    pub fn new(settings: OnceSettings) -> Self {
        Self {
            settings,
            floor: 0,
            rows: VecDeque::new(),
        }
    }

    pub fn valid_for(&self) -> Duration {
        self.settings.valid_for
    }
    pub fn len(&self) -> usize {
        self.rows.len()
    }
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// give ids; `draw` gives their random parts
    pub fn reserve(
        &mut self,
        count: u32,
        now: Instant,
        mut draw: impl FnMut() -> u64,
    ) -> Result<Vec<ReservedId>, OnceError> {
        let wanted = count as usize;
        self.drop_final_rows(wanted, now);
        if self.rows.len() + wanted > self.settings.capacity {
            return Err(OnceError::Full {
                wanted: count,
                retry_after: FULL_RETRY_AFTER,
            });
        }
        let ids = (0..count).map(|_| self.add_row(now, draw()));
        Ok(ids.collect())
    }

    /// decide on an arriving copy of a request
    pub fn admit(&mut self, id: &ReservedId, now: Instant) -> Result<Admission, OnceError> {
        let row = self.row_mut(id)?;
        match row.phase_at(now) {
            Phase::Reserved => {
                row.phase = Phase::Queued;
                Ok(Admission::First)
            }
            Phase::Sealed if row.phase == Phase::Reserved => {
                row.phase = Phase::Sealed;
                Err(OnceError::Expired)
            }
            Phase::Sealed => Err(OnceError::Sealed),
            Phase::Queued | Phase::Started | Phase::Ended | Phase::Unclear => Ok(Admission::Repeat),
        }
    }

    /// called right before the request leaves for the engine or service;
    /// false forbids it
    pub fn start(&mut self, id: &ReservedId) -> bool {
        let Ok(row) = self.row_mut(id) else {
            return false;
        };
        if row.phase != Phase::Queued {
            return false;
        }
        row.phase = Phase::Started;
        true
    }

    /// the started request ended
    pub fn end(&mut self, id: &ReservedId, outcome: Outcome) {
        let Ok(row) = self.row_mut(id) else {
            return;
        };
        if row.phase != Phase::Started {
            return;
        }
        row.phase = match outcome {
            Outcome::Ran => Phase::Ended,
            Outcome::MayHaveRun => Phase::Unclear,
            Outcome::NotRun => Phase::Sealed,
        };
    }

    /// stop a request that has not started; afterwards `NotRun` stays true
    pub fn seal(&mut self, id: &ReservedId) -> Outcome {
        let row = match self.row_mut(id) {
            Ok(row) => row,
            Err(e) => return e.outcome(),
        };
        match row.phase {
            Phase::Reserved | Phase::Queued | Phase::Sealed => {
                row.phase = Phase::Sealed;
                Outcome::NotRun
            }
            Phase::Started | Phase::Unclear => Outcome::MayHaveRun,
            Phase::Ended => Outcome::Ran,
        }
    }

    /// where the request of an id stands
    pub fn phase(&self, id: &ReservedId, now: Instant) -> Result<Phase, OnceError> {
        let index = self.index(id)?;
        Ok(self.rows[index].phase_at(now))
    }

    fn add_row(&mut self, now: Instant, secret: u64) -> ReservedId {
        let number = self.floor + self.rows.len() as u64;
        self.rows.push_back(Row {
            secret,
            expires: now + self.settings.valid_for,
            phase: Phase::Reserved,
        });
        ReservedId {
            target: self.settings.target.clone(),
            incarnation: self.settings.incarnation,
            number,
            secret,
        }
    }

    fn drop_final_rows(&mut self, wanted: usize, now: Instant) {
        while self.rows.len() + wanted > self.settings.capacity {
            if !self.rows.front().is_some_and(|row| row.is_final(now)) {
                return;
            }
            self.rows.pop_front();
            self.floor += 1;
        }
    }

    fn index(&self, id: &ReservedId) -> Result<usize, OnceError> {
        if id.target != self.settings.target {
            return Err(OnceError::Unknown);
        }
        if id.incarnation != self.settings.incarnation {
            return Err(OnceError::EarlierIncarnation);
        }
        if id.number < self.floor {
            return Err(OnceError::Forgotten);
        }
        let index = (id.number - self.floor) as usize;
        match self.rows.get(index) {
            Some(row) if row.secret == id.secret => Ok(index),
            _ => Err(OnceError::Unknown),
        }
    }

    fn row_mut(&mut self, id: &ReservedId) -> Result<&mut Row, OnceError> {
        let index = self.index(id)?;
        Ok(&mut self.rows[index])
    }
}
