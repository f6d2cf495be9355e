use {crate::cluster::Cluster, anyhow::Result, std::collections::BTreeMap};

/// Histogram summed over processes and labels.
#[derive(Debug, Default, Clone)]
pub struct HistogramTotals {
    pub count: f64,
    pub sum: f64,
    /// Cumulative counts by the bit pattern of the bucket's upper bound.
    buckets: BTreeMap<u64, f64>,
}

impl HistogramTotals {
    /// Returns the upper bound in seconds of the bucket that contains a quantile.
    pub fn quantile(&self, quantile: f64) -> f64 {
        let wanted = self.count * quantile;
        let found = self.buckets.iter().find(|(_, n)| **n >= wanted);
        found.map_or(0.0, |(bits, _)| f64::from_bits(*bits))
    }
    /// Subtracts an earlier scrape.
    pub fn since(mut self, earlier: &Self) -> Self {
        self.count -= earlier.count;
        self.sum -= earlier.sum;
        for (bound, count) in &mut self.buckets {
            *count -= earlier.buckets.get(bound).copied().unwrap_or(0.0);
        }
        self
    }
    fn add_line(&mut self, rest: &str, value: f64) {
        if rest.starts_with("_count") {
            self.count += value;
        } else if rest.starts_with("_sum") {
            self.sum += value;
        } else if let Some(bound) = bucket_bound(rest) {
            // non-negative floats sort like their bit patterns
            *self.buckets.entry(bound.to_bits()).or_insert(0.0) += value;
        }
    }
}

/// Sums one histogram over the sidecars of all engines.
pub async fn scrape_engines(cluster: &Cluster, name: &str) -> Result<HistogramTotals> {
    let mut scraped = HistogramTotals::default();
    for node in &cluster.engines {
        let (_, page) = node.sidecar.get("/metrics").await?;
        for line in page.lines() {
            let Some(rest) = line.strip_prefix(name) else {
                continue;
            };
            let value = line.rsplit(' ').next().and_then(|v| v.parse().ok());
            scraped.add_line(rest, value.unwrap_or(0.0));
        }
    }
    Ok(scraped)
}

fn bucket_bound(rest: &str) -> Option<f64> {
    let (_, from_bound) = rest.split_once("le=\"")?;
    let (bound, _) = from_bound.split_once('"')?;
    match bound {
        "+Inf" => Some(f64::INFINITY),
        bound => bound.parse().ok(),
    }
}
