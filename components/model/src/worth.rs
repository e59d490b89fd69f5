//! Weighted shares of answered jobs, and their upper bound.

use std::collections::HashMap;

use mesh::JobId;

use crate::{
    load::{Truth, Truths},
    report::Worth,
};

/// Part of a job's weight that does not depend on its work.
const FIXED_PART: f64 = 0.3;

/// Timeliness of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Answered {
    InTime,
    Late,
}

/// Sums the weights of answered jobs and computes the bound; `room` is the work that the
/// endpoints can do while jobs arrive, in core-milliseconds.
pub(crate) fn worth(truths: &Truths, answered: &HashMap<JobId, Answered>, room: f64) -> Worth {
    let mut kinds: HashMap<usize, (f64, f64)> = HashMap::new();
    for truth in truths.values().filter(|it| !it.poisoned) {
        let (count, work) = kinds.entry(truth.kind).or_default();
        *count += 1.0;
        *work += truth.work();
    }
    let share = |truth: &Truth| {
        let (count, work) = kinds[&truth.kind];
        let mean = work / count;
        let part = FIXED_PART + (1.0 - FIXED_PART) * truth.work() / mean.max(1.0);
        part / count / kinds.len() as f64
    };
    let mut worth = Worth::default();
    let mut jobs = Vec::new();
    for (id, truth) in truths.iter().filter(|(_, it)| !it.poisoned) {
        let share = share(truth);
        match answered.get(id) {
            Some(Answered::InTime) => worth.in_time += share,
            Some(Answered::Late) => worth.late += share,
            None => {}
        }
        jobs.push((share / truth.work().max(1.0), share, truth.work()));
    }
    jobs.sort_by(|one, other| other.0.total_cmp(&one.0));
    let mut left = room;
    for (_, share, work) in jobs {
        worth.bound += share * (left / work.max(1.0)).clamp(0.0, 1.0);
        left -= work;
    }
    worth
}
