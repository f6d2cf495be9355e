use {
    super::RunOnceError,
    chalkcart_protocol::peer::Outcome,
    chalkcart_state::ids::{BoxName, Incarnation, ReservedId},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Retry delay that callers receive while the table is full.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Settings of a run-once table.
#[derive(Debug, Clone)]
pub struct RunOnceSettings {
    pub target: BoxName,
    pub incarnation: Incarnation,
    /// Maximum number of tracked ids.
    pub capacity: usize,
    /// Time within which an id has to be used for the first time.
    pub valid_for: Duration,
}

impl Default for RunOnceSettings {
    fn default() -> Self {
        Self {
            target: BoxName::new(),
            incarnation: 0,
            capacity: 100_000,
            valid_for: Duration::from_secs(600),
        }
    }
}

/// State of the request with a reserved id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunPhase {
    /// Issued but not used yet.
    Reserved,
    /// Admitted but not started.
    Queued,
    /// Sent to the engine or service; it may have run.
    Started,
    /// Ran to completion.
    Completed,
    /// Started, with an unknown outcome.
    OutcomeUnknown,
    /// Expired or cancelled before it started; it will never run.
    NeverRun,
}

/// What to do with an arriving request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The first copy, which is to be queued.
    First,
    /// A further copy of a request that has been admitted.
    Duplicate,
}

#[derive(Debug)]
struct Row {
    secret: u64,
    expires: Instant,
    phase: RunPhase,
}

impl Row {
    fn phase_at(&self, now: Instant) -> RunPhase {
        match self.phase {
            RunPhase::Reserved if now >= self.expires => RunPhase::NeverRun,
            phase => phase,
        }
    }
    fn is_final(&self, now: Instant) -> bool {
        matches!(
            self.phase_at(now),
            RunPhase::Completed | RunPhase::OutcomeUnknown | RunPhase::NeverRun
        )
    }
}

/// Tracks the reserved ids of one incarnation, so that each request runs at most once.
///
/// Ids are numbered in sequence, and only the oldest are evicted. An evicted id is below
/// `floor` and always rejected, however late a copy arrives.
#[derive(Debug)]
pub struct RunOnceTable {
    settings: RunOnceSettings,
    /// Number of the oldest tracked id.
    floor: u64,
    rows: VecDeque<Row>,
}

impl RunOnceTable {
    pub fn new(settings: RunOnceSettings) -> Self {
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

    /// Reserves ids, whose random parts are drawn from `draw_secret`.
    ///
    /// # Errors
    /// The table is full of ids that are still in use.
    pub fn reserve(
        &mut self,
        count: u32,
        now: Instant,
        mut draw_secret: impl FnMut() -> u64,
    ) -> Result<Vec<ReservedId>, RunOnceError> {
        let wanted = count as usize;
        self.evict_final_rows(wanted, now);
        if self.rows.len() + wanted > self.settings.capacity {
            return Err(RunOnceError::Full {
                wanted: count,
                retry_after: FULL_RETRY_AFTER,
            });
        }
        let ids = (0..count).map(|_| self.add_row(now, draw_secret()));
        Ok(ids.collect())
    }

    /// Decides on an arriving copy of a request.
    ///
    /// # Errors
    /// The id is not valid, or its request must not run any more.
    pub fn admit(&mut self, id: &ReservedId, now: Instant) -> Result<Admission, RunOnceError> {
        let row = self.row_mut(id)?;
        match row.phase_at(now) {
            RunPhase::Reserved => {
                row.phase = RunPhase::Queued;
                Ok(Admission::First)
            }
            RunPhase::NeverRun if row.phase == RunPhase::Reserved => {
                row.phase = RunPhase::NeverRun;
                Err(RunOnceError::Expired)
            }
            RunPhase::NeverRun => Err(RunOnceError::Cancelled),
            RunPhase::Queued
            | RunPhase::Started
            | RunPhase::Completed
            | RunPhase::OutcomeUnknown => Ok(Admission::Duplicate),
        }
    }

    /// Marks a request as started and returns whether it may be sent. Has to be called right
    /// before the request is sent to the engine or service.
    pub fn start(&mut self, id: &ReservedId) -> bool {
        let Ok(row) = self.row_mut(id) else {
            return false;
        };
        if row.phase != RunPhase::Queued {
            return false;
        }
        row.phase = RunPhase::Started;
        true
    }

    /// Records the outcome of a started request.
    pub fn finish(&mut self, id: &ReservedId, outcome: Outcome) {
        let Ok(row) = self.row_mut(id) else {
            return;
        };
        if row.phase != RunPhase::Started {
            return;
        }
        row.phase = match outcome {
            Outcome::Ran => RunPhase::Completed,
            Outcome::MayHaveRun => RunPhase::OutcomeUnknown,
            Outcome::NotRun => RunPhase::NeverRun,
        };
    }

    /// Cancels a request that hasn't started, and returns its outcome. After `NotRun` the
    /// request will never run.
    pub fn cancel(&mut self, id: &ReservedId) -> Outcome {
        let row = match self.row_mut(id) {
            Ok(row) => row,
            Err(e) => return e.outcome(),
        };
        match row.phase {
            RunPhase::Reserved | RunPhase::Queued | RunPhase::NeverRun => {
                row.phase = RunPhase::NeverRun;
                Outcome::NotRun
            }
            RunPhase::Started | RunPhase::OutcomeUnknown => Outcome::MayHaveRun,
            RunPhase::Completed => Outcome::Ran,
        }
    }

    /// Returns the state of the request with an id.
    ///
    /// # Errors
    /// The id is not tracked.
    pub fn phase(&self, id: &ReservedId, now: Instant) -> Result<RunPhase, RunOnceError> {
        let index = self.index(id)?;
        Ok(self.rows[index].phase_at(now))
    }

    fn add_row(&mut self, now: Instant, secret: u64) -> ReservedId {
        let number = self.floor + self.rows.len() as u64;
        self.rows.push_back(Row {
            secret,
            expires: now + self.settings.valid_for,
            phase: RunPhase::Reserved,
        });
        ReservedId {
            target: self.settings.target.clone(),
            incarnation: self.settings.incarnation,
            number,
            secret,
        }
    }

    fn evict_final_rows(&mut self, wanted: usize, now: Instant) {
        while self.rows.len() + wanted > self.settings.capacity {
            if !self.rows.front().is_some_and(|row| row.is_final(now)) {
                return;
            }
            self.rows.pop_front();
            self.floor += 1;
        }
    }

    fn index(&self, id: &ReservedId) -> Result<usize, RunOnceError> {
        if id.target != self.settings.target {
            return Err(RunOnceError::Unknown);
        }
        if id.incarnation != self.settings.incarnation {
            return Err(RunOnceError::EarlierIncarnation);
        }
        if id.number < self.floor {
            return Err(RunOnceError::Forgotten);
        }
        let index = (id.number - self.floor) as usize;
        match self.rows.get(index) {
            Some(row) if row.secret == id.secret => Ok(index),
            _ => Err(RunOnceError::Unknown),
        }
    }

    fn row_mut(&mut self, id: &ReservedId) -> Result<&mut Row, RunOnceError> {
        let index = self.index(id)?;
        Ok(&mut self.rows[index])
    }
}
