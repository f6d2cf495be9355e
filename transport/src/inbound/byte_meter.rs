use {
    super::{BodyError, DeclaredEnd},
    std::sync::{
        atomic::{AtomicUsize, Ordering},
        Arc, Mutex, MutexGuard, PoisonError,
    },
    thiserror::Error,
};

/// Informational heads (1xx) that a response may have.
const MAX_INFORMATIONAL_HEADS: usize = 16;

/// A peer sent too many bytes that are no part of a body: heads, chunk sizes, trailers.
#[derive(Debug, Error)]
#[error("{bytes} bytes without a part of a body")]
pub struct TooManyBytes {
    pub bytes: usize,
}

/// Counts the bytes that arrive on one connection. Its socket and the reader of the body share it.
#[derive(Debug, Clone)]
pub struct ByteMeter(Arc<Counts>);

#[derive(Debug)]
struct Counts {
    /// Bytes of the present response.
    total: AtomicUsize,
    /// Bytes since the last part of its body.
    since_part: AtomicUsize,
    /// Informational heads of the present response.
    informational: AtomicUsize,
    /// Bytes without a part of a body after which no more are read.
    max_since_part: usize,
    /// Where the present response ends.
    end: Mutex<DeclaredEnd>,
}

impl ByteMeter {
    /// A meter for a connection with a read buffer of this size, in which a head must fit.
    pub fn with_buffer(buffer: usize) -> Self {
        Self(Arc::new(Counts {
            total: AtomicUsize::new(0),
            since_part: AtomicUsize::new(0),
            informational: AtomicUsize::new(0),
            max_since_part: buffer,
            end: Mutex::default(),
        }))
    }

    /// Takes that a part of a request was written: the bytes that follow are of its response.
    pub fn on_written(&self) {
        self.0.total.store(0, Ordering::Relaxed);
        self.0.since_part.store(0, Ordering::Relaxed);
        self.0.informational.store(0, Ordering::Relaxed);
        *self.end() = DeclaredEnd::default();
    }

    /// Takes that an informational head arrived.
    pub fn on_informational(&self) {
        self.0.informational.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes bytes that arrived.
    ///
    /// # Errors
    /// There are too many without a part of a body, or too many informational heads before them.
    pub fn on_read(&self, read: &[u8]) -> Result<(), TooManyBytes> {
        self.end().on_read(read);
        let bytes = read.len();
        self.0.total.fetch_add(bytes, Ordering::Relaxed);
        let before = self.0.since_part.fetch_add(bytes, Ordering::Relaxed);
        let informational = self.0.informational.load(Ordering::Relaxed);
        // a read may fill more room than the buffer's, so its own bytes don't count
        match before > self.0.max_since_part || informational > MAX_INFORMATIONAL_HEADS {
            true => Err(TooManyBytes { bytes: before }),
            false => Ok(()),
        }
    }

    /// Takes that a part of a body was passed on.
    pub fn on_part(&self) {
        self.0.since_part.store(0, Ordering::Relaxed);
    }

    /// Takes the length that the head of the present response declares.
    ///
    /// # Errors
    /// More of the body came with the head.
    pub fn on_length(&self, length: Option<u64>) -> Result<(), BodyError> {
        self.end().declare(length);
        match self.is_end_exceeded() {
            true => Err(BodyError::BeyondEnd),
            false => Ok(()),
        }
    }

    /// Returns whether more of the body came than its head declares.
    pub fn is_end_exceeded(&self) -> bool {
        self.end().is_exceeded()
    }

    fn end(&self) -> MutexGuard<'_, DeclaredEnd> {
        // No holder panics in the middle of an update.
        self.0.end.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the bytes of the present response, with its head and framing.
    pub fn total(&self) -> usize {
        self.0.total.load(Ordering::Relaxed)
    }
}
