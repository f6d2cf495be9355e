use {
    super::attempt::{Attempt, Stopped},
    chalkcart_coordination::retry::Backoff,
    chalkcart_protocol::peer::{Outcome, Reason, Refusal, Step},
    chalkcart_transport::client::{ClientError, FrameStream},
};

/// refused connections after which the target counts as gone
const MAX_CONNECTS: u32 = 4;

/// drive a request with a reserved id to its end at its one target.
///
/// Sending the id again is safe: the target joins the copy to the first
/// one's answer or refuses it. Without the target's word nothing is known,
/// so this side never says `NOT_RUN`.
pub async fn run_reserved(mut attempt: Attempt<'_>) -> Result<(), Refusal> {
    let backoff = Backoff::default();
    let mut connects = 0;
    let mut tries = 0;
    while !attempt.job.remaining().is_zero() {
        tries += 1;
        let stopped = match attempt.send().await {
            Ok(mut stream) => {
                connects = 0;
                read_whole(&mut attempt, &mut stream).await?
            }
            Err(e) => {
                connects += u32::from(e.proves_not_sent());
                if connects >= MAX_CONNECTS {
                    return Err(unreachable(&attempt, &e));
                }
                Some(Stopped::Silent)
            }
        };
        let Some(stopped) = stopped else {
            return Ok(());
        };
        log::debug!(
            "traffic: {} at {}: {stopped:?}",
            attempt.job.request,
            attempt.target
        );
        attempt.report_silence();
        attempt.pause(backoff.delay(tries, rand::random())).await;
    }
    Err(attempt.refusal(Outcome::MayHaveRun, Step::Run, Reason::DeadlinePassed))
}

/// none if the answer is whole; else why it may go on
async fn read_whole(
    attempt: &mut Attempt<'_>,
    stream: &mut FrameStream,
) -> Result<Option<Stopped>, Refusal> {
    match attempt.read(stream).await {
        Stopped::Whole => Ok(None),
        Stopped::Refused(refusal) => Err(refusal),
        // it runs on: the caller may come back through another entry
        Stopped::CallerGone => {
            Err(attempt.refusal(Outcome::MayHaveRun, Step::Stream, Reason::Cancelled))
        }
        Stopped::DeadlinePassed => {
            Err(attempt.refusal(Outcome::MayHaveRun, Step::Run, Reason::DeadlinePassed))
        }
        stopped @ (Stopped::Broken(_) | Stopped::Silent) => Ok(Some(stopped)),
    }
}

fn unreachable(attempt: &Attempt<'_>, e: &ClientError) -> Refusal {
    let refusal = attempt.refusal(Outcome::MayHaveRun, Step::Connect, Reason::Unreachable);
    refusal.with_detail(e.to_string())
}
