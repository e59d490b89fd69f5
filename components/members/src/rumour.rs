//! Updates about agents that gossip sends before others.

use std::cmp::Reverse;

use ident::NodeId;

/// Sends of an update after which an agent loses or regains work.
pub(crate) const URGENT_SENDS: u32 = 6;
/// Sends of any other update; periodic reports reach the remaining peers.
pub(crate) const USUAL_SENDS: u32 = 2;

/// Agents with updates to send, ordered by remaining sends, most first.
#[derive(Debug, Default)]
pub(crate) struct Rumours {
    queue: Vec<Rumour>,
}

#[derive(Debug)]
struct Rumour {
    node: NodeId,
    left: u32,
}

impl Rumours {
    /// Queues an update, replacing an earlier one about the same agent.
    pub(crate) fn raise(&mut self, node: NodeId, sends: u32) {
        self.queue.retain(|it| it.node != node);
        let index = self.queue.partition_point(|it| it.left > sends);
        self.queue.insert(index, Rumour { node, left: sends });
    }

    /// Queues an update unless one about the same agent is queued already.
    pub(crate) fn repeat(&mut self, node: NodeId) {
        if !self.queue.iter().any(|it| it.node == node) {
            self.raise(node, USUAL_SENDS);
        }
    }

    /// Agents with queued updates, most remaining sends first.
    pub(crate) fn nodes(&self) -> impl Iterator<Item = NodeId> {
        self.queue.iter().map(|it| it.node)
    }

    /// Counts one send of the first `count` updates.
    pub(crate) fn on_sent(&mut self, count: usize) {
        for rumour in self.queue.iter_mut().take(count) {
            rumour.left -= 1;
        }
        self.queue.retain(|it| it.left > 0);
        self.queue.sort_by_key(|it| Reverse(it.left));
    }
}
