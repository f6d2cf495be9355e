/// thousandths in one
const MILLI: f64 = 1_000.0;

/// Requests a second, counted in thousandths, so that two can be compared and sent exactly.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestRate {
    milli_per_s: u32,
}

impl RequestRate {
    /// The rate of so many requests a second, rounded down; what is beyond its range counts
    /// as the highest. None if it is no rate: negative, or not a number.
    pub fn of_per_s(per_s: f64) -> Option<Self> {
        let milli = per_s * MILLI;
        // a cast saturates
        (milli >= 0.0).then_some(Self {
            milli_per_s: milli as u32,
        })
    }
    pub fn of_milli(milli_per_s: u32) -> Self {
        Self { milli_per_s }
    }
    pub fn milli(self) -> u32 {
        self.milli_per_s
    }
    pub fn per_s(self) -> f64 {
        f64::from(self.milli_per_s) / MILLI
    }
}

/// what the head of an answer says of the requests that its back end takes
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LimitSignal {
    /// nothing: it takes what comes
    #[default]
    Unsaid,
    /// so many, from all entries together
    Named(RequestRate),
    /// something that can't be read: it neither bounds nor frees
    Unreadable,
}

impl LimitSignal {
    pub fn named(self) -> Option<RequestRate> {
        match self {
            Self::Named(rate) => Some(rate),
            Self::Unsaid | Self::Unreadable => None,
        }
    }
}
