//! Updates about agents that gossip sends before others.

use std::cmp::Reverse;

use ident::NodeId;

/// Number of sends of an update that stops or resumes new work for an agent.
pub(crate) const URGENT_SENDS: u32 = 6;
/// Number of sends of any other update; periodic reports reach the remaining peers.
pub(crate) const NORMAL_SENDS: u32 = 2;

/// Agents with updates to send, ordered by remaining sends, most first.
#[derive(Debug, Default)]
pub(crate) struct BroadcastQueue {
    queue: Vec<Broadcast>,
}

#[derive(Debug)]
struct Broadcast {
    node: NodeId,
    sends_left: u32,
}

impl BroadcastQueue {
    /// Queues an update, replacing an earlier one about the same agent.
    pub(crate) fn enqueue(&mut self, node: NodeId, sends: u32) {
        self.queue.retain(|it| it.node != node);
        let index = self.queue.partition_point(|it| it.sends_left > sends);
        self.queue.insert(index, Broadcast { node, sends_left: sends });
    }

    /// Queues an update unless one about the same agent is queued already.
    pub(crate) fn enqueue_if_absent(&mut self, node: NodeId) {
        if !self.queue.iter().any(|it| it.node == node) {
            self.enqueue(node, NORMAL_SENDS);
        }
    }

    /// Agents with queued updates, most remaining sends first.
    pub(crate) fn nodes(&self) -> impl Iterator<Item = NodeId> {
        self.queue.iter().map(|it| it.node)
    }

    /// Counts one send of the first `count` updates, and removes those with no sends left.
    pub(crate) fn on_sent(&mut self, count: usize) {
        for broadcast in self.queue.iter_mut().take(count) {
            broadcast.sends_left -= 1;
        }
        self.queue.retain(|it| it.sends_left > 0);
        self.queue.sort_by_key(|it| Reverse(it.sends_left));
    }
}
