//! Retries and hedged requests.
//!
//! Only one layer retries, within a [`Budget`] that is a share of the first
//! attempts, so that retries cannot multiply the load. Waits between attempts are
//! exponential with full jitter, see [`backoff`]. Hedges use the same budget, and
//! are sent when a response takes longer than a high quantile of [`LatencyWindow`].

mod backoff;
mod budget;
mod latency;

pub use crate::{backoff::backoff, budget::Budget, latency::LatencyWindow};
