use {chalkcart_protocol::peer::Outcome, std::collections::BTreeMap};

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// The request ran more than once.
    RanTwice { body: String, runs: u32 },
    /// The request was reported as not run, but ran.
    RanDespiteNotRun { body: String },
    /// A response was received, but the request did not run.
    ResponseWithoutRun { body: String },
    /// The response belongs to another request.
    WrongResponse { body: String },
}

#[derive(Debug, Default)]
struct RequestRow {
    has_response: bool,
    has_wrong_response: bool,
    is_not_run: bool,
}

/// Collects the responses and outcomes of requests by their unique body.
#[derive(Debug, Default)]
pub struct AtMostOnceLedger {
    rows: BTreeMap<String, RequestRow>,
}

impl AtMostOnceLedger {
    pub fn on_response(&mut self, body: &str, response: &[u8]) {
        let row = self.rows.entry(body.to_string()).or_default();
        row.has_response = true;
        row.has_wrong_response |= response != body.as_bytes();
    }
    pub fn on_outcome(&mut self, body: &str, outcome: Outcome) {
        let row = self.rows.entry(body.to_string()).or_default();
        row.is_not_run |= outcome == Outcome::NotRun;
    }
    pub fn response_count(&self) -> usize {
        self.rows.values().filter(|r| r.has_response).count()
    }
    pub fn not_run_count(&self) -> usize {
        self.rows.values().filter(|r| r.is_not_run).count()
    }
    /// Compares the outcomes with the number of runs that the target counted.
    pub fn violations(&self, runs: impl Fn(&str) -> u32) -> Vec<Violation> {
        let mut found = Vec::new();
        for (body, row) in &self.rows {
            let runs = runs(body);
            let body = body.clone();
            if runs > 1 {
                found.push(Violation::RanTwice {
                    body: body.clone(),
                    runs,
                });
            }
            if row.is_not_run && runs > 0 {
                found.push(Violation::RanDespiteNotRun { body: body.clone() });
            }
            if row.has_response && runs == 0 {
                found.push(Violation::ResponseWithoutRun { body: body.clone() });
            }
            if row.has_wrong_response {
                found.push(Violation::WrongResponse { body });
            }
        }
        found
    }
}
