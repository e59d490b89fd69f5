//! Decoding of random, truncated and corrupted bytes. Bytes come from outside, so they may
//! cause an error but never a panic.

use ident::{RequestId, Timestamp};
use proptest::{
    collection::vec,
    prelude::any,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use wire::{Call, CallId, Datagram, Frame, JobSpec, TaskSpec, decode, encode};

/// Random inputs per test.
const CASES: u32 = 2_000;

fn runner() -> TestRunner {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

fn frame() -> Frame {
    let task = TaskSpec {
        cores: 2,
        memory_mb: 512,
        accelerators: 0,
        run_ms: 80,
        body: "hull 7".to_owned(),
    };
    Frame::Call(
        CallId(3),
        Call::Submit(JobSpec {
            id: RequestId::new(Timestamp::from_millis(9), [4; 10]),
            attempt: 1,
            submitted: Timestamp::from_millis(10),
            over_quota: false,
            team: "yard".to_owned(),
            urgency: "normal".to_owned(),
            budget: std::time::Duration::from_secs(3),
            tasks: vec![task; 3],
        }),
    )
}

#[test]
fn round_trips_whatever_random_bytes_decode_into() {
    runner()
        .run(&vec(any::<u8>(), 0..200), |bytes| {
            if let Ok(frame) = decode::<Frame>("frame", &bytes) {
                assert_eq!(decode::<Frame>("frame", &encode(&frame)), Ok(frame));
            }
            if let Ok(datagram) = decode::<Datagram>("datagram", &bytes) {
                let again = decode::<Datagram>("datagram", &encode(&datagram));
                assert_eq!(again, Ok(datagram));
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn rejects_every_truncated_frame() {
    let bytes = encode(&frame());

    for length in 0..bytes.len() {
        assert!(decode::<Frame>("frame", &bytes[..length]).is_err(), "{length} bytes");
    }
}

#[test]
fn survives_a_corrupted_byte_anywhere_in_a_frame() {
    let bytes = encode(&frame());
    let corruption = (0..bytes.len(), any::<u8>());

    runner()
        .run(&corruption, |(index, value)| {
            let mut corrupted = bytes.clone();
            corrupted[index] = value;
            if let Ok(frame) = decode::<Frame>("frame", &corrupted) {
                assert_eq!(decode::<Frame>("frame", &encode(&frame)), Ok(frame));
            }
            Ok(())
        })
        .unwrap();
}
