use {
    super::attempt::{Attempt, Stopped},
    chalkcart_protocol::peer::{Outcome, Reason, Refusal, Step},
    chalkcart_transport::client::{ClientError, FrameStream},
    std::time::Duration,
};

/// asks for the rest of a stream, until one is answered
const MAX_RESUMES: u32 = 6;
/// answered resumes in a row that brought no new frame
const MAX_BARREN: u32 = 6;
const RESUME_PAUSE: Duration = Duration::from_millis(30);
/// refused connections after which the target's process counts as gone
const MAX_REFUSED: u32 = 2;

/// drive one try of repeatable work at one target to its end.
///
/// A broken stream is resumed; only when that fails is the work left to
/// another target, since it may then run twice.
pub async fn run_repeatable(mut attempt: Attempt<'_>) -> Result<(), Refusal> {
    let mut stream = match attempt.send().await {
        Ok(stream) => stream,
        Err(e) => return Err(give_up_unsent(&attempt, &e)),
    };
    let mut barren = 0;
    loop {
        let before = attempt.next_frame_number();
        let detail = match attempt.read(&mut stream).await {
            Stopped::Whole => return Ok(()),
            Stopped::Refused(refusal) => return Err(refusal),
            Stopped::CallerGone => {
                return Err(stop(&attempt, Step::Stream, Reason::Cancelled));
            }
            Stopped::DeadlinePassed => {
                return Err(stop(&attempt, Step::Run, Reason::DeadlinePassed));
            }
            Stopped::Silent => "no sign of life".to_string(),
            Stopped::Broken(detail) => detail,
        };
        log::debug!(
            "traffic: {} at {}: {detail}",
            attempt.job.request,
            attempt.target
        );
        barren = match attempt.next_frame_number() > before {
            true => 0,
            false => barren + 1,
        };
        match resume(&attempt).await {
            Some(resumed) if barren <= MAX_BARREN => stream = resumed,
            _ => {
                attempt.report_silence();
                let refusal = stop(&attempt, Step::Stream, Reason::Lost);
                return Err(refusal.with_detail(detail));
            }
        }
    }
}

/// nobody waits for the target's answer any more
fn stop(attempt: &Attempt<'_>, step: Step, reason: Reason) -> Refusal {
    attempt.cancel();
    attempt.refusal(Outcome::MayHaveRun, step, reason)
}

fn give_up_unsent(attempt: &Attempt<'_>, e: &ClientError) -> Refusal {
    attempt.report_silence();
    let refusal = match e.proves_not_sent() {
        true => attempt.refusal(Outcome::NotRun, Step::Connect, Reason::Unreachable),
        false => stop(attempt, Step::Send, Reason::Lost),
    };
    refusal.with_detail(e.to_string())
}

/// ask for the rest of the stream a few times
async fn resume(attempt: &Attempt<'_>) -> Option<FrameStream> {
    let mut refused = 0;
    for number in 1..=MAX_RESUMES {
        match attempt.resume().await {
            Ok(stream) => return Some(stream),
            Err(e) => {
                log::debug!("traffic: no resume: {e}");
                refused += u32::from(e.proves_not_sent());
            }
        }
        if refused >= MAX_REFUSED {
            return None;
        }
        attempt.pause(RESUME_PAUSE * number).await;
    }
    None
}
