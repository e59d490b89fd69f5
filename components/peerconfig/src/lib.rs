//! Configuration of an entry from another entry, for when the store does not answer.
//!
//! An entry without a configuration, or whose store is silent, asks one entry at a time
//! ([`Requester`]). An entry that has a newer one sends it in parts ([`Responder`]). Wherever a
//! configuration comes from, [`compare`] decides whether it replaces the one in force.
//!
//! The crate does no I/O and reads no clock.

mod encoding;
mod order;
mod parts;
mod requester;
mod responder;

pub use crate::{
    encoding::{ConfigDecodeError, decode_config, encode_config},
    order::{Order, compare},
    parts::{MAX_CONFIG_BYTES, MAX_PART_BYTES, TooLarge, split},
    requester::{
        NeedReason, REQUEST_INTERVAL_MS, Received, Requester, SET_TIMEOUT_MS, STORE_SILENCE_MS,
    },
    responder::{ANSWERS_PER_S, Decision, PARTS_PER_TICK, Responder},
};
