use std::hash::{DefaultHasher, Hash, Hasher};

/// marks a prompt in the tokens that it leads to
pub fn prompt_hash(prompt: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    hasher.finish() % 1_000_000
}

/// the token that stands at an index of an answer; it shows what made it
pub fn expected_token(adapter: &str, version: u32, prompt: &str, index: usize) -> String {
    format!("{adapter}@{version}/{}/{index}", prompt_hash(prompt))
}
