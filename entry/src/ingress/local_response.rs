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

/// Builds responses that the ingress generates itself, without a back end.
pub struct LocalResponse<'a> {
    pub dialect: &'a dyn Dialect,
    /// `None` if the request has no valid id.
    pub request_id: Option<&'a str>,
}

impl LocalResponse<'_> {
    /// Returns a plain-text response with one line.
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

    /// Returns a 503 response for a request that has not run and may be retried.
    pub fn service_unavailable(&self, line: &str, retry_after: Duration) -> ClientResponse {
        self.with_retry_after(StatusCode::SERVICE_UNAVAILABLE, line, retry_after)
    }

    /// Returns a 429 response for a caller that exceeds its rate limit.
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
