//! Graceful shutdown.
//!
//! A stopping agent accepts no requests, releases its shards, finishes what is
//! running and transfers its ledger to the next owners: once at the start and
//! once more with the outcomes of the requests that were still running.

use std::time::Duration;

use ident::NodeId;
use node::{Effect, LinkError, ReplyTo};
use tenure::Transfer;
use wire::{Call, HandOver, Reply};

use crate::{
    Agent,
    request::{Pending, RequestKey, Stage},
};

/// Time that the receiver has to acknowledge a ledger.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of attempts to send a ledger to one receiver.
const MAX_HAND_OVER_ATTEMPTS: u32 = 3;

/// Phase of the shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No shutdown was requested.
    Running,
    /// Requests in progress are being finished.
    Stopping,
    /// The outcomes of those requests are being handed over.
    HandingOver,
    /// The process may exit.
    Stopped,
}

impl Agent {
    /// Starts the shutdown.
    pub(crate) fn on_stop(&mut self) {
        if self.phase != Phase::Running {
            return;
        }
        self.phase = Phase::Stopping;
        self.send_heartbeats();
        let transfers = self.tenure.release(self.now);
        self.hand_over(transfers);
        for key in self.queued_requests() {
            self.queue.remove(key);
            self.place(key);
        }
    }

    /// Enters the next phase once no request, task, job or hand-over is in progress.
    pub(crate) fn advance_stop(&mut self) {
        let idle = self.requests.is_empty() && self.tasks.is_empty() && self.jobs.is_empty();
        match self.phase {
            Phase::Running | Phase::Stopped => {}
            Phase::Stopping if idle && !self.is_handing_over() => {
                self.phase = Phase::HandingOver;
                let transfers = self.tenure.released();
                self.hand_over(transfers);
                self.advance_stop();
            }
            Phase::HandingOver if idle && !self.is_handing_over() => {
                self.phase = Phase::Stopped;
                self.effects.push(Effect::Stopped);
            }
            Phase::Stopping | Phase::HandingOver => {}
        }
    }

    fn queued_requests(&self) -> Vec<RequestKey> {
        let queued = self.requests.iter().filter(|(_, request)| request.stage == Stage::Queued);
        queued.map(|(key, _)| key).collect()
    }

    fn is_handing_over(&self) -> bool {
        self.calls.values().any(|pending| matches!(pending, Pending::HandOver { .. }))
    }

    fn hand_over(&mut self, transfers: Vec<Transfer>) {
        for transfer in transfers {
            self.send_transfer(&transfer, 0);
        }
    }

    fn send_transfer(&mut self, transfer: &Transfer, attempts: u32) {
        let ledger = transfer.encode(&self.ledger);
        let call = Call::HandOver(HandOver { from: self.options.node, ledger });
        let pending = Pending::HandOver { to: transfer.to, attempts };
        self.call(pending, transfer.to, call, HAND_OVER_TIMEOUT);
    }

    /// Handles the reply to a hand-over. A lost one is sent again: accepting the
    /// same ledger twice is harmless. If all attempts fail, the receiver takes over
    /// later, as after a crash of this agent.
    pub(crate) fn on_hand_over_reply(
        &mut self,
        to: NodeId,
        attempts: u32,
        reply: &Result<Reply, LinkError>,
    ) {
        if reply.is_ok() || attempts + 1 >= MAX_HAND_OVER_ATTEMPTS {
            return;
        }
        let transfers = self.tenure.released();
        if let Some(transfer) = transfers.iter().find(|transfer| transfer.to == to) {
            self.send_transfer(transfer, attempts + 1);
        }
    }

    /// Takes over the shards and the ledger of a stopping owner.
    pub(crate) fn on_hand_over(&mut self, from: ReplyTo, hand_over: &HandOver) {
        let (from_node, bytes) = (hand_over.from, &hand_over.ledger);
        match self.tenure.accept(from_node, bytes, &mut self.ledger, self.now) {
            Ok(accepted) => {
                self.apply_tenure_actions(accepted.actions);
                for id in accepted.ended {
                    self.answer_outcome_waiters(id);
                }
            }
            Err(err) => self.effects.push(Effect::Warn(format!(
                "The ledger handed over by {from_node} was not accepted: {err}."
            ))),
        }
        self.reply(from, Reply::Ack);
    }
}
