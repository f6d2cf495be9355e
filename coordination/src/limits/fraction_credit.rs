/// Admits a fraction of requests of any size, by error diffusion.
#[derive(Debug)]
pub(super) struct FractionCredit {
    /// Units that may still be admitted of the requests that have arrived.
    credit: f64,
    /// Between 0 and 1, different at each entry, so that entries with a fraction of a
    /// request each admit their first request at different times.
    phase: f64,
}

impl FractionCredit {
    pub fn new(phase: f64) -> Self {
        Self { credit: 0.0, phase }
    }

    /// Adds the fraction of a request to the credit, and returns whether the credit suffices
    /// to admit the request.
    pub fn admits(&mut self, units: f64, fraction: f64) -> bool {
        self.credit += units * fraction;
        let is_admitted = self.credit > units * self.phase;
        if is_admitted {
            self.credit -= units;
        }
        is_admitted
    }
}
