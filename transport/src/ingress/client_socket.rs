use {
    crate::{clients::Connection, sockets::reset_on_close},
    std::{
        io,
        pin::Pin,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc,
        },
        task::{ready, Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Whether the response that a client receives ends with its connection.
#[derive(Debug, Clone, Default)]
pub struct EndsWithConnection(Arc<AtomicBool>);

impl EndsWithConnection {
    pub fn set(&self, ends_with_connection: bool) {
        self.0.store(ends_with_connection, Ordering::Relaxed);
    }

    fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A client's connection. If it is dropped in the middle of a response that ends with the
/// connection, it is reset, since an orderly close would complete the response.
#[derive(Debug)]
pub struct ClientSocket {
    stream: TcpStream,
    ends_with_connection: EndsWithConnection,
    /// Holds what arrives of a head.
    place: Connection,
}

impl ClientSocket {
    pub fn new(
        stream: TcpStream,
        ends_with_connection: EndsWithConnection,
        place: Connection,
    ) -> Self {
        Self {
            stream,
            ends_with_connection,
            place,
        }
    }
}

impl Drop for ClientSocket {
    fn drop(&mut self) {
        if self.ends_with_connection.get() {
            reset_on_close(&self.stream);
        }
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let read = buf.filled().len() - before;
        if read > 0 && self.place.on_read(read).is_err() {
            return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    /// Called after the last byte of a complete response.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        self.ends_with_connection.set(false);
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
