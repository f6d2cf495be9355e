use {
    super::attempt::{Attempt, StreamEnd},
    chalkcart_coordination::retry::Backoff,
    chalkcart_protocol::peer::{Outcome, Reason, Refusal, Step},
    chalkcart_transport::client::{ClientError, FrameStream},
};

/// Failed connections after which the target is considered down.
const MAX_CONNECT_FAILURES: u32 = 4;

/// Runs a request with a reserved id at the only target that may run it.
///
/// Sending the request again is safe: the target attaches the duplicate to the running
/// request or refuses it. Only the target can know that a request did not run, so the entry
/// never reports `NOT_RUN` itself.
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

/// Returns `None` if the response is complete, or why the stream ended if it may be retried.
async fn read_to_end(
    attempt: &mut Attempt<'_>,
    stream: &mut FrameStream,
) -> Result<Option<StreamEnd>, Refusal> {
    match attempt.read(stream).await {
        StreamEnd::Complete => Ok(None),
        StreamEnd::Refused(refusal) => Err(refusal),
        // The request keeps running: the caller may send it again through another entry.
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
