//! Log lines and metrics of the ends of back ends' responses that are not forwarded as they arrive.

use {
    super::request_exchange::{elapsed_ms, RequestExchange},
    chalkcart_coordination::response_end::{EndCause, Framing, ResponseEnd},
    chalkcart_state::backends::BackendId,
    chalkcart_transport::metrics::{BodyEndLabel, IngressMetrics},
    http::StatusCode,
    log::Level,
};

/// How a response was passed on.
pub(super) const STREAMED: &str = "streamed";
const HELD: &str = "held";
/// Ends of responses.
pub(super) const WHOLE: &str = "whole";
pub(super) const BROKEN: &str = "broken";
/// A stream that broke off and that another engine may continue.
pub(super) const CUT: &str = "cut";
/// Framing and position of a response whose head did not arrive.
const NO_HEAD: &str = "none";

/// Counts the end of a response.
pub(super) fn count_end(
    metrics: &IngressMetrics,
    end: &'static str,
    response: &ResponseEnd,
    passed: &'static str,
) {
    metrics.on_body_end(BodyEndLabel {
        end,
        framing: response.framing.code(),
        cause: response.cause.code(),
        position: response.position_code(),
        passed,
    });
}

impl RequestExchange {
    /// Counts the end of a response that was held until it was complete, and logs one that broke
    /// off or that nothing but its connection ended.
    pub(super) fn record_held_end(
        &self,
        backend: &BackendId,
        status: StatusCode,
        is_whole: bool,
        response: &ResponseEnd,
    ) {
        let (end, level) = match is_whole {
            true => (WHOLE, Level::Info),
            false => (BROKEN, Level::Warn),
        };
        count_end(&self.shared.metrics, end, response, HELD);
        if is_whole && response.framing != Framing::Connection {
            return;
        }
        log::log!(
            level,
            request = self.accepted.head.id.as_str(),
            digest = self.accepted.digest.to_string().as_str(),
            route = self.accepted.route.name.as_str(),
            backend = backend.as_str(),
            born = backend.start_time_ms,
            status = status.as_u16(),
            outcome = end,
            framing = response.framing.code(),
            cause = response.cause.code(),
            position = response.position_code(),
            body_bytes = response.body_bytes,
            total_ms = elapsed_ms(self.accepted.arrived);
            "ingress: response ended"
        );
    }

    /// Counts a response that ended before its head was complete.
    pub(super) fn count_lost_head(&self, cause: EndCause) {
        self.shared.metrics.on_body_end(BodyEndLabel {
            end: BROKEN,
            framing: NO_HEAD,
            cause: cause.code(),
            position: NO_HEAD,
            passed: HELD,
        });
    }
}
