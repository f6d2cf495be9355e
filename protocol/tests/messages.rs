//! Frames, messages and statuses round-trip between processes.

use {
    chalkcart_protocol::{
        decode, encode, encode_frame, frame_codec,
        peer::{Frame, FrameBody, Outcome, Reason, Refusal, Step},
        status::{outcome_of, reason_of, retry_after_of, to_status},
        wire::WireEncoding,
    },
    std::time::Duration,
    tokio_util::{bytes::BytesMut, codec::Decoder},
    tonic::Status,
};

fn refusal(outcome: Outcome) -> Refusal {
    Refusal::new(outcome, Step::Queue, "till-1", Reason::Overloaded)
        .with_detail("too much")
        .with_retry_after(Duration::from_millis(700))
}

#[test]
fn frames_round_trip_when_received_byte_by_byte() {
    let frames = [
        Frame::Numbered {
            sequence: 0,
            body: FrameBody::Token("a b".to_string()),
        },
        Frame::Numbered {
            sequence: 1,
            body: FrameBody::Refused(refusal(Outcome::NotRun)),
        },
    ];
    let mut written = BytesMut::new();
    for frame in &frames {
        written.extend_from_slice(&encode_frame(frame, WireEncoding::Positional).expect("encodes"));
    }
    let mut codec = frame_codec();
    let mut received = BytesMut::new();
    let mut read: Vec<Frame> = Vec::new();
    for byte in written {
        received.extend_from_slice(&[byte]);
        while let Some(frame) = codec.decode(&mut received).expect("splits") {
            read.push(decode(&frame).expect("decodes"));
        }
    }
    assert_eq!(read, frames);
}

#[test]
fn truncated_and_foreign_messages_are_rejected() {
    let good = encode(&refusal(Outcome::NotRun)).expect("encodes");
    assert!(decode::<Refusal>(&good[..good.len() / 2]).is_err());
    assert!(decode::<Refusal>(b"no message").is_err());
}

#[test]
fn statuses_carry_outcome_reason_and_retry_delay() {
    for outcome in [Outcome::NotRun, Outcome::MayHaveRun, Outcome::Ran] {
        let status = to_status(&refusal(outcome));
        assert_eq!(outcome_of(&status), outcome);
        assert_eq!(reason_of(&status).as_deref(), Some("OVERLOADED"));
        assert_eq!(retry_after_of(&status), Some(Duration::from_millis(700)));
    }
}

#[test]
fn statuses_without_details_mean_may_have_run() {
    assert_eq!(outcome_of(&Status::unavailable("cut")), Outcome::MayHaveRun);
}
