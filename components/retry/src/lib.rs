//! When to send a request again.
//!
//! One layer retries, within a [`Budget`] that is a share of the first
//! attempts, so that retries cannot multiply load. Waits between attempts have
//! full jitter, see [`backoff`]. Hedges come out of the same budget and wait
//! until a response is late by the measure of [`Latency`].

mod backoff;
mod budget;
mod latency;

pub use crate::{backoff::backoff, budget::Budget, latency::Latency};
