const MILLI_PER_UNIT: f64 = 1_000.0;

/// Request rate in thousandths of a request per second, so that rates compare and serialize
/// exactly.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestRate {
    milli_per_s: u32,
}

impl RequestRate {
    /// Converts requests per second, rounding down and saturating at the highest rate. Returns
    /// `None` for negative values and NaN.
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        let milli = per_s * MILLI_PER_UNIT;
        // a cast saturates
        (milli >= 0.0).then_some(Self {
            milli_per_s: milli as u32,
        })
    }
    pub fn from_milli_per_s(milli_per_s: u32) -> Self {
        Self { milli_per_s }
    }
    pub fn milli_per_s(self) -> u32 {
        self.milli_per_s
    }
    pub fn per_s(self) -> f64 {
        f64::from(self.milli_per_s) / MILLI_PER_UNIT
    }
}

/// Rate limit in the head of a back end's response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LimitSignal {
    /// The response has no limit header: the back end is not limited.
    #[default]
    Absent,
    /// The rate that the back end accepts from all entries together.
    Advertised(RequestRate),
    /// The header can't be parsed. It neither sets nor lifts a limit.
    Unreadable,
}

impl LimitSignal {
    /// Returns the advertised rate, if there is one.
    pub fn rate(self) -> Option<RequestRate> {
        match self {
            Self::Advertised(rate) => Some(rate),
            Self::Absent | Self::Unreadable => None,
        }
    }
}
