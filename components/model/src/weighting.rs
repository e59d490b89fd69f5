//! Weighted shares of answered jobs, and their upper bound.

use std::collections::HashMap;

use mesh::JobId;

use crate::{
    load::{JobNeeds, NeedsByJob},
    report::WeightedShares,
};

/// Part of a job's weight that does not depend on its work.
const FIXED_PART: f64 = 0.3;

/// Timeliness of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Timeliness {
    InTime,
    Late,
}

/// Sums the weights of answered jobs and computes the bound; `capacity` is the work that the
/// endpoints can do while jobs arrive, in core-milliseconds.
pub(crate) fn weighted_shares(
    all_needs: &NeedsByJob,
    answered: &HashMap<JobId, Timeliness>,
    capacity: f64,
) -> WeightedShares {
    let mut kinds: HashMap<usize, (f64, f64)> = HashMap::new();
    for needs in all_needs.values().filter(|it| !it.poisoned) {
        let (count, work) = kinds.entry(needs.kind).or_default();
        *count += 1.0;
        *work += needs.work();
    }
    let share = |needs: &JobNeeds| {
        let (count, work) = kinds[&needs.kind];
        let mean = work / count;
        let part = FIXED_PART + (1.0 - FIXED_PART) * needs.work() / mean.max(1.0);
        part / count / kinds.len() as f64
    };
    let mut shares = WeightedShares::default();
    let mut jobs = Vec::new();
    for (id, needs) in all_needs.iter().filter(|(_, it)| !it.poisoned) {
        let share = share(needs);
        match answered.get(id) {
            Some(Timeliness::InTime) => shares.in_time += share,
            Some(Timeliness::Late) => shares.late += share,
            None => {}
        }
        jobs.push((share / needs.work().max(1.0), share, needs.work()));
    }
    let largest = kinds.keys().map(|kind| largest_tenth(all_needs, answered, *kind));
    shares.largest_tenth = largest.fold(1.0, f64::min);
    jobs.sort_by(|one, other| other.0.total_cmp(&one.0));
    let mut left = capacity;
    for (_, share, work) in jobs {
        shares.bound += share * (left / work.max(1.0)).clamp(0.0, 1.0);
        left -= work;
    }
    shares
}

/// Share of the largest tenth of a kind's jobs that was answered in time, relative to that of all.
fn largest_tenth(
    all_needs: &NeedsByJob,
    answered: &HashMap<JobId, Timeliness>,
    kind: usize,
) -> f64 {
    let of_kind = all_needs.iter().filter(|(_, it)| it.kind == kind && !it.poisoned);
    let in_time = |id| answered.get(id) == Some(&Timeliness::InTime);
    let mut jobs: Vec<_> = of_kind.map(|(id, it)| (it.work(), in_time(id))).collect();
    jobs.sort_by(|one, other| other.0.total_cmp(&one.0));
    let share = |jobs: &[(f64, bool)]| {
        jobs.iter().filter(|it| it.1).count() as f64 / jobs.len().max(1) as f64
    };
    share(&jobs[..jobs.len().div_ceil(10)]) / share(&jobs)
}
