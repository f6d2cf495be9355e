use {
    super::attempt::{Attempt, StreamEnd},
    chalkcart_protocol::peer::{Outcome, Reason, Refusal, Step},
    chalkcart_transport::client::{ClientError, FrameStream},
    std::time::Duration,
};

/// Maximum number of resume requests until one succeeds.
const MAX_RESUMES: u32 = 6;
/// Maximum number of successive resumed streams without a new frame.
const MAX_RESUMES_WITHOUT_PROGRESS: u32 = 6;
const RESUME_DELAY: Duration = Duration::from_millis(30);
/// Failed connections after which the target's process is considered down.
const MAX_CONNECT_FAILURES: u32 = 2;

/// Runs repeatable work at one target until it completes or fails.
///
/// An interrupted stream is resumed first, because a retry on another target may run the
/// work twice.
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

/// Cancels the request at the target and returns a refusal with this reason.
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

/// Tries to resume the stream, up to `MAX_RESUMES` times.
async fn resume(attempt: &Attempt<'_>) -> Option<FrameStream> {
    let mut connect_failures = 0;
    for resume_count in 1..=MAX_RESUMES {
        match attempt.resume().await {
            Ok(stream) => return Some(stream),
            Err(e) => {
                log::debug!("traffic: resume failed: {e}");
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
