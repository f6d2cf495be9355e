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

/// State of one reserved id.
#[derive(Debug)]
struct IdRecord {
    secret: u64,
    expires: Instant,
    phase: RunPhase,
}

impl IdRecord {
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
    records: VecDeque<IdRecord>,
}

impl RunOnceTable {
    pub fn new(settings: RunOnceSettings) -> Self {
        Self {
            settings,
            floor: 0,
            records: VecDeque::new(),
        }
    }

    pub fn valid_for(&self) -> Duration {
        self.settings.valid_for
    }
    pub fn len(&self) -> usize {
        self.records.len()
    }
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
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
        self.evict_final_records(wanted, now);
        if self.records.len() + wanted > self.settings.capacity {
            return Err(RunOnceError::Full {
                wanted: count,
                retry_after: FULL_RETRY_AFTER,
            });
        }
        let ids = (0..count).map(|_| self.add_record(now, draw_secret()));
        Ok(ids.collect())
    }

    /// Decides on an arriving copy of a request.
    ///
    /// # Errors
    /// The id is not valid, or its request must not run any more.
    pub fn admit(&mut self, id: &ReservedId, now: Instant) -> Result<Admission, RunOnceError> {
        let record = self.record_mut(id)?;
        match record.phase_at(now) {
            RunPhase::Reserved => {
                record.phase = RunPhase::Queued;
                Ok(Admission::First)
            }
            RunPhase::NeverRun if record.phase == RunPhase::Reserved => {
                record.phase = RunPhase::NeverRun;
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
        let Ok(record) = self.record_mut(id) else {
            return false;
        };
        if record.phase != RunPhase::Queued {
            return false;
        }
        record.phase = RunPhase::Started;
        true
    }

    /// Records the outcome of a started request.
    pub fn finish(&mut self, id: &ReservedId, outcome: Outcome) {
        let Ok(record) = self.record_mut(id) else {
            return;
        };
        if record.phase != RunPhase::Started {
            return;
        }
        record.phase = match outcome {
            Outcome::Ran => RunPhase::Completed,
            Outcome::MayHaveRun => RunPhase::OutcomeUnknown,
            Outcome::NotRun => RunPhase::NeverRun,
        };
    }

    /// Cancels a request that hasn't started, and returns its outcome. After `NotRun` the
    /// request will never run.
    pub fn cancel(&mut self, id: &ReservedId) -> Outcome {
        let record = match self.record_mut(id) {
            Ok(record) => record,
            Err(e) => return e.outcome(),
        };
        match record.phase {
            RunPhase::Reserved | RunPhase::Queued | RunPhase::NeverRun => {
                record.phase = RunPhase::NeverRun;
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
        let index = self.index_of(id)?;
        Ok(self.records[index].phase_at(now))
    }

    fn add_record(&mut self, now: Instant, secret: u64) -> ReservedId {
        let number = self.floor + self.records.len() as u64;
        self.records.push_back(IdRecord {
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

    fn evict_final_records(&mut self, wanted: usize, now: Instant) {
        while self.records.len() + wanted > self.settings.capacity {
            if !self
                .records
                .front()
                .is_some_and(|record| record.is_final(now))
            {
                return;
            }
            self.records.pop_front();
            self.floor += 1;
        }
    }

    fn index_of(&self, id: &ReservedId) -> Result<usize, RunOnceError> {
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
        match self.records.get(index) {
            Some(record) if record.secret == id.secret => Ok(index),
            _ => Err(RunOnceError::Unknown),
        }
    }

    fn record_mut(&mut self, id: &ReservedId) -> Result<&mut IdRecord, RunOnceError> {
        let index = self.index_of(id)?;
        Ok(&mut self.records[index])
    }
}
