//! One instance of the endpoint: its clock, its lease and the acknowledgement of ended runs.

use std::net::SocketAddr;

use mesh::{EndpointInfo, Uptime};

use crate::{
    cold::Cold,
    instance::Instance,
    limits::{CALL_TIMEOUT_MS, MAX_HOLD_MS, MIN_CLOCK_RATE},
    removal::Notice,
    runs::Resources,
};

/// An instance of the endpoint, from the start of its process to its end.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) instance: Instance,
    pub(crate) address: SocketAddr,
    pub(crate) info: EndpointInfo,
    pub(crate) draining: bool,
    /// A heartbeat of this instance has described it. Until then, `info` is that of the instance
    /// before it, and it gets no work.
    pub(crate) described: bool,
    /// Newest notice of its removal.
    pub(crate) notice: Option<Notice>,
    /// Set while it is cold.
    pub(crate) cold: Option<Cold>,
    /// Highest sequence number of its heartbeats.
    pub(crate) sequence: Option<u64>,
    /// Gets no more leases: it left, crashed, or was replaced by another instance.
    pub(crate) gone: bool,
    /// It has deregistered.
    pub(crate) left: bool,
    /// A newer instance with its id is known; calls to it would reach that one.
    pub(crate) restarted: bool,
    /// Has no orphans: runs that an earlier agent started.
    pub(crate) orphan_free: bool,
    /// Number of the last ended run that has been processed.
    pub(crate) processed: u64,
    /// Highest of these numbers that was acknowledged to the endpoint in an answered poll.
    pub(crate) acknowledged: u64,
    /// Latest expiry of any lease sent, by the endpoint's clock in ms; 0 if none was sent.
    pub(crate) lease_end: u64,
    /// Time at which a lease was last granted.
    last_grant: Uptime,
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
    pub(crate) fn new(instance: Instance, address: SocketAddr, info: EndpointInfo) -> Endpoint {
        Endpoint {
            instance,
            address,
            info,
            draining: false,
            described: true,
            notice: None,
            cold: None,
            sequence: None,
            gone: false,
            left: false,
            restarted: false,
            orphan_free: false,
            processed: 0,
            acknowledged: 0,
            lease_end: 0,
            last_grant: Uptime::default(),
            clock: None,
        }
    }

    /// The instance born at `born` in place of this one, at the same address.
    ///
    /// It waits for its heartbeat, unless those of this one name the instance by its id alone.
    pub(crate) fn successor(&self, born: Option<u64>) -> Endpoint {
        let instance = Instance { born, ..self.instance.clone() };
        let described = self.described && self.instance.born.is_none();
        let draining = self.draining && described;
        let info = self.info.clone();
        Endpoint { described, draining, ..Endpoint::new(instance, self.address, info) }
    }

    /// Whether it can take work: it has no orphans, is described, and is neither gone nor draining.
    pub(crate) fn is_ready(&self) -> bool {
        self.orphan_free && self.described && !self.gone && !self.draining
    }

    /// Whether it has said that it would leave, so that its end is no crash.
    pub(crate) fn is_leaving(&self) -> bool {
        self.draining || self.left
    }

    /// Whether a heartbeat of this instance is newer than those before; records its number.
    pub(crate) fn accept_sequence(&mut self, sequence: Option<u64>) -> bool {
        let is_newer = sequence.is_none() || sequence > self.sequence;
        self.sequence = sequence.max(self.sequence);
        is_newer
    }

    /// Whether it is slow after its start.
    pub(crate) fn is_cold(&self, now: Uptime) -> bool {
        self.cold.is_some_and(|it| it.lasts(now))
    }

    /// Resources that it provides: all, or a share while it is cold and anything runs on it.
    pub(crate) fn room(&self, now: Uptime, is_idle: bool) -> Resources {
        match self.cold {
            Some(cold) if !is_idle => cold.share(now, self.whole_room()),
            Some(_) | None => self.whole_room(),
        }
    }

    /// Takes over the capacity that it announces; returns whether that differs.
    pub(crate) fn resize(&mut self, announced: &EndpointInfo) -> bool {
        let EndpointInfo { cpu, memory, gpus, .. } = *announced;
        let before = self.whole_room();
        if before == (Resources { cpu, memory, gpus }) {
            return false;
        }
        log::info!(
            instance:% = self.instance, cpu_before = before.cpu, cpu = cpu,
            memory_before = before.memory, memory = memory, gpus_before = before.gpus, gpus = gpus;
            "the capacity of the endpoint has changed"
        );
        (self.info.cpu, self.info.memory, self.info.gpus) = (cpu, memory, gpus);
        true
    }

    /// Resources that it provides when warm.
    fn whole_room(&self) -> Resources {
        let EndpointInfo { cpu, memory, gpus, .. } = self.info;
        Resources { cpu, memory, gpus }
    }

    /// Records a reading of its clock; ignores an answer that arrived out of order.
    pub(crate) fn record_clock(&mut self, now: Uptime, clock: u64) {
        if self.min_clock(now).is_none_or(|min_clock| clock >= min_clock) {
            self.clock = Some(ClockReading { clock, at: now });
        }
    }

    /// Lower bound of the endpoint's clock, in ms.
    fn min_clock(&self, now: Uptime) -> Option<u64> {
        self.clock.map(|it| it.clock.saturating_add(now.since(it.at) * MIN_CLOCK_RATE / 1_000))
    }

    /// Grants a lease of `lease` ms and returns its expiry by the endpoint's clock.
    pub(crate) fn grant_lease(&mut self, now: Uptime, lease: u64) -> Option<u64> {
        let until = self.clock.map(|it| it.clock.saturating_add(now.since(it.at) + lease))?;
        self.lease_end = self.lease_end.max(until);
        self.last_grant = now;
        Some(until)
    }

    /// Whether a restart that is not known yet may have given an instance with this id a lease that
    /// has not expired. Its clock is behind, so it would have cut the lease to its longest.
    pub(crate) fn may_have_successor_with_lease(&self, now: Uptime) -> bool {
        let longest = CALL_TIMEOUT_MS + MAX_HOLD_MS * 1_000 / MIN_CLOCK_RATE;
        self.instance.born.is_some() && now.since(self.last_grant) <= longest
    }

    /// Whether every lease that was ever sent has expired.
    pub(crate) fn leases_expired(&self, now: Uptime) -> bool {
        self.lease_end == 0 || self.min_clock(now).is_some_and(|clock| clock > self.lease_end)
    }
}
