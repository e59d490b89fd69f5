//! The fleet and the load of docs/design/hard-load.md.

use crate::{load::Load, simulation::SimulationOptions};

/// Number of endpoints.
const ENDPOINTS: usize = 61;
/// Capacity of most endpoints, in thousandths of a core.
const CAPACITY: u32 = 32_000;
/// Capacity of the large endpoints, in thousandths of a core.
const LARGE_CAPACITY: u32 = 48_000;
/// One of this many endpoints is large.
const LARGE_EVERY: usize = 9;
/// Run times on the endpoints, which take turns, relative to the actual ones.
const SLOWNESS: [f64; 3] = [0.8, 1.0, 1.25];
/// Demand of the entries, which take turns; the busiest get three times that of the calmest.
const DEMAND: [u32; 3] = [3, 1, 2];

impl SimulationOptions {
    /// A fleet of 61 endpoints of unequal size and speed, with entries of uneven demand and jobs
    /// of small tasks; `percent` is the offered work relative to the capacity at the endpoints'
    /// speeds.
    pub fn of_fleet(seed: u64, entries: usize, percent: u32, length: u64) -> SimulationOptions {
        let capacity_of = |it| if it % LARGE_EVERY == 4 { LARGE_CAPACITY } else { CAPACITY };
        let endpoints: Vec<u32> = (0..ENDPOINTS).map(capacity_of).collect();
        let slowness: Vec<f64> = SLOWNESS.into_iter().cycle().take(ENDPOINTS).collect();
        let speeds = endpoints.iter().zip(&slowness);
        let capacity: f64 = speeds.map(|(cpu, slowness)| f64::from(*cpu) / slowness).sum();
        let load = Load::of_small_tasks(capacity * f64::from(percent) / 100.0);
        SimulationOptions {
            slowness,
            demand: DEMAND.into_iter().cycle().take(entries).collect(),
            ..SimulationOptions::new(seed, entries, endpoints, load, length)
        }
    }
}
