//! Encoding and decoding of frames.

use wire::{Call, CallId, Fetch, Frame, decode, encode};

#[test]
fn decodes_what_it_encoded() {
    let frame = Frame::Call(CallId(7), Call::Fetch(Fetch { next_offset: 12 }));

    let decoded = decode::<Frame>("frame", &encode(&frame));

    assert_eq!(decoded, Ok(frame));
}

#[test]
fn rejects_trailing_bytes() {
    let mut bytes = encode(&Frame::Ping(1));
    bytes.push(0);

    let err = decode::<Frame>("frame", &bytes).unwrap_err();

    assert_eq!(err.to_string(), "frame cannot be decoded: 1 bytes follow the message");
}
