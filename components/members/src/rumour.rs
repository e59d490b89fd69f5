//! News that every entry should hear soon.

use std::collections::VecDeque;

use ident::NodeId;

/// Peers that each piece of news is sent to.
const SENDS: u32 = 6;

/// Agents whose state changed, with the sends that are left; newest first.
#[derive(Debug, Default)]
pub(crate) struct Rumours {
    queue: VecDeque<Rumour>,
}

#[derive(Debug)]
struct Rumour {
    node: NodeId,
    left: u32,
}

impl Rumours {
    /// Tells of a change, in place of earlier news on the same agent.
    pub(crate) fn raise(&mut self, node: NodeId) {
        self.queue.retain(|it| it.node != node);
        self.queue.push_front(Rumour { node, left: SENDS });
    }

    /// Agents to tell of, the most urgent first.
    pub(crate) fn nodes(&self) -> impl Iterator<Item = NodeId> {
        self.queue.iter().map(|it| it.node)
    }

    /// Counts one send of the first `count` pieces of news.
    pub(crate) fn on_sent(&mut self, count: usize) {
        for rumour in self.queue.iter_mut().take(count) {
            rumour.left -= 1;
        }
        self.queue.retain(|it| it.left > 0);
    }
}
