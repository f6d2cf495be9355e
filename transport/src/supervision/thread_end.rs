use tokio::sync::watch;

/// Tells whether a thread has ended.
#[derive(Debug, Clone)]
pub struct ThreadEnd(watch::Receiver<bool>);

/// Held by the thread: it has ended once this is dropped, in whatever way that came about.
#[derive(Debug)]
pub struct EndOnDrop(watch::Sender<bool>);

/// Returns both sides for a thread that is about to start.
pub fn thread_end() -> (EndOnDrop, ThreadEnd) {
    let (tx, rx) = watch::channel(false);
    (EndOnDrop(tx), ThreadEnd(rx))
}

impl ThreadEnd {
    pub fn has_ended(&self) -> bool {
        *self.0.borrow()
    }

    /// Waits until the thread has ended.
    pub async fn wait(&self) {
        // the only error is that the sender is gone, and with it the thread
        let _ = self.0.clone().wait_for(|has_ended| *has_ended).await;
    }
}

impl Drop for EndOnDrop {
    fn drop(&mut self) {
        self.0.send_replace(true);
    }
}
