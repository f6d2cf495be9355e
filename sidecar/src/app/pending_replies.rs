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

/// askers that wait for the control thread's answer
#[derive(Debug)]
pub struct PendingReplies<T> {
    next: AtomicU64,
    waiting: Mutex<HashMap<ReplyId, oneshot::Sender<T>>>,
}

impl<T> Default for PendingReplies<T> {
    fn default() -> Self {
        Self {
            next: AtomicU64::new(0),
            waiting: Mutex::new(HashMap::new()),
        }
    }
}

impl<T> PendingReplies<T> {
    pub fn issue(&self) -> (ReplyId, oneshot::Receiver<T>) {
        let ticket = self.next.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.insert(ticket, tx);
        (ticket, rx)
    }
    pub fn answer(&self, ticket: ReplyId, answer: T) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(tx) = waiting.remove(&ticket) {
            // the asker may be gone
            let _ = tx.send(answer);
        }
    }
}
