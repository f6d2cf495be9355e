use rand::{rngs::SmallRng, RngExt, SeedableRng};

/// Zipf-like popularity of numbered adapters, which can shift.
#[derive(Debug)]
pub struct Popularity {
    /// Cumulative weights by rank.
    sums: Vec<f64>,
    /// Number of the adapter at rank 0; a shift changes it.
    offset: usize,
    rng: SmallRng,
}

impl Popularity {
    pub fn new(adapters: usize, exponent: f64, seed: u64) -> Self {
        let mut sum = 0.0;
        let sums = (1..=adapters).map(|rank| {
            sum += 1.0 / (rank as f64).powf(exponent);
            sum
        });
        Self {
            sums: sums.collect(),
            offset: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }
    pub fn draw(&mut self) -> usize {
        let total = self.sums.last().copied().unwrap_or(0.0);
        let point = self.rng.random::<f64>() * total;
        let rank = self.sums.partition_point(|sum| *sum < point);
        (rank + self.offset) % self.sums.len()
    }
    /// Shifts the ranks by half of the adapters, so that unpopular adapters become popular.
    pub fn shift(&mut self) {
        self.offset += self.sums.len() / 2;
    }
}
