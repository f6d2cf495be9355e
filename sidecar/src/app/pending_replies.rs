use {
    chalkcart_coordination::sidecar::ReplyId,
    std::{
        collections::HashMap,
        sync::{
            atomic::{AtomicU64, Ordering},
            Mutex, PoisonError,
        },
    },
    tokio::sync::oneshot,
};

/// Requests to the control thread whose replies are pending.
#[derive(Debug)]
pub struct PendingReplies<T> {
    next_id: AtomicU64,
    pending: Mutex<HashMap<ReplyId, oneshot::Sender<T>>>,
}

impl<T> Default for PendingReplies<T> {
    fn default() -> Self {
        Self {
            next_id: AtomicU64::new(0),
            pending: Mutex::new(HashMap::new()),
        }
    }
}

impl<T> PendingReplies<T> {
    /// Returns a new id and the receiver of its reply.
    pub fn register(&self) -> (ReplyId, oneshot::Receiver<T>) {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.insert(id, tx);
        (id, rx)
    }
    pub fn complete(&self, id: ReplyId, reply: T) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(tx) = pending.remove(&id) {
            // Sending fails if the caller has disconnected.
            let _ = tx.send(reply);
        }
    }
}
