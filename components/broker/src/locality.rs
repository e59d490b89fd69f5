//! Decides whether a task waits for the rack of its data or goes elsewhere, and which tasks keep
//! off a rack in demand.
//!
//! A task takes longer away from the rack of its data, by a factor that the settings give. While
//! the rack is full, the task goes where it is expected to end first: at the rack after a wait,
//! or elsewhere at once. Without the setting no task waits for its rack, and none keeps off.

use std::collections::HashMap;

use mesh::{EndpointInfo, Uptime};

use crate::job::Step;

/// Run time away from the rack of the data without the setting, in percent of that on the rack.
const DEFAULT_REMOTE_PERCENT: u64 = 150;
/// Half-life of the recorded demand for racks, in ms.
///
/// Spans many arrivals of the slowest kind of jobs, four a second at one entry, and still follows
/// a burst.
const DEMAND_HALF_LIFE_MS: f64 = 2_000.0;
/// Time over which recorded demand counts, in ms: the integral of the decay.
const DEMAND_WINDOW_MS: f64 = DEMAND_HALF_LIFE_MS / std::f64::consts::LN_2;
/// Interval at which the recorded demand is reduced, in ms.
const DECAY_INTERVAL_MS: u64 = 100;
/// Demand below which a rack is forgotten, in thousandths of a core times ms: one ms of one core.
const MIN_DEMAND: f64 = 1_000.0;
/// Load of a rack by the tasks that name it from which others begin to keep off it, up to a load
/// of 1.
const CROWDING_LOAD: f64 = 0.5;
/// Part of the time that a displaced task loses for which others keep off its rack at a load of 1.
///
/// With the whole time, tasks without a rack collide at the other endpoints: of a kind, 0.935
/// instead of 0.954 were answered in time with ten entries and a rack with 1.6 times its load.
const CROWDING_WEIGHT: f64 = 0.5;

/// What an entry knows of the racks that its tasks name.
#[derive(Debug)]
pub(crate) struct Locality {
    /// Run time away from the rack of the data, in percent of that on the rack, by the settings.
    remote_percent: Option<u32>,
    /// Work that has arrived lately, by service.
    demand: HashMap<String, Demand>,
    decayed: Uptime,
}

/// Work that has arrived lately, in thousandths of a core times ms.
#[derive(Debug, Default)]
struct Demand {
    /// Work that names a rack.
    racks: HashMap<String, f64>,
    /// All work, with and without a rack.
    total: f64,
}

/// State of the endpoints of a service, in thousandths of a core.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Capacity {
    /// Capacity of the endpoints on one rack.
    pub(crate) rack: u64,
    /// Capacity in use at all endpoints.
    pub(crate) used: u64,
}

/// A task whose rack has no room, and where it could run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FullRack {
    /// Run time on the rack, in ms.
    pub(crate) run_on_rack: f64,
    /// Run time at the best endpoint elsewhere, in ms.
    pub(crate) run_elsewhere: f64,
    /// Capacity that the task needs, with that of the tasks that wait for the rack before it, in
    /// thousandths of a core.
    pub(crate) needed: f64,
    /// Rate at which this entry's runs on the rack release capacity, in thousandths of a core for
    /// each ms.
    pub(crate) release_rate: f64,
    /// Load of the rack by this entry's tasks that name it, relative to what this entry uses.
    pub(crate) load: f64,
    /// Time for which the task has waited for the rack, in ms.
    pub(crate) waited: u64,
}

impl FullRack {
    /// Whether the task is expected to end first if it waits for its rack.
    ///
    /// The expected wait assumes that the room which this entry's runs release is taken again by
    /// its own tasks, since the other entries take that of theirs. As it may be wrong, no task
    /// waits longer in all than it gains at the rack, so the wait at most doubles its loss.
    ///
    /// A wait also delays the tasks behind, until the rack has caught up, which takes `1 / (1 -
    /// load)` times as long as the wait. The gain must exceed that sum. Otherwise a rack in demand
    /// gets a queue that grows until a wait for it gains nothing.
    pub(crate) fn waits(&self) -> bool {
        let gain = self.run_elsewhere - self.run_on_rack;
        let wait = self.needed / self.release_rate;
        (self.waited as f64) < gain && wait < gain * (1.0 - self.load)
    }
}

