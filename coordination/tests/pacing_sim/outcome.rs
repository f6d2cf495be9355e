use {
    super::{Run, GAP_MS},
    chalkcart_coordination::dispatch::RejectionCause,
    std::{
        collections::BTreeMap,
        fmt::{self, Display, Formatter},
    },
};

/// Streams that ended at a third of the engines.
#[derive(Debug, Clone, Copy, Default)]
pub struct Third {
    pub ended: usize,
    pub complete: usize,
    pub paused: usize,
    pub first_late: usize,
}

/// What became of the streams of a simulation, after its warm-up.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub streams: usize,
    /// By third of the engines, in the order of the scenario.
    pub thirds: [Third; 3],
    pub in_time: usize,
    pub rejected: BTreeMap<&'static str, usize>,
    /// Given up while they waited in an entry.
    pub abandoned: usize,
    pub turn_waits: usize,
    /// Loads from the weight store, and from host memory.
    pub loads: usize,
    pub reloads: usize,
}

impl Outcome {
    pub fn on_ended(&mut self, third: usize, run: &Run, is_complete: bool) {
        if !run.is_counted {
            return;
        }
        let is_paused = run.longest_pause_ms > GAP_MS as f64;
        let is_first_late = run.is_first_late || run.last_event_at.is_none();
        let third = &mut self.thirds[third];
        third.ended += 1;
        third.complete += usize::from(is_complete);
        third.paused += usize::from(is_paused);
        third.first_late += usize::from(is_first_late);
        self.in_time += usize::from(is_complete && !is_paused && !is_first_late);
    }
    /// Adds the streams of another simulation.
    pub fn add(&mut self, other: &Self) {
        self.streams += other.streams;
        self.in_time += other.in_time;
        self.abandoned += other.abandoned;
        self.turn_waits += other.turn_waits;
        self.loads += other.loads;
        self.reloads += other.reloads;
        for (third, added) in self.thirds.iter_mut().zip(&other.thirds) {
            third.ended += added.ended;
            third.complete += added.complete;
            third.paused += added.paused;
            third.first_late += added.first_late;
        }
        for (cause, count) in &other.rejected {
            *self.rejected.entry(cause).or_default() += count;
        }
    }
    pub fn on_rejected(&mut self, cause: RejectionCause) {
        *self.rejected.entry(cause.code()).or_default() += 1;
    }
    /// Returns the share of the streams at a third of the engines with a pause above the gap
    /// objective.
    pub fn paused_share(&self, third: usize) -> f64 {
        let third = &self.thirds[third];
        third.paused as f64 / third.ended.max(1) as f64
    }
    /// Returns the number of streams whose first event was late.
    pub fn first_late(&self) -> usize {
        self.thirds.iter().map(|third| third.first_late).sum()
    }
    pub fn complete(&self) -> usize {
        self.thirds.iter().map(|third| third.complete).sum()
    }
    pub fn rejected(&self) -> usize {
        self.rejected.values().sum()
    }
}

impl Display for Outcome {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{} of {} in time; ", self.in_time, self.streams)?;
        for (number, third) in self.thirds.iter().enumerate() {
            let first_late = third.first_late as f64 / third.ended.max(1) as f64;
            write!(
                f,
                "third {number}: {} ended, paused {:.4}, first late {first_late:.4}; ",
                third.ended,
                self.paused_share(number)
            )?;
        }
        write!(
            f,
            "rejected {:?}, abandoned {}, turns {}, loads {} and {} from host memory",
            self.rejected, self.abandoned, self.turn_waits, self.loads, self.reloads
        )
    }
}
