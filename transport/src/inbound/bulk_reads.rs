use {
    crate::clock,
    std::{
        sync::Arc,
        task::{ready, Context, Poll},
        time::{Duration, Instant},
    },
    tokio::{sync::Semaphore, task::AbortHandle, time::sleep},
    tokio_util::sync::PollSemaphore,
};

/// Large responses that are read at the same time.
const CONCURRENT: usize = 4;
/// Time for which one of them is read before others have their turn.
const TURN: Duration = Duration::from_secs(1);
/// Bytes of any response that are read without a turn; usual ones that are not generated have
/// fewer.
const FREE_BYTES: usize = 6 * 1024;
/// Bytes of a generated response that are read without a turn, for each token that it may have;
/// an event with one token has less than half.
const FREE_BYTES_PER_TOKEN: usize = 256;

/// Has large responses take turns, so that many of them leave the link to the others.
#[derive(Debug, Clone)]
pub struct BulkReads(Arc<Semaphore>);

impl Default for BulkReads {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(CONCURRENT)))
    }
}

impl BulkReads {
    /// Returns the allowance of a response with at most this many generated tokens.
    pub fn begin(&self, tokens: u32) -> BulkAllowance {
        BulkAllowance {
            turns: PollSemaphore::new(self.0.clone()),
            free_bytes: FREE_BYTES + FREE_BYTES_PER_TOKEN * tokens as usize,
            turn: None,
        }
    }
}

/// What one response may read.
#[derive(Debug)]
pub struct BulkAllowance {
    turns: PollSemaphore,
    free_bytes: usize,
    turn: Option<Turn>,
}

impl BulkAllowance {
    /// Is ready when a response of which `read` bytes have arrived may be read on.
    pub fn poll_allowed(&mut self, cx: &mut Context, read: usize) -> Poll<()> {
        if read <= self.free_bytes {
            return Poll::Ready(());
        }
        let now = clock::now();
        if self.turn.as_ref().is_some_and(|turn| now < turn.ends_at) {
            return Poll::Ready(());
        }
        self.turn = None;
        // the semaphore is never closed
        if let Some(permit) = ready!(self.turns.poll_acquire(cx)) {
            let task = tokio::spawn(async move {
                sleep(TURN).await;
                drop(permit);
            });
            self.turn = Some(Turn {
                ends_at: now + TURN,
                task: task.abort_handle(),
            });
        }
        Poll::Ready(())
    }
}

/// A turn, which ends in time even if the response isn't read on.
#[derive(Debug)]
struct Turn {
    ends_at: Instant,
    task: AbortHandle,
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.task.abort();
    }
}
