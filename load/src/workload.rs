//! Open-loop workload of requests with short and a few long run times.

use std::time::Duration;

use config::{Inventory, Kind};
use ident::{RequestId, Timestamp};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Range of the run times of most requests, log-uniform.
const SHORT_RUN_TIME: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// Range of the run times of long requests, uniform.
const LONG_RUN_TIME: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(5));

/// Share of long requests.
const LONG_SHARE: f64 = 0.02;

/// Minimum deadline of a long request, in multiples of its run time.
const LONG_DEADLINE_FACTOR: u32 = 3;

/// One request of the workload.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Time from the start of the run to the arrival.
    pub at: Duration,
    /// Request kind.
    pub kind: Kind,
    /// Id that the caller chooses.
    pub id: RequestId,
    /// True run time.
    pub run_time: Duration,
    /// Run time that the caller declares.
    pub declared: Duration,
    /// Time until the answer is needed.
    pub deadline: Duration,
}

/// Poisson process by which requests arrive.
#[derive(Debug, Clone, Copy)]
pub struct ArrivalProcess {
    /// Time during which requests arrive.
    pub length: Duration,
    /// Offered load as a share of all slots.
    pub load: f64,
    /// Factor on the rate during a burst, which starts half-way and lasts a tenth of the
    /// time.
    pub burst_factor: f64,
    /// Maximum factor between declared and true run time, in either direction.
    pub declared_factor: f64,
    /// Seed of the random generator.
    pub seed: u64,
}

impl ArrivalProcess {
    /// Generates the arrivals for the first service of an inventory.
    pub fn arrivals(&self, inventory: &Inventory) -> Vec<Arrival> {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let service = &inventory.services[0].name;
        let kinds: Vec<&Kind> =
            inventory.kinds.iter().filter(|it| it.service == *service).collect();
        let slots: u32 = inventory.executors.iter().map(|executor| executor.slots).sum();
        let rate = self.load * f64::from(slots) / mean_run_time().as_secs_f64();
        let mut arrivals = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            let rate = if self.is_burst(at) { rate * self.burst_factor } else { rate };
            let pause = -(1.0 - rng.random::<f64>()).ln() / rate;
            at += Duration::from_secs_f64(pause);
            if at >= self.length {
                return arrivals;
            }
            let kind = kinds[rng.random_range(0..kinds.len())];
            arrivals.push(self.arrival(at, kind, inventory, &mut rng));
        }
    }

    fn arrival(
        &self,
        at: Duration,
        kind: &Kind,
        inventory: &Inventory,
        rng: &mut StdRng,
    ) -> Arrival {
        let is_long = rng.random_bool(LONG_SHARE);
        let run_time =
            if is_long { uniform(LONG_RUN_TIME, rng) } else { log_uniform(SHORT_RUN_TIME, rng) };
        let spread = self.declared_factor.ln();
        let factor = if spread > 0.0 { rng.random_range(-spread..spread).exp() } else { 1.0 };
        let urgency = inventory.urgency(&kind.urgency);
        let class = Duration::from_millis(urgency.map_or(0, |urgency| urgency.deadline_ms));
        Arrival {
            at,
            kind: kind.clone(),
            id: RequestId::new(Timestamp::ZERO, rng.random()),
            run_time,
            declared: run_time.mul_f64(factor),
            deadline: if is_long { class.max(run_time * LONG_DEADLINE_FACTOR) } else { class },
        }
    }

    fn is_burst(&self, at: Duration) -> bool {
        let middle = self.length / 2;
        at >= middle && at < middle + self.length / 10
    }
}

fn uniform((low, high): (Duration, Duration), rng: &mut StdRng) -> Duration {
    Duration::from_secs_f64(rng.random_range(low.as_secs_f64()..high.as_secs_f64()))
}

fn log_uniform((low, high): (Duration, Duration), rng: &mut StdRng) -> Duration {
    let exponent = rng.random_range(low.as_secs_f64().ln()..high.as_secs_f64().ln());
    Duration::from_secs_f64(exponent.exp())
}

fn mean_run_time() -> Duration {
    let (low, high) = (SHORT_RUN_TIME.0.as_secs_f64(), SHORT_RUN_TIME.1.as_secs_f64());
    let short = (high - low) / (high / low).ln();
    let long = (LONG_RUN_TIME.0 + LONG_RUN_TIME.1).as_secs_f64() / 2.0;
    Duration::from_secs_f64(short * (1.0 - LONG_SHARE) + long * LONG_SHARE)
}
