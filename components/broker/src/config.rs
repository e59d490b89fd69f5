//! Configuration of the routes and of callers' requests.

use std::{collections::HashSet, sync::Arc};

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Config {
    /// Version number, set by the operator.
    pub version: u64,
    /// Offset in the operator's log; the higher one is newer.
    pub offset: u64,
    /// Routes of jobs; [`Config::sort`] puts those with longer prefixes first.
    pub routes: Vec<Arc<Route>>,
    /// Names of the services.
    pub services: HashSet<String>,
    /// Limits of callers' requests.
    pub limits: Limits,
}

/// A configured queue of jobs, selected by the host and the path of a request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host header of requests to the route.
    pub host: String,
    /// Path prefix of requests to the route.
    pub prefix: String,
    /// Service that runs its tasks.
    pub service: String,
    /// Priority, 0 for the most urgent; scheduling ignores it.
    pub priority: u32,
    /// Number of failed runs of a task with which its job fails.
    pub attempts: u32,
    /// Factor of a job's run time along the critical path in its objective.
    pub objective_factor: f64,
    /// Fixed part of the objective, in ms.
    pub target: u64,
}

/// Limits of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest size of all headers, in bytes.
    pub header_bytes: usize,
    /// Largest size of a body, in bytes.
    pub body_bytes: usize,
    /// Time for the headers to arrive, in ms.
    pub header_time: u64,
    /// Time for which a connection may be idle, in ms.
    pub idle_time: u64,
}

impl Default for Limits {
    /// Limits that apply until a configuration is received.
    fn default() -> Limits {
        Limits { header_bytes: 16_384, body_bytes: 262_144, header_time: 3_000, idle_time: 15_000 }
    }
}

impl Config {
    /// Finds the route of a request, and the rest of the path after its prefix.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Arc<Route>, &'a str)> {
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .find_map(|route| Some((route, path.strip_prefix(route.prefix.as_str())?)))
    }

    /// Sorts the routes so that the longest prefix matches first.
    pub fn sort(&mut self) {
        self.routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    }
}
