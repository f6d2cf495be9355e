use std::ops::AddAssign;

/// What became of a stream that its client took up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Result {
    WentOn,
    /// Went on at another version than the one that began it, as any was taken to fit.
    Joined,
    /// The same, as the version was guessed.
    JoinedByGuess,
    /// Each try was refused.
    Refused,
}

/// A stream that broke off, at the end of its client's tries.
#[derive(Debug, Clone, Copy)]
pub struct TakenUp {
    pub result: Result,
    /// Whether two ready engines of its version were listed during the tries.
    pub is_served: bool,
    /// Whether a living process had been told its origin when the tries began.
    pub is_told: bool,
    /// Whether it had run long enough for its origin to be told.
    pub is_old: bool,
    /// Whether engines ended while it ran, with what their sidecars kept.
    pub has_seen_engines_end: bool,
}

#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    pub taken_up: usize,
    pub went_on: usize,
    pub joined: usize,
    /// Of these, those whose version was guessed.
    pub joined_by_guess: usize,
    pub refused: usize,
    /// Refused while two engines of their version served.
    pub refused_served: usize,
    /// Two engines of their version served, and a living process had been told the origin.
    pub told: usize,
    pub told_went_on: usize,
    /// Two engines of their version served, they had run for some time, and not all processes were
    /// killed.
    pub served: usize,
    pub served_went_on: usize,
    /// Of these, engines ended while they ran.
    pub outlived: usize,
    pub outlived_went_on: usize,
}

impl Counts {
    pub fn add(&mut self, stream: TakenUp, is_all_killed: bool) {
        let went_on = stream.result == Result::WentOn;
        let is_told = stream.is_served && stream.is_told;
        let is_counted = stream.is_served && stream.is_old && !is_all_killed;
        let has_outlived = is_counted && stream.has_seen_engines_end;
        let is_guessed = stream.result == Result::JoinedByGuess;
        let is_joined = is_guessed || stream.result == Result::Joined;
        let is_refused = stream.result == Result::Refused;
        *self += Self {
            taken_up: 1,
            went_on: usize::from(went_on),
            joined: usize::from(is_joined),
            joined_by_guess: usize::from(is_guessed),
            refused: usize::from(is_refused),
            refused_served: usize::from(is_refused && stream.is_served),
            told: usize::from(is_told),
            told_went_on: usize::from(is_told && went_on),
            served: usize::from(is_counted),
            served_went_on: usize::from(is_counted && went_on),
            outlived: usize::from(has_outlived),
            outlived_went_on: usize::from(has_outlived && went_on),
        };
    }
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        self.taken_up += other.taken_up;
        self.went_on += other.went_on;
        self.joined += other.joined;
        self.joined_by_guess += other.joined_by_guess;
        self.refused += other.refused;
        self.refused_served += other.refused_served;
        self.told += other.told;
        self.told_went_on += other.told_went_on;
        self.served += other.served;
        self.served_went_on += other.served_went_on;
        self.outlived += other.outlived;
        self.outlived_went_on += other.outlived_went_on;
    }
}
