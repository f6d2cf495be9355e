use {
    chalkcart_transport::{
        engine::OrderReply,
        server::{json_reply, Reply},
    },
    http::StatusCode,
};

/// Reason why an engine rejects an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderError {
    OtherIncarnation,
    OtherFence,
    NoFreeSlot,
    NotLoaded,
    LoadFailed,
    UnknownRequest,
}

impl OrderError {
    pub fn reply(self) -> Reply {
        let status = match self {
            Self::OtherIncarnation | Self::OtherFence => StatusCode::CONFLICT,
            Self::NoFreeSlot | Self::NotLoaded | Self::UnknownRequest => StatusCode::BAD_REQUEST,
            Self::LoadFailed => StatusCode::BAD_GATEWAY,
        };
        let refused = format!("{self:?}");
        json_reply(status, &OrderReply { refused })
    }
}
