use std::collections::VecDeque;

/// Number of samples in the median.
const MAX_SAMPLES: usize = 31;
/// Number of samples from which the median is used.
const MIN_SAMPLES: usize = 5;
/// Minimum prompt size of a sample, in tokens; shorter ones measure the connection rather
/// than prefill.
const MIN_PROMPT_TOKENS: u32 = 300;
/// Weight of the newest prompt in the moving average of prompt sizes.
const PROMPT_AVERAGE_WEIGHT: f64 = 0.02;

/// Observed prefill rate of a service's engines, and the size of its prompts.
#[derive(Debug, Clone, Default)]
pub struct PrefillRate {
    /// In tokens per ms, of prompts that were prefilled alone.
    samples: VecDeque<f64>,
    median: Option<f64>,
    typical_prompt_tokens: Option<f64>,
}

impl PrefillRate {
    /// Handles a prompt that was sent.
    pub fn on_sent(&mut self, prompt_tokens: u32) {
        let tokens = f64::from(prompt_tokens);
        let mean = self.typical_prompt_tokens.unwrap_or(tokens);
        self.typical_prompt_tokens = Some(mean + (tokens - mean) * PROMPT_AVERAGE_WEIGHT);
    }
    /// Adds a prompt whose first token came after `ms`, with no other prefill at its engine
    /// when it was sent.
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

    /// Returns the rate in tokens per ms, once there are enough samples.
    pub fn tokens_per_ms(&self) -> Option<f64> {
        self.median
    }
    /// Returns the moving average of prompt sizes in tokens, once there is one.
    pub fn typical_prompt_tokens(&self) -> Option<f64> {
        self.typical_prompt_tokens
    }
}
