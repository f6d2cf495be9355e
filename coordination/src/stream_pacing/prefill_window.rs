use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// How long starts are kept; a longer gap objective uses those of this time.
const MAX_WINDOW: Duration = Duration::from_secs(2);
/// Maximum number of starts kept of one engine, the newest ones. Above it the engine is
/// overloaded in any case.
const MAX_STARTS: usize = 256;

/// Prompt tokens that started on an engine.
#[derive(Debug, Clone, Copy)]
struct Start {
    at: Instant,
    tokens: f64,
    /// Whether this entry sent them; otherwise the engine's report shows them.
    is_own: bool,
}

/// Prompts that started on one engine lately: those that this entry sent, and those of other
/// entries as far as the reports of its sidecar show them.
#[derive(Debug, Clone, Default)]
pub struct PrefillWindow {
    /// Oldest first.
    starts: VecDeque<Start>,
    /// Pending prompt tokens of the last report, and its time.
    reported: Option<(f64, Instant)>,
}

impl PrefillWindow {
    /// Records a prompt that this entry sends.
    pub fn on_sent(&mut self, prompt_tokens: u32, now: Instant) {
        self.insert(f64::from(prompt_tokens), true, now);
    }

    /// Applies a report of the engine's pending prompt tokens, written at `reported_at`. Tokens
    /// that neither remained from the last report nor were sent by this entry are those of
    /// other entries. Prompts that started and ended between two reports are not seen. `unit` is
    /// the resolution of `pending`: 1, or the size of a prompt if prompts were counted.
    pub fn on_report(&mut self, pending: f64, unit: f64, tokens_per_ms: f64, reported_at: Instant) {
        let before = self.reported.replace((pending, reported_at));
        let Some((known, known_at)) = before.filter(|(_, at)| *at < reported_at) else {
            return;
        };
        let elapsed_ms = (reported_at - known_at).as_secs_f64() * 1e3;
        let remaining = (known - elapsed_ms * tokens_per_ms).max(0.0);
        let remaining = (remaining / unit).ceil() * unit;
        let sent = self.sent_between(known_at, reported_at);
        let of_others = pending - remaining - sent;
        if of_others > 0.0 {
            self.insert(of_others, false, reported_at);
        }
    }

    /// Forgets the reports of an incarnation that ended or whose sidecar is silent.
    pub fn on_reports_lost(&mut self) {
        self.reported = None;
    }

    /// Returns the prompt tokens that this entry sent after `from` and until `to`.
    pub fn sent_between(&self, from: Instant, to: Instant) -> f64 {
        let own = self.starts.iter().filter(|start| start.is_own);
        let sent = own.filter(|start| start.at > from && start.at <= to);
        sent.map(|start| start.tokens).sum()
    }

    /// Returns the prompt tokens that started within `gap` before now.
    pub fn started_within(&self, gap: Duration, now: Instant) -> f64 {
        let recent = self
            .starts
            .iter()
            .filter(|start| is_within(start, gap, now));
        recent.map(|start| start.tokens).sum()
    }

    /// Returns the time until at most `max_tokens` started within `gap`.
    pub fn time_until_at_most(&self, max_tokens: f64, gap: Duration, now: Instant) -> Duration {
        let mut started = self.started_within(gap, now);
        for start in self
            .starts
            .iter()
            .filter(|start| is_within(start, gap, now))
        {
            if started <= max_tokens {
                break;
            }
            started -= start.tokens;
            if started <= max_tokens {
                return (start.at + gap).saturating_duration_since(now);
            }
        }
        Duration::ZERO
    }

    fn insert(&mut self, tokens: f64, is_own: bool, at: Instant) {
        while self.starts.front().is_some_and(|start| {
            let age = at.saturating_duration_since(start.at);
            age > MAX_WINDOW || self.starts.len() >= MAX_STARTS
        }) {
            self.starts.pop_front();
        }
        // reports are older than the newest sends
        let later = self.starts.iter().rev().take_while(|start| start.at > at);
        let index = self.starts.len() - later.count();
        self.starts.insert(index, Start { at, tokens, is_own });
    }
}

fn is_within(start: &Start, gap: Duration, now: Instant) -> bool {
    now.saturating_duration_since(start.at) < gap
}
