//! Packing of the tasks of one job on few workers.

use ident::Timestamp;
use rand::RngExt;

use crate::{
    Choice, Placement, Placer, Resources,
    pass::Pass,
    pending::{PendingTask, PendingTasks},
    placer::WorkerKey,
    score::Score,
};

/// Workers with room that are compared in each availability zone.
const CANDIDATES: usize = 2;

impl Placer {
    /// Places the tasks that fit in one pass.
    pub(crate) fn place_pass(
        &mut self,
        pass: Pass,
        pending: &mut PendingTasks,
        placement: &mut Placement,
        racks: &mut Vec<String>,
        now: Timestamp,
    ) {
        let mut unplaced = Vec::new();
        while let Some(largest) = pending.largest() {
            match self.best(pass, largest, pending.total(), racks, now) {
                Some(key) => {
                    self.fill(key, pass, pending, placement, now);
                    racks.push(self.workers[key].rack.clone());
                }
                None => {
                    let max_room = self.max_room(pass, largest, now);
                    unplaced.extend(pending.take(|size| {
                        size == largest
                            || (size.needs_accelerators_like(largest) && !size.fits(max_room))
                    }));
                }
            }
        }
        pending.put_back(unplaced);
    }

    /// Worker of the pass with the best score that has room for the largest task.
    ///
    /// Other availability zones are searched only if the own one has none.
    fn best(
        &mut self,
        pass: Pass,
        largest: Resources,
        total: Resources,
        racks: &[String],
        now: Timestamp,
    ) -> Option<WorkerKey> {
        let average = self.reported_load.average(self.nodes.len(), now);
        let mut best: Option<(Score, WorkerKey)> = None;
        for keys in &self.search_order {
            let start = self.rng.random_range(0..keys.len().max(1));
            let (before, after) = keys.split_at(start.min(keys.len()));
            let scores = after.iter().chain(before).filter_map(|key| {
                let worker = &self.workers[*key];
                let room = pass.room(worker, average, now);
                let fits = largest.fits(room) && worker.tier(largest, now) == pass.tier;
                let limit = worker.share(room, largest, now);
                let same_rack = racks.contains(&worker.rack);
                fits.then(|| (Score::new(room, limit, total, same_rack), *key))
            });
            for (score, key) in scores.take(CANDIDATES) {
                if best.is_none_or(|(best, _)| score > best) {
                    best = Some((score, key));
                }
            }
            if best.is_some() {
                break;
            }
        }
        best.map(|(_, key)| key)
    }

    /// Largest room, in each field, of any worker that takes such tasks in this pass.
    fn max_room(&self, pass: Pass, size: Resources, now: Timestamp) -> Resources {
        let average = self.reported_load.average(self.nodes.len(), now);
        let workers = self.workers.values().filter(|worker| worker.tier(size, now) == pass.tier);
        workers.fold(Resources::default(), |most, worker| most.max(pass.room(worker, average, now)))
    }

    /// Places tasks on a share of the worker's room, which is enough for at least the
    /// largest task that fits.
    pub(crate) fn fill(
        &mut self,
        key: WorkerKey,
        pass: Pass,
        pending: &mut PendingTasks,
        placement: &mut Placement,
        now: Timestamp,
    ) {
        let average = self.reported_load.average(self.nodes.len(), now);
        let worker = &mut self.workers[key];
        let Some(node) = worker.node else { return };
        let room = pass.room(worker, average, now);
        let mut share: Option<Resources> = None;
        let taken = pending.take(|size| {
            let left = share.unwrap_or(room);
            let fits = size.fits(left) && worker.tier(size, now) == pass.tier;
            if fits {
                worker.reserved = worker.reserved.plus(size);
                share = Some(share.unwrap_or_else(|| worker.share(room, size, now)).minus(size));
            }
            fits
        });
        let left = pass.room(worker, average, now);
        for PendingTask { index, .. } in taken {
            placement.choices[index] = Some(Choice { node, left });
        }
    }
}
