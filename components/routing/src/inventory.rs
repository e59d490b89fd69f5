//! What the published inventory says of agents.

use std::collections::HashMap;

use config::{Inventory, State};
use ident::Group;
use wire::AgentReport;

/// Endpoints by name, with the group that each is declared for.
#[derive(Debug, Default)]
pub(crate) struct Declared {
    endpoints: HashMap<String, (Group, State)>,
}

impl Declared {
    pub(crate) fn new(inventory: &Inventory) -> Declared {
        let executors = inventory
            .executors
            .iter()
            .map(|it| (it.name.clone(), (Group::Service(it.service.clone()), it.state)));
        let workers =
            inventory.workers.iter().map(|it| (it.name.clone(), (Group::Workers, it.state)));
        Declared { endpoints: executors.chain(workers).collect() }
    }

    /// Why the agent gets no new work, if it gets none.
    pub(crate) fn objection(&self, report: &AgentReport) -> Option<&'static str> {
        if report.leaving {
            return Some("is leaving");
        }
        match self.endpoints.get(&report.name) {
            None => Some("is not in the inventory"),
            Some((group, _)) if *group != report.group => Some("serves another group"),
            Some((_, State::Draining)) => Some("is draining"),
            Some((_, State::Active)) => None,
        }
    }
}
