use {hdrhistogram::Histogram, std::collections::BTreeMap, std::time::Duration};

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// Results of the requests of one group and class.
#[derive(Debug)]
pub struct ClassReport {
    pub sent: u64,
    pub completed: u64,
    /// Completed with the first token within the stream's target.
    pub within_target: u64,
    pub not_run: u64,
    pub may_have_run: u64,
    pub tokens: u64,
    /// Tokens of completions that ended between the warm-up and the end of the load, including
    /// those of requests sent before.
    pub window_tokens: u64,
    /// Time to first token in µs.
    pub first_token: Histogram<u64>,
    /// Time to the end of the completion in µs.
    pub total: Histogram<u64>,
    /// Time to a failure in µs.
    pub rejection_time: Histogram<u64>,
    pub rejected_with_retry_after: u64,
    pub reasons: BTreeMap<String, u64>,
}

impl Default for ClassReport {
    fn default() -> Self {
        let histogram = || Histogram::new(DIGITS).expect("the precision is allowed");
        Self {
            sent: 0,
            completed: 0,
            within_target: 0,
            not_run: 0,
            may_have_run: 0,
            tokens: 0,
            window_tokens: 0,
            first_token: histogram(),
            total: histogram(),
            rejection_time: histogram(),
            rejected_with_retry_after: 0,
            reasons: BTreeMap::new(),
        }
    }
}

impl ClassReport {
    pub fn first_token_ms(&self, quantile: f64) -> f64 {
        self.first_token.value_at_quantile(quantile) as f64 / 1e3
    }
    pub fn total_ms(&self, quantile: f64) -> f64 {
        self.total.value_at_quantile(quantile) as f64 / 1e3
    }
    pub fn rejected_ms(&self, quantile: f64) -> f64 {
        self.rejection_time.value_at_quantile(quantile) as f64 / 1e3
    }
}

#[derive(Debug, Default)]
pub struct LoadReport {
    /// Results by `GROUP/CLASS`.
    pub classes: BTreeMap<String, ClassReport>,
    /// Completions by another adapter or version, or for another prompt.
    pub mismatched: u64,
    /// Completions with missing or misplaced tokens.
    pub incomplete: u64,
    /// Requests that neither completed nor failed.
    pub unfinished: u64,
    pub span: Duration,
}

impl LoadReport {
    pub fn completed(&self) -> u64 {
        self.classes.values().map(|c| c.completed).sum()
    }
    pub fn within_target(&self) -> u64 {
        self.classes.values().map(|c| c.within_target).sum()
    }
    pub fn sent(&self) -> u64 {
        self.classes.values().map(|c| c.sent).sum()
    }
    /// Formats the results as a table.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<22} {:>6} {:>6} {:>7} {:>8} {:>8} {:>9} {:>9} {:>9}\n",
            "group/class",
            "sent",
            "whole",
            "in time",
            "not run",
            "unclear",
            "ttft p50",
            "ttft p99",
            "total p99"
        );
        for (name, class) in &self.classes {
            text.push_str(&format!(
                "{:<22} {:>6} {:>6} {:>7} {:>8} {:>8} {:>6.0} ms {:>6.0} ms {:>6.0} ms\n",
                name,
                class.sent,
                class.completed,
                class.within_target,
                class.not_run,
                class.may_have_run,
                class.first_token_ms(0.5),
                class.first_token_ms(0.99),
                class.total_ms(0.99),
            ));
        }
        text
    }
}
