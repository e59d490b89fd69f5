//! One incarnation of the endpoint: its clock, its lease and its ends.

use std::{net::SocketAddr, sync::Arc};

use mesh::{EndpointInfo, Uptime};

use crate::limits::CLOCK_RATE;

/// An endpoint that an agent works with.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) instance: Arc<str>,
    pub(crate) address: SocketAddr,
    pub(crate) info: EndpointInfo,
    pub(crate) draining: bool,
    /// No more leases: it left, crashed, or another incarnation has its address.
    pub(crate) gone: bool,
    /// Nothing from before this agent's start runs there.
    pub(crate) cleared: bool,
    /// Number of the last end that has been taken note of.
    pub(crate) acknowledged: u64,
    /// The endpoint knows that.
    pub(crate) told: u64,
    /// Latest end of any lease that was sent, by the endpoint's clock.
    pub(crate) leased: u64,
    clock: Option<ClockReading>,
}

/// What the endpoint's clock showed when an answer arrived.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    clock: u64,
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
            cleared: false,
            acknowledged: 0,
            told: 0,
            leased: 0,
            clock: None,
        }
    }

    /// Whether it may be given work.
    pub(crate) fn takes_work(&self) -> bool {
        self.cleared && !self.gone && !self.draining
    }

    /// Takes note of its clock; an answer that was overtaken changes nothing.
    pub(crate) fn read_clock(&mut self, now: Uptime, clock: u64) {
        if self.earliest(now).is_none_or(|earliest| clock >= earliest) {
            self.clock = Some(ClockReading { clock, at: now });
        }
    }

    /// Clock of the endpoint, at the least.
    fn earliest(&self, now: Uptime) -> Option<u64> {
        self.clock.map(|it| it.clock + now.since(it.at) * CLOCK_RATE / 1000)
    }

    /// End of a lease of `lease` ms that is given now, by the endpoint's clock.
    pub(crate) fn grant(&mut self, now: Uptime, lease: u64) -> Option<u64> {
        let until = self.clock.map(|it| it.clock + now.since(it.at))? + lease;
        self.leased = self.leased.max(until);
        Some(until)
    }

    /// Whether every lease that was ever sent has ended.
    pub(crate) fn lapsed(&self, now: Uptime) -> bool {
        self.leased == 0 || self.earliest(now).is_some_and(|clock| clock > self.leased)
    }
}
