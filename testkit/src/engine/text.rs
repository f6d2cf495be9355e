use std::hash::{DefaultHasher, Hash, Hasher};

/// Returns a hash that identifies a prompt in the tokens generated for it.
pub fn prompt_hash(prompt: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    hasher.finish() % 1_000_000
}

/// Returns the token at an index of a completion; it names the adapter, version and prompt.
pub fn expected_token(adapter: &str, version: u32, prompt: &str, index: usize) -> String {
    format!("{adapter}@{version}/{}/{index}", prompt_hash(prompt))
}