impl Locality {
    /// Creates the state of an entry that has seen no jobs.
    pub(crate) fn new(now: Uptime, remote_percent: Option<u32>) -> Locality {
        Locality { remote_percent, demand: HashMap::new(), decayed: now }
    }

    /// Replaces the factor by that of changed settings.
    pub(crate) fn set_remote_percent(&mut self, remote_percent: Option<u32>) {
        self.remote_percent = remote_percent;
    }

    /// Whether the settings have the factor.
    pub(crate) fn is_active(&self) -> bool {
        self.remote_percent.is_some()
    }

    /// Time that a task loses away from the rack of its data, in percent of its run time.
    pub(crate) fn remote_penalty(&self) -> u64 {
        self.remote_percent.map_or(DEFAULT_REMOTE_PERCENT, u64::from).saturating_sub(100)
    }

    /// Run time of a task of `step` at an endpoint, in percent of that on the rack of its data.
    ///
    /// Without the setting the run time is taken to be the same everywhere.
    pub(crate) fn run_percent(&self, step: &Step, info: &EndpointInfo) -> u64 {
        match self.remote_percent {
            Some(percent) if step.is_remote_at(info) => percent.max(1).into(),
            Some(_) | None => 100,
        }
    }

    /// Records a step of a new job, with its work in thousandths of a core times ms.
    pub(crate) fn record_arrival(&mut self, now: Uptime, service: &str, step: &Step, work: u64) {
        if !self.is_active() {
            return;
        }
        let age = now.since(self.decayed);
        if age >= DECAY_INTERVAL_MS {
            let factor = (-(age as f64) / DEMAND_HALF_LIFE_MS).exp2();
            self.decayed = now;
            for demand in self.demand.values_mut() {
                demand.total *= factor;
                demand.racks.values_mut().for_each(|it| *it *= factor);
                demand.racks.retain(|_, it| *it >= MIN_DEMAND);
            }
            self.demand.retain(|_, it| it.total >= MIN_DEMAND);
        }
        let demand = self.demand.entry(service.to_owned()).or_default();
        demand.total += work as f64;
        if let Some(rack) = &step.rack {
            *demand.racks.entry(rack.clone()).or_default() += work as f64;
        }
    }

    /// Whether jobs of `service` have named a rack lately.
    pub(crate) fn has_rack_demand(&self, service: &str) -> bool {
        self.demand.get(service).is_some_and(|it| !it.racks.is_empty())
    }

    /// Capacity that the recorded work for a rack takes, in thousandths of a core.
    pub(crate) fn demand(&self, service: &str, rack: &str) -> f64 {
        let demand = self.demand.get(service).and_then(|it| it.racks.get(rack));
        demand.copied().unwrap_or(0.0) / DEMAND_WINDOW_MS
    }

    /// Penalty at the endpoints of `rack`, which may be any label, for tasks that do not name it, in
    /// percent of their run time.
    ///
    /// It grows with the load that the tasks naming the rack put on it, up to a part of the time
    /// that one of them loses if it finds the rack full. The load follows from the rack's shares of demand and
    /// capacity, as each entry sees only a part of the demand.
    pub(crate) fn crowding_penalty(&self, service: &str, rack: &str, capacity: Capacity) -> u64 {
        let Some(demand) = self.demand.get(service) else { return 0 };
        let of_rack = demand.racks.get(rack).copied().unwrap_or(0.0);
        if capacity.rack == 0 || of_rack <= 0.0 {
            return 0;
        }
        let load = of_rack / demand.total * capacity.used as f64 / capacity.rack as f64;
        let pressure = ((load - CROWDING_LOAD) / (1.0 - CROWDING_LOAD)).clamp(0.0, 1.0);
        (self.remote_penalty() as f64 * CROWDING_WEIGHT * pressure) as u64
    }
}
