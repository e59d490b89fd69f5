//! Trial.
use broker::Policy;
use guard::Timing;
use model::{Burst, Fault, FaultKind, Kind, Load, World, WorldOptions};

fn main() {
    let arg =
        |name: &str, d: f64| std::env::var(name).ok().and_then(|it| it.parse().ok()).unwrap_or(d);
    let scale = arg("SCALE", 1.0);
    let n = arg("N", 53.0) as usize;
    let f = n as f64 / 53.0;
    let kind = |name: &str, rate: f64, width, work| Kind {
        name: name.into(),
        rate: rate * scale * f,
        width,
        cpu: 5000.0,
        work,
        attempts: 2,
        poison: 0.0,
    };
    let kinds = vec![
        kind("slot-check", 223.0, 8.0, 60.0),
        kind("cradle-fit", 50.7, 4.0, 900.0),
        kind("wrap-ticket", 648.0, 2.0, 200.0),
    ];
    let bursts = if arg("BURST", 0.0) > 0.0 {
        vec![
            Burst { at: 2000, length: 4000, kind: None, times: 1.3 },
            Burst { at: 3600, length: 4400, kind: Some(1), times: 1.9 },
        ]
    } else {
        vec![]
    };
    let mut faults: Vec<Fault> = (0..n)
        .step_by(3)
        .map(|it| Fault { at: 0, length: 60_000, kind: FaultKind::SlowEndpoint(it, 1.25) })
        .collect();
    if arg("FAIL", 0.0) > 0.0 {
        for e in 0..5 {
            faults.push(Fault { at: 4800, length: 6500, kind: FaultKind::FailEndpoint(e * 3 + 1) });
        }
    }
    let options = WorldOptions {
        seed: arg("SEED", 1.0) as u64,
        entries: arg("ENTRIES", 8.0) as usize,
        endpoints: vec![64_000; n],
        load: Load { kinds, spread: 0.4, misjudged: 0.4, bursts },
        length: arg("LENGTH", 12_000.0) as u64,
        faults,
        timing: Timing::default(),
        runs_over: broker::RUNS_OVER_MS,
        policy: Policy {
            wait_share: arg("SHARE", 100.0) as u64,
            patience: arg("PATIENCE", 6.0) as u32,
            ..Policy::default()
        },
        trace: None,
    };
    let report = World::new(options).run();
    let mut credit = 0.0;
    for it in &report.kinds {
        let s = it.sent as f64;
        credit += (it.in_time as f64 + 0.2 * it.late as f64) / s / 3.0;
        println!(
            "{:12} sent {:6} in {:.3} late {:.3} early {:.3} reflate {:.3} failed {:.3} p50 {} p99 {}",
            it.name,
            it.sent,
            it.in_time as f64 / s,
            it.late as f64 / s,
            it.refused_early as f64 / s,
            it.refused_late as f64 / s,
            it.failed as f64 / s,
            it.times.value_at_quantile(0.5),
            it.times.value_at_quantile(0.99)
        );
    }
    println!("credit {credit:.4} util {:.3} datagrams {} calls {}", report.useful as f64 / (n as f64 * 64.0 * arg("LENGTH", 12_000.0)), report.datagrams, report.calls);
    println!("credit {credit:.4} violations {}", report.violations.len());
}
