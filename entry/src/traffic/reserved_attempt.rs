use {
    super::attempt::{Attempt, StreamEnd},
    chalkcart_coordination::retry::Backoff,
    chalkcart_protocol::peer::{Outcome, Reason, Refusal, Step},
    chalkcart_transport::client::{ClientError, FrameStream},
};

/// refused connections after which the target counts as gone
const MAX_CONNECT_FAILURES: u32 = 4;

/// drive a request with a reserved id to its end at its one target.
///
/// Sending the id again is safe: the target joins the copy to the first
/// one's answer or refuses it. Without the target's word nothing is known,
/// so this side never says `NOT_RUN`.
pub async fn run_reserved(mut attempt: Attempt<'_>) -> Result<(), Refusal> {
    let backoff = Backoff::default();
    let mut connect_failures = 0;
    let mut tries = 0;
    while !attempt.job.remaining().is_zero() {
        tries += 1;
        let end = match attempt.send().await {
            Ok(mut stream) => {
                connect_failures = 0;
                read_to_end(&mut attempt, &mut stream).await?
            }
            Err(e) => {
                connect_failures += u32::from(e.proves_not_sent());
                if connect_failures >= MAX_CONNECT_FAILURES {
                    return Err(unreachable_refusal(&attempt, &e));
                }
                Some(StreamEnd::Unresponsive)
            }
        };
        let Some(end) = end else {
            return Ok(());
        };
        log::debug!(
            "traffic: {} at {}: {end:?}",
            attempt.job.request_id,
            attempt.target
        );
        attempt.report_unresponsive();
        attempt
            .wait_before_retry(backoff.delay(tries, rand::random()))
            .await;
    }
    Err(attempt.refusal(Outcome::MayHaveRun, Step::Run, Reason::DeadlinePassed))
}

/// none if the answer is whole; else why it may go on
async fn read_to_end(
    attempt: &mut Attempt<'_>,
    stream: &mut FrameStream,
) -> Result<Option<StreamEnd>, Refusal> {
    match attempt.read(stream).await {
        StreamEnd::Complete => Ok(None),
        StreamEnd::Refused(refusal) => Err(refusal),
        // it runs on: the caller may come back through another entry
        StreamEnd::CallerDisconnected => {
            Err(attempt.refusal(Outcome::MayHaveRun, Step::Stream, Reason::Cancelled))
        }
        StreamEnd::DeadlinePassed => {
            Err(attempt.refusal(Outcome::MayHaveRun, Step::Run, Reason::DeadlinePassed))
        }
        end @ (StreamEnd::Interrupted(_) | StreamEnd::Unresponsive) => Ok(Some(end)),
    }
}

fn unreachable_refusal(attempt: &Attempt<'_>, e: &ClientError) -> Refusal {
    let refusal = attempt.refusal(Outcome::MayHaveRun, Step::Connect, Reason::Unreachable);
    refusal.with_detail(e.to_string())
}
