use {
    bytes::Bytes,
    chalkcart_transport::ingress::{ClientResponse, Dialect},
    http::{
        header::{CONTENT_TYPE, RETRY_AFTER},
        HeaderValue, Response, StatusCode,
    },
    http_body_util::{Either, Full},
    std::time::Duration,
};

/// an answer of our own to a request whose id may be known
pub struct LocalResponse<'a> {
    pub dialect: &'a dyn Dialect,
    pub request_id: Option<&'a str>,
}

impl LocalResponse<'_> {
    /// a status with one line of text
    pub fn text(&self, status: StatusCode, line: &str) -> ClientResponse {
        let body = Full::new(Bytes::from(format!("{line}\n")));
        let mut response = Response::new(Either::Left(body));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(id) = self.request_id {
            self.dialect.write_local_response(headers, id);
        }
        response
    }

    /// the request has not run and never will; it may come again
    pub fn service_unavailable(&self, line: &str, retry_after: Duration) -> ClientResponse {
        self.with_retry_after(StatusCode::SERVICE_UNAVAILABLE, line, retry_after)
    }

    /// the same for a caller that is over its limit
    pub fn too_many_requests(&self, line: &str, retry_after: Duration) -> ClientResponse {
        self.with_retry_after(StatusCode::TOO_MANY_REQUESTS, line, retry_after)
    }

    fn with_retry_after(
        &self,
        status: StatusCode,
        line: &str,
        retry_after: Duration,
    ) -> ClientResponse {
        let mut response = self.text(status, line);
        let seconds = format!("{:.3}", retry_after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        response
    }
}
