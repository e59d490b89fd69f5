//! The platform's log.

use std::{sync::Arc, time::Duration};

use ident::NodeId;
use node::Event;
use rand::RngExt;
use register::{Record, State};
use uuid::Builder;

use crate::{
    World,
    fleet::Core,
    script::{Change, LogFault},
    world::Item,
};

/// Time that a synced append takes.
const APPEND: Duration = Duration::from_millis(4);

/// Time that a read takes.
const READ: Duration = Duration::from_millis(1);

/// Time that an append or read takes while the log is slow.
const SLOW: Duration = Duration::from_secs(1);

/// Records and the state that follows from them.
pub(crate) struct FakeLog {
    records: Vec<Record>,
    pub truth: State,
    pub fault: LogFault,
}

impl Default for FakeLog {
    fn default() -> FakeLog {
        FakeLog { records: Vec::new(), truth: State::default(), fault: LogFault::Up }
    }
}

impl FakeLog {
    pub fn config_record(&self, base: u64, text: String, rng: &mut rand::rngs::StdRng) -> Record {
        let record = Builder::from_random_bytes(rng.random()).into_uuid();
        Record::Config { record, base, text }
    }
}

impl World {
    pub(crate) fn append_from(&mut self, node: NodeId, record: Record) {
        if self.is_cut_from_log(node) {
            return;
        }
        self.append(record, Some(node));
    }

    fn append(&mut self, record: Record, by: Option<NodeId>) {
        match self.log.fault {
            LogFault::Up | LogFault::LosesAnswers => {
                self.schedule(APPEND, Item::Append { record, by })
            }
            LogFault::Slow => self.schedule(SLOW, Item::Append { record, by }),
            LogFault::Down => {}
        }
    }

    pub(crate) fn on_append(&mut self, record: Record, by: Option<NodeId>) {
        if self.log.fault == LogFault::Down {
            return;
        }
        let offset = self.log.records.len() as u64 + 1;
        self.log.truth.apply(offset, &record);
        self.log.records.push(record);
        self.report.appends += 1;
        let members = self.members.iter();
        let readers = members
            .filter(|(node, member)| matches!(member.core, Core::Entry(_)) || by == Some(**node));
        let readers: Vec<NodeId> = readers.map(|(node, _)| *node).collect();
        for node in readers {
            self.schedule(READ, Item::ReadLog { node, again: None });
        }
    }

    /// Reads the log for a node, as its shell would.
    pub(crate) fn read_log(&mut self, node: NodeId) {
        let delay = match self.log.fault {
            LogFault::Up | LogFault::LosesAnswers => READ,
            LogFault::Slow => SLOW,
            LogFault::Down => return,
        };
        if self.is_cut_from_log(node) || !self.members[&node].is_running() {
            return;
        }
        let mut state = State::clone(&self.members[&node].state);
        let next = state.next_offset.max(1);
        for offset in next..=self.log.records.len() as u64 {
            state.apply(offset, &self.log.records[offset as usize - 1]);
        }
        let event = Event::State { state: Arc::new(state), read_at: self.now };
        self.schedule(delay, Item::Deliver { node, event });
    }

    /// Fetches the state from a peer, or else from the log.
    pub(crate) fn refresh(&mut self, node: NodeId, peer: Option<NodeId>) {
        let Some(peer) = peer else { return self.read_log(node) };
        let Some(member) = self.members.get(&peer) else { return };
        if !member.is_running() || self.is_cut(node, peer) {
            return self.read_log(node);
        }
        let event = Event::State { state: Arc::clone(&member.state), read_at: member.read_at };
        self.schedule(READ, Item::Deliver { node, event });
    }

    pub(crate) fn publish(&mut self, change: &Change) {
        let base = self.log.truth.version();
        let Some(config) = self.log.truth.config.clone() else { return };
        let mut inventory = config.inventory.clone();
        let (base, text) = match change {
            Change::Drain(name) => {
                set_state(&mut inventory, name, config::State::Draining);
                (base, inventory.to_toml())
            }
            Change::Undrain(name) => {
                set_state(&mut inventory, name, config::State::Active);
                (base, inventory.to_toml())
            }
            Change::Stale => (0, self.inventory.to_toml()),
            Change::Again => (base, config.text.clone()),
        };
        let record = self.log.config_record(base, text, &mut self.rng);
        self.append(record, None);
        self.report.published_at = Some(self.now);
    }
}

fn set_state(inventory: &mut config::Inventory, name: &str, state: config::State) {
    for executor in &mut inventory.executors {
        if executor.name == name {
            executor.state = state;
        }
    }
    for worker in &mut inventory.workers {
        if worker.name == name {
            worker.state = state;
        }
    }
}
