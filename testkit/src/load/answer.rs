use {
    crate::engine::expected_token,
    chalkcart_protocol::v1::{Finished, GenerateRequest},
    std::time::Duration,
};

/// what a caller got for one prompt
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub tokens: Vec<String>,
    pub finished: Option<Finished>,
    pub first_token: Duration,
    pub took: Duration,
}

/// what is wrong with an answer
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Good,
    /// made by another adapter or version, or for another prompt
    Wrong,
    /// not the whole answer, or in disorder
    CutOff,
}

/// check a whole answer against its request
pub fn check_answer(req: &GenerateRequest, answer: &Answer) -> Verdict {
    let expected = |index| expected_token(&req.adapter, req.version, &req.prompt, index);
    let pairs = answer.tokens.iter().enumerate();
    for (index, token) in pairs {
        if *token == expected(index) {
            continue;
        }
        let made_for_it = (0..req.max_tokens as usize).any(|i| *token == expected(i));
        return match made_for_it {
            true => Verdict::CutOff,
            false => Verdict::Wrong,
        };
    }
    let Some(finished) = &answer.finished else {
        return Verdict::CutOff;
    };
    if finished.adapter != req.adapter || finished.version != req.version {
        return Verdict::Wrong;
    }
    match answer.tokens.len() == req.max_tokens as usize {
        true => Verdict::Good,
        false => Verdict::CutOff,
    }
}
