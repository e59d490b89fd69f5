//! One instance of the endpoint: its clock, its lease and the acknowledgement of ended runs.

use std::{net::SocketAddr, sync::Arc};

use mesh::{EndpointInfo, Uptime};

use crate::limits::MIN_CLOCK_RATE;

/// An instance of the endpoint (one life of its process).
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) instance: Arc<str>,
    pub(crate) address: SocketAddr,
    pub(crate) info: EndpointInfo,
    pub(crate) draining: bool,
    /// Gets no more leases: it left, crashed, or was replaced by another instance.
    pub(crate) gone: bool,
    /// Has no orphans: runs that an earlier agent started.
    pub(crate) orphan_free: bool,
    /// Number of the last ended run that has been processed.
    pub(crate) processed: u64,
    /// Highest of these numbers that was acknowledged to the endpoint in an answered poll.
    pub(crate) acknowledged: u64,
    /// Latest expiry of any lease sent, by the endpoint's clock in ms; 0 if none was sent.
    pub(crate) lease_end: u64,
    clock: Option<ClockReading>,
}

/// Reading of the endpoint's clock.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    /// Clock of the endpoint, in ms.
    clock: u64,
    /// Arrival of the answer with the reading.
    at: Uptime,
}

impl Endpoint {
    pub(crate) fn new(instance: Arc<str>, address: SocketAddr, info: EndpointInfo) -> Endpoint {
        Endpoint {
            instance,
            address,
            info,
            draining: false,
            gone: false,
            orphan_free: false,
            processed: 0,
            acknowledged: 0,
            lease_end: 0,
            clock: None,
        }
    }

    /// Whether it can take work: it has no orphans and is neither gone nor draining.
    pub(crate) fn is_ready(&self) -> bool {
        self.orphan_free && !self.gone && !self.draining
    }

    /// Records a reading of its clock; ignores an answer that arrived out of order.
    pub(crate) fn record_clock(&mut self, now: Uptime, clock: u64) {
        if self.min_clock(now).is_none_or(|min_clock| clock >= min_clock) {
            self.clock = Some(ClockReading { clock, at: now });
        }
    }

    /// Lower bound of the endpoint's clock, in ms.
    fn min_clock(&self, now: Uptime) -> Option<u64> {
        self.clock.map(|it| it.clock + now.since(it.at) * MIN_CLOCK_RATE / 1000)
    }

    /// Grants a lease of `lease` ms and returns its expiry by the endpoint's clock.
    pub(crate) fn grant_lease(&mut self, now: Uptime, lease: u64) -> Option<u64> {
        let until = self.clock.map(|it| it.clock + now.since(it.at))? + lease;
        self.lease_end = self.lease_end.max(until);
        Some(until)
    }

    /// Whether every lease that was ever sent has expired.
    pub(crate) fn leases_expired(&self, now: Uptime) -> bool {
        self.lease_end == 0 || self.min_clock(now).is_some_and(|clock| clock > self.lease_end)
    }
}
