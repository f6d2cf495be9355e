use std::collections::VecDeque;

/// samples that the rate is the median of
const MAX_SAMPLES: usize = 31;
/// samples below which the first guess holds
const MIN_SAMPLES: usize = 5;
/// shorter prompts say more of steps and connections than of reading, in tokens
const MIN_PROMPT_TOKENS: u32 = 300;
/// weight of the newest prompt in the mean size
const PROMPT_AVERAGE_WEIGHT: f64 = 0.02;

/// how fast the engines of one service read prompts, as observed, and how long
/// prompts are.
#[derive(Debug, Clone, Default)]
pub struct PrefillRate {
    /// tokens a ms, of prompts that were read alone
    samples: VecDeque<f64>,
    median: Option<f64>,
    typical_prompt: Option<f64>,
}

impl PrefillRate {
    /// a prompt was sent
    pub fn on_sent(&mut self, prompt_tokens: u32) {
        let tokens = f64::from(prompt_tokens);
        let mean = self.typical_prompt.unwrap_or(tokens);
        self.typical_prompt = Some(mean + (tokens - mean) * PROMPT_AVERAGE_WEIGHT);
    }
    /// the first token of a prompt came after `ms`, and nothing else was being
    /// read at its engine when it was sent
    pub fn on_sole_prefill(&mut self, prompt_tokens: u32, ms: f64) {
        if prompt_tokens < MIN_PROMPT_TOKENS || ms <= 0.0 {
            return;
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(f64::from(prompt_tokens) / ms);
        if self.samples.len() < MIN_SAMPLES {
            return;
        }
        let mut sorted: Vec<f64> = self.samples.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        self.median = Some(sorted[sorted.len() / 2]);
    }

    /// tokens that are read in a ms, once enough was seen
    pub fn tokens_per_ms(&self) -> Option<f64> {
        self.median
    }
    /// mean size of a prompt, in tokens, once one was seen
    pub fn typical_prompt(&self) -> Option<f64> {
        self.typical_prompt
    }
}
