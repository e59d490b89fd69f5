//! Graceful hand-over of shards from an owner that shuts down to their deputies.

use std::collections::BTreeMap;

use ident::{Incarnation, NodeId, RequestId, Shard, Timestamp};
use ledger::{Export, Ledger};
use register::Assignment;
use serde::{Deserialize, Serialize};
use wire::WireError;

use crate::{Action, Tenure, assign::Plan};

/// Shards that an owner hands over to one deputy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transfer {
    /// Deputy that takes over.
    pub to: NodeId,
    /// Incarnation of the owner that hands over its shards.
    incarnation: Incarnation,
    /// Incarnation of the deputy that must receive them.
    receiver: Incarnation,
    shards: BTreeMap<Shard, HandedShard>,
}

/// A shard that is handed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct HandedShard {
    /// Owner that hands it over.
    pub owner: NodeId,
    /// Epoch of the shard's assignment in the owner's table.
    pub epoch: u64,
    /// The ledger is complete for ids created at or after this time.
    pub from: Timestamp,
}

/// Result of an accepted hand-over message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Accepted {
    /// Actions that the caller must execute.
    pub actions: Vec<Action>,
    /// Ids that the previous owner ran and whose outcomes are now in the ledger.
    pub ended: Vec<RequestId>,
}

/// Content of [`wire::HandOver::ledger`].
#[derive(Serialize, Deserialize)]
struct Message {
    incarnation: Incarnation,
    receiver: Incarnation,
    shards: BTreeMap<Shard, HandedShard>,
    ledger: Export,
}

impl Transfer {
    /// Encodes the transfer with the ledger of its shards.
    pub fn encode(&self, ledger: &Ledger) -> Vec<u8> {
        let export = ledger.export(|id| self.shards.contains_key(&Shard::of(id)));
        let mut shards = self.shards.clone();
        for handed in shards.values_mut() {
            handed.from = handed.from.max(export.since);
        }
        let Transfer { incarnation, receiver, .. } = *self;
        wire::encode(&Message { incarnation, receiver, shards, ledger: export })
    }

    /// Shards that are handed over.
    pub fn shards(&self) -> impl Iterator<Item = Shard> {
        self.shards.keys().copied()
    }
}

impl Tenure {
    /// Permanently stops deciding; returns the shards to hand over to each deputy.
    ///
    /// A shard without a deputy, or whose deputy has never made a promise, is not
    /// handed over: its next owner takes it over as if this node had crashed.
    pub fn release(&mut self, _now: Timestamp) -> Vec<Transfer> {
        if let Some(transfers) = &self.released {
            return transfers.clone();
        }
        let mut transfers: Vec<Transfer> = Vec::new();
        for (shard, owned) in &self.owned_shards {
            let current = self.view.get(*shard);
            let Some(to) = current.and_then(|it| it.deputy) else { continue };
            let Some(receiver) = self.promises.incarnation(to) else { continue };
            if !self.is_ready() || !self.proposals.of(*shard).is_empty() {
                continue;
            }
            let handed =
                HandedShard { owner: self.node, epoch: owned.epoch, from: owned.lower_fence };
            match transfers.iter_mut().find(|it| it.to == to) {
                Some(transfer) => {
                    transfer.shards.insert(*shard, handed);
                }
                None => transfers.push(Transfer {
                    to,
                    incarnation: self.incarnation,
                    receiver,
                    shards: BTreeMap::from([(*shard, handed)]),
                }),
            }
        }
        self.released = Some(transfers.clone());
        transfers
    }

    /// Transfers of [`Tenure::release`], to be sent again once the outcomes of the
    /// last requests are known.
    pub fn released(&self) -> Vec<Transfer> {
        self.released.clone().unwrap_or_default()
    }

    /// Accepts the shards of an owner that shuts down, together with their ledger.
    ///
    /// This node decides for them once its assignment is in the log.
    pub fn accept(
        &mut self,
        from: NodeId,
        message: &[u8],
        ledger: &mut Ledger,
        now: Timestamp,
    ) -> Result<Accepted, WireError> {
        let message: Message = wire::decode("hand-over", message)?;
        let ended = ledger.import(message.ledger);
        let granted = self.promises.granted(from);
        let is_outdated = message.receiver != self.incarnation
            || granted.is_some_and(|it| it.incarnation > message.incarnation);
        if is_outdated || !self.is_ready() || self.released.is_some() {
            return Ok(Accepted { actions: Vec::new(), ended });
        }
        for (shard, handed) in message.shards {
            let epoch = self.view.get(shard).map_or(0, |it| it.epoch);
            if handed.owner == from && handed.epoch >= epoch {
                self.handed_shards.entry(shard).or_insert(handed);
            }
        }
        let plans = self.plan_hand_overs(now);
        let shards = self.add_proposals(plans, now);
        let actions = match shards.is_empty() {
            true => Vec::new(),
            false => vec![Action::Assign(shards)],
        };
        Ok(Accepted { actions, ended })
    }

    /// Plans the assignments for shards whose ledger this node has accepted.
    pub(crate) fn plan_hand_overs(&self, now: Timestamp) -> Vec<Plan> {
        let eligible =
            self.handed_shards.iter().filter(|(shard, _)| self.proposals.of(**shard).is_empty());
        eligible.filter_map(|(shard, handed)| self.plan_hand_over(*shard, handed, now)).collect()
    }

    fn plan_hand_over(&self, shard: Shard, handed: &HandedShard, now: Timestamp) -> Option<Plan> {
        let current = self.view.get(shard)?;
        let is_unchanged = current.epoch == handed.epoch
            && current.owner == handed.owner
            && current.deputy == Some(self.node);
        let others: Vec<NodeId> = self.presence.alive().filter(|it| *it != handed.owner).collect();
        let assignment = Assignment {
            epoch: current.epoch + 1,
            owner: self.node,
            deputy: self.choose_deputy(shard, self.node, &others),
            from: handed.from,
            grace: handed.from.max(self.decided_before(now)),
        };
        is_unchanged.then_some(Plan { shard, assignment, replaces: Some(handed.owner) })
    }
}
