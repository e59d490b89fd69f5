//! Data model of the inventory, as written in TOML.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{CheckError, check};

/// Inventory and rules that operators declare.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Inventory {
    /// Policy for routing, retries and hedging.
    #[serde(default)]
    pub rules: Rules,
    /// Availability zones.
    #[serde(default)]
    pub availability_zones: Vec<AvailabilityZone>,
    /// Racks and their availability zones.
    #[serde(default)]
    pub racks: Vec<Rack>,
    /// Urgency classes.
    #[serde(default)]
    pub urgencies: Vec<Urgency>,
    /// Services that callers may address.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Request kinds of the services.
    #[serde(default)]
    pub kinds: Vec<Kind>,
    /// Executors, which serve requests.
    #[serde(default)]
    pub executors: Vec<Executor>,
    /// Workers, which run the tasks of jobs.
    #[serde(default)]
    pub workers: Vec<Worker>,
    /// Teams and their quotas.
    #[serde(default)]
    pub teams: Vec<Team>,
}

/// Policy for routing, retries and hedging.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Predicted wait in milliseconds above which an owner hands a request to another agent.
    pub hand_on_wait_ms: u64,
    /// Whether idempotent requests may be sent to a second executor.
    pub hedge: bool,
    /// Retries and hedges, as a percentage of first attempts.
    pub retry_percent: u32,
    /// Largest percentage of a service's executors that may be ejected.
    pub eject_percent: u32,
    /// Retention of ids and answers, in seconds.
    pub window_s: u64,
    /// Largest difference between two hosts' clocks, in milliseconds.
    pub skew_ms: u64,
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AvailabilityZone {
    /// Unique name.
    pub name: String,
    /// Region that the zone belongs to.
    pub region: String,
}

/// A rack of workers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rack {
    /// Unique name.
    pub name: String,
    /// Availability zone of the rack.
    pub availability_zone: String,
}

/// An urgency class.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Urgency {
    /// Unique name.
    pub name: String,
    /// Queue order: lower ranks are served first.
    pub rank: u8,
    /// Default deadline of requests, in milliseconds.
    pub deadline_ms: u64,
}

/// A service that callers may address.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: String,
}

/// A request kind of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Service that the kind belongs to.
    pub service: String,
    /// Name, unique within the service.
    pub name: String,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// Urgency class.
    pub urgency: String,
    /// Expected run time in milliseconds.
    pub run_ms: u64,
}

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Takes new work.
    #[default]
    Active,
    /// Finishes its current work and takes no new work.
    Draining,
}

/// An executor.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Executor {
    /// Unique name, which its agent announces.
    pub name: String,
    /// Service that it serves.
    pub service: String,
    /// Availability zone of the executor.
    pub availability_zone: String,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: State,
}

/// A worker.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// Unique name, which its agent announces.
    pub name: String,
    /// Rack of the worker.
    pub rack: String,
    /// Processor cores.
    pub cores: u32,
    /// Memory in GB.
    pub memory_gb: u32,
    /// Accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: State,
}

/// A team with its quota.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Unique name, which callers send.
    pub name: String,
    /// Requests and tasks that it may start per second.
    pub starts_per_s: u32,
    /// Starts that it may accumulate while idle.
    pub burst: u32,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            hand_on_wait_ms: 5,
            hedge: true,
            retry_percent: 10,
            eject_percent: 30,
            window_s: 600,
            skew_ms: 250,
        }
    }
}

impl Rules {
    /// Predicted wait above which an owner hands a request to another agent.
    pub fn hand_on_wait(&self) -> Duration {
        Duration::from_millis(self.hand_on_wait_ms)
    }

    /// Retention of ids and answers.
    pub fn window(&self) -> Duration {
        Duration::from_secs(self.window_s)
    }

    /// Largest difference between two hosts' clocks.
    pub fn skew(&self) -> Duration {
        Duration::from_millis(self.skew_ms)
    }
}

impl Inventory {
    /// Parses and checks an inventory in TOML.
    pub fn parse(text: &str) -> Result<Inventory, CheckError> {
        let inventory = toml::from_str(text).map_err(|err| CheckError::from_toml(text, &err))?;
        check::check(&inventory, text)?;
        Ok(inventory)
    }

    /// Renders the inventory as TOML.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).expect("an inventory has only types that TOML can encode")
    }

    /// Service with the given name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Request kind `name` of `service`.
    pub fn kind(&self, service: &str, name: &str) -> Option<&Kind> {
        self.kinds.iter().find(|kind| kind.service == service && kind.name == name)
    }

    /// Urgency class with the given name.
    pub fn urgency(&self, name: &str) -> Option<&Urgency> {
        self.urgencies.iter().find(|urgency| urgency.name == name)
    }

    /// Executor with the given name.
    pub fn executor(&self, name: &str) -> Option<&Executor> {
        self.executors.iter().find(|executor| executor.name == name)
    }

    /// Worker with the given name.
    pub fn worker(&self, name: &str) -> Option<&Worker> {
        self.workers.iter().find(|worker| worker.name == name)
    }

    /// Team with the given name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == name)
    }

    /// Availability zone of the rack with the given name.
    pub fn rack_zone(&self, rack: &str) -> Option<&str> {
        let rack = self.racks.iter().find(|candidate| candidate.name == rack)?;
        Some(&rack.availability_zone)
    }
}
