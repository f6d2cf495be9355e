use serde::{Deserialize, Serialize};

/// The unit that a limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitUnit {
    Requests,
    /// Prompt and output tokens that a request declares; a request that declares none is
    /// charged `plain`.
    Tokens {
        plain: u32,
    },
}

/// Rate limit of a client account across all entries.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RateLimit {
    pub unit: LimitUnit,
    /// Units per second.
    pub per_s: f64,
    /// Units allowed in a burst above the rate.
    pub burst: f64,
}

impl RateLimit {
    /// Returns the units that a request is charged; two token counts of 0 mean that the request
    /// declares none.
    pub fn charge(&self, prompt_tokens: u32, output_tokens: u32) -> u64 {
        match self.unit {
            LimitUnit::Requests => 1,
            LimitUnit::Tokens { plain } if prompt_tokens == 0 && output_tokens == 0 => {
                u64::from(plain)
            }
            LimitUnit::Tokens { .. } => u64::from(prompt_tokens) + u64::from(output_tokens),
        }
    }
}
