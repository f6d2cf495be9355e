use {chalkcart_protocol::peer::Outcome, std::collections::BTreeMap};

/// a promise that was broken
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// ran more than once
    Doubled { body: String, runs: u32 },
    /// said not to have run, and ran
    FalseNotRun { body: String },
    /// answered, and did not run
    AnsweredWithoutRun { body: String },
    /// answered with another request's answer
    Wrong { body: String },
}

#[derive(Debug, Default)]
struct Row {
    answered: bool,
    wrong: bool,
    not_run: bool,
}

/// collects every caller's answers, by the request's unique body
#[derive(Debug, Default)]
pub struct OnceLedger {
    rows: BTreeMap<String, Row>,
}

impl OnceLedger {
    pub fn on_answer(&mut self, body: &str, answer: &[u8]) {
        let row = self.rows.entry(body.to_string()).or_default();
        row.answered = true;
        row.wrong |= answer != body.as_bytes();
    }
    pub fn on_outcome(&mut self, body: &str, outcome: Outcome) {
        let row = self.rows.entry(body.to_string()).or_default();
        row.not_run |= outcome == Outcome::NotRun;
    }
    pub fn answered(&self) -> usize {
        self.rows.values().filter(|r| r.answered).count()
    }
    pub fn not_run(&self) -> usize {
        self.rows.values().filter(|r| r.not_run).count()
    }
    /// compare with the runs that the target counted
    pub fn violations(&self, runs: impl Fn(&str) -> u32) -> Vec<Violation> {
        let mut found = Vec::new();
        for (body, row) in &self.rows {
            let runs = runs(body);
            let body = body.clone();
            if runs > 1 {
                found.push(Violation::Doubled {
                    body: body.clone(),
                    runs,
                });
            }
            if row.not_run && runs > 0 {
                found.push(Violation::FalseNotRun { body: body.clone() });
            }
            if row.answered && runs == 0 {
                found.push(Violation::AnsweredWithoutRun { body: body.clone() });
            }
            if row.wrong {
                found.push(Violation::Wrong { body });
            }
        }
        found
    }
}
