use {
    super::ByteMeter,
    hyper_util::client::legacy::connect::{Connected, Connection},
    std::{
        io::{self, IoSlice},
        pin::Pin,
        task::{ready, Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// A connection to a peer that fails once the peer sends too many bytes that are no part of a body.
#[derive(Debug)]
pub struct MeteredSocket {
    stream: TcpStream,
    meter: ByteMeter,
}

impl MeteredSocket {
    pub fn new(stream: TcpStream, meter: ByteMeter) -> Self {
        Self { stream, meter }
    }

    fn on_written(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Ok(count)) if count > 0) {
            self.meter.on_written();
        }
        written
    }
}

impl AsyncRead for MeteredSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
        let read = this.meter.on_read(&buf.filled()[before..]);
        if let Err(e) = &read {
            let peer = this.stream.peer_addr().map(|addr| addr.to_string());
            let peer = peer.unwrap_or_default();
            log::warn!(peer = peer.as_str(), cause = e.to_string().as_str(); "inbound: too many bytes");
        }
        Poll::Ready(read.map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e)))
    }
}

impl AsyncWrite for MeteredSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.on_written(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.on_written(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}

impl Connection for MeteredSocket {
    /// Has each response on this connection carry the meter.
    fn connected(&self) -> Connected {
        self.stream.connected().extra(self.meter.clone())
    }
}
