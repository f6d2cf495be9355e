use {
    super::{ByteMeter, MeteredSocket},
    futures::future::BoxFuture,
    http::Uri,
    hyper_util::{client::legacy::connect::HttpConnector, rt::TokioIo},
    std::task::{Context, Poll},
    tower::Service,
};

/// Opens connections of a pooled client whose responses are bound in bytes.
#[derive(Debug, Clone)]
pub struct MeteredConnector {
    connector: HttpConnector,
    /// Bytes that the client reads at once.
    buffer: usize,
}

impl MeteredConnector {
    pub fn new(connector: HttpConnector, buffer: usize) -> Self {
        Self { connector, buffer }
    }
}

impl Service<Uri> for MeteredConnector {
    type Response = TokioIo<MeteredSocket>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, cx: &mut Context) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.connector.call(uri);
        let meter = ByteMeter::with_buffer(self.buffer);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            Ok(TokioIo::new(MeteredSocket::new(stream, meter)))
        })
    }
}
