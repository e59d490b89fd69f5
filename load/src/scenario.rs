//! Scenarios of load and faults.

use std::{fmt, str::FromStr, time::Duration};

use crate::workload::ArrivalProcess;

/// Load and fault of a measured run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Half of the slots are busy.
    Steady50,
    /// Four fifths of the slots are busy.
    Steady80,
    /// Nearly all slots are busy.
    Steady95,
    /// Five times the rate for a tenth of the time.
    Burst,
    /// One executor runs ten times slower.
    Straggler,
    /// One executor fails every request immediately.
    FailsAll,
    /// The executors of one availability zone and their agents fail.
    ZoneLost,
    /// Open connections to an executor stop responding without being closed.
    Silent,
    /// Declared run times are off by factors of up to ten.
    Misdeclared,
    /// Callers send a thousand cancellations per second.
    Cancellations,
    /// The platform's log is out of service.
    LogOutage,
    /// A new configuration is published every second.
    ConfigChanges,
}

impl Scenario {
    /// Every scenario, in the order of the report.
    pub const ALL: [Scenario; 12] = [
        Scenario::Steady50,
        Scenario::Steady80,
        Scenario::Steady95,
        Scenario::Burst,
        Scenario::Straggler,
        Scenario::FailsAll,
        Scenario::ZoneLost,
        Scenario::Silent,
        Scenario::Misdeclared,
        Scenario::Cancellations,
        Scenario::LogOutage,
        Scenario::ConfigChanges,
    ];

    /// Name on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            Scenario::Steady50 => "steady-50",
            Scenario::Steady80 => "steady-80",
            Scenario::Steady95 => "steady-95",
            Scenario::Burst => "burst-x5",
            Scenario::Straggler => "straggler",
            Scenario::FailsAll => "fails-all",
            Scenario::ZoneLost => "zone-lost",
            Scenario::Silent => "silent",
            Scenario::Misdeclared => "declared-x10",
            Scenario::Cancellations => "cancellations",
            Scenario::LogOutage => "log-outage",
            Scenario::ConfigChanges => "config-changes",
        }
    }

    /// Arrival process of the scenario.
    pub fn arrival_process(self, length: Duration, seed: u64) -> ArrivalProcess {
        let load = match self {
            Scenario::Steady50 | Scenario::ZoneLost | Scenario::Burst => 0.5,
            Scenario::Steady95 => 0.95,
            Scenario::Steady80 => 0.8,
            Scenario::Straggler
            | Scenario::FailsAll
            | Scenario::Silent
            | Scenario::Misdeclared
            | Scenario::Cancellations
            | Scenario::LogOutage
            | Scenario::ConfigChanges => 0.6,
        };
        let burst_factor = if self == Scenario::Burst { 5.0 } else { 1.0 };
        let declared_factor = if self == Scenario::Misdeclared { 10.0 } else { 2.0 };
        ArrivalProcess { length, load, burst_factor, declared_factor, seed }
    }
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(s: &str) -> Result<Scenario, String> {
        Scenario::ALL.into_iter().find(|it| it.name() == s).ok_or_else(|| {
            let names: Vec<&str> = Scenario::ALL.into_iter().map(Scenario::name).collect();
            format!("{s:?} is not a scenario; use one of {}", names.join(", "))
        })
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
