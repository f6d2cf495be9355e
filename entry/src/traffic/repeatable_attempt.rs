use {
    super::attempt::{Attempt, StreamEnd},
    chalkcart_protocol::peer::{Outcome, Reason, Refusal, Step},
    chalkcart_transport::client::{ClientError, FrameStream},
    std::time::Duration,
};

/// asks for the rest of a stream, until one is answered
const MAX_RESUMES: u32 = 6;
/// answered resumes in a row that brought no new frame
const MAX_RESUMES_WITHOUT_PROGRESS: u32 = 6;
const RESUME_DELAY: Duration = Duration::from_millis(30);
/// refused connections after which the target's process counts as gone
const MAX_CONNECT_FAILURES: u32 = 2;

/// drive one try of repeatable work at one target to its end.
///
/// A broken stream is resumed; only when that fails is the work left to
/// another target, since it may then run twice.
pub async fn run_repeatable(mut attempt: Attempt<'_>) -> Result<(), Refusal> {
    let mut stream = match attempt.send().await {
        Ok(stream) => stream,
        Err(e) => return Err(on_send_failed(&attempt, &e)),
    };
    let mut resumes_without_progress = 0;
    loop {
        let sequence_before = attempt.next_sequence();
        let detail = match attempt.read(&mut stream).await {
            StreamEnd::Complete => return Ok(()),
            StreamEnd::Refused(refusal) => return Err(refusal),
            StreamEnd::CallerDisconnected => {
                return Err(cancel_with(&attempt, Step::Stream, Reason::Cancelled));
            }
            StreamEnd::DeadlinePassed => {
                return Err(cancel_with(&attempt, Step::Run, Reason::DeadlinePassed));
            }
            StreamEnd::Unresponsive => "no sign of life".to_string(),
            StreamEnd::Interrupted(detail) => detail,
        };
        log::debug!(
            "traffic: {} at {}: {detail}",
            attempt.job.request_id,
            attempt.target
        );
        resumes_without_progress = match attempt.next_sequence() > sequence_before {
            true => 0,
            false => resumes_without_progress + 1,
        };
        match resume(&attempt).await {
            Some(resumed) if resumes_without_progress <= MAX_RESUMES_WITHOUT_PROGRESS => {
                stream = resumed
            }
            _ => {
                attempt.report_unresponsive();
                let refusal = cancel_with(&attempt, Step::Stream, Reason::Lost);
                return Err(refusal.with_detail(detail));
            }
        }
    }
}

/// nobody waits for the target's answer any more
fn cancel_with(attempt: &Attempt<'_>, step: Step, reason: Reason) -> Refusal {
    attempt.cancel();
    attempt.refusal(Outcome::MayHaveRun, step, reason)
}

fn on_send_failed(attempt: &Attempt<'_>, e: &ClientError) -> Refusal {
    attempt.report_unresponsive();
    let refusal = match e.proves_not_sent() {
        true => attempt.refusal(Outcome::NotRun, Step::Connect, Reason::Unreachable),
        false => cancel_with(attempt, Step::Send, Reason::Lost),
    };
    refusal.with_detail(e.to_string())
}

/// ask for the rest of the stream a few times
async fn resume(attempt: &Attempt<'_>) -> Option<FrameStream> {
    let mut connect_failures = 0;
    for resume_count in 1..=MAX_RESUMES {
        match attempt.resume().await {
            Ok(stream) => return Some(stream),
            Err(e) => {
                log::debug!("traffic: no resume: {e}");
                connect_failures += u32::from(e.proves_not_sent());
            }
        }
        if connect_failures >= MAX_CONNECT_FAILURES {
            return None;
        }
        attempt.wait_before_retry(RESUME_DELAY * resume_count).await;
    }
    None
}
