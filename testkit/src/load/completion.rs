use {
    crate::engine::expected_token,
    chalkcart_protocol::v1::{Finished, GenerateRequest},
    std::time::Duration,
};

/// what a caller got for one prompt
#[derive(Debug, Clone, Default)]
pub struct Completion {
    pub tokens: Vec<String>,
    pub finished: Option<Finished>,
    pub time_to_first_token: Duration,
    pub duration: Duration,
}

/// what is wrong with an answer
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompletionCheck {
    Correct,
    /// made by another adapter or version, or for another prompt
    Mismatched,
    /// not the whole answer, or in disorder
    Incomplete,
}

/// check a whole answer against its request
pub fn check_completion(req: &GenerateRequest, answer: &Completion) -> CompletionCheck {
    let expected = |index| expected_token(&req.adapter, req.version, &req.prompt, index);
    let pairs = answer.tokens.iter().enumerate();
    for (index, token) in pairs {
        if *token == expected(index) {
            continue;
        }
        let is_other_token = (0..req.max_tokens as usize).any(|i| *token == expected(i));
        return match is_other_token {
            true => CompletionCheck::Incomplete,
            false => CompletionCheck::Mismatched,
        };
    }
    let Some(finished) = &answer.finished else {
        return CompletionCheck::Incomplete;
    };
    if finished.adapter != req.adapter || finished.version != req.version {
        return CompletionCheck::Mismatched;
    }
    match answer.tokens.len() == req.max_tokens as usize {
        true => CompletionCheck::Correct,
        false => CompletionCheck::Incomplete,
    }
}
