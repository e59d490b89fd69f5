//! The parts of the published inventory that routing needs.

use std::collections::{HashMap, HashSet};

use config::{Inventory, State};
use ident::Group;
use mutation::{Mechanism, is_disabled};
use wire::AgentReport;

/// Endpoints and idempotent kinds that the inventory declares.
#[derive(Debug, Default)]
pub(crate) struct InventoryIndex {
    /// Group and state of each endpoint, by name.
    endpoints: HashMap<String, (Group, State)>,
    /// Idempotent kinds of each service.
    idempotent: HashMap<Group, HashSet<String>>,
}

impl InventoryIndex {
    pub(crate) fn new(inventory: &Inventory) -> InventoryIndex {
        let executors = inventory
            .executors
            .iter()
            .map(|it| (it.name.clone(), (Group::Service(it.service.clone()), it.state)));
        let workers =
            inventory.workers.iter().map(|it| (it.name.clone(), (Group::Workers, it.state)));
        let mut idempotent: HashMap<Group, HashSet<String>> = HashMap::new();
        for kind in inventory.kinds.iter().filter(|it| it.idempotent) {
            let group = Group::Service(kind.service.clone());
            idempotent.entry(group).or_default().insert(kind.name.clone());
        }
        InventoryIndex { endpoints: executors.chain(workers).collect(), idempotent }
    }

    /// Whether requests of the kind can safely run twice.
    pub(crate) fn is_idempotent(&self, group: &Group, kind: &str) -> bool {
        self.idempotent.get(group).is_some_and(|kinds| kinds.contains(kind))
    }

    /// Why the agent must not get new requests, if it must not.
    pub(crate) fn exclude_reason(&self, report: &AgentReport) -> Option<&'static str> {
        if is_disabled(Mechanism::Draining) {
            return None;
        }
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
