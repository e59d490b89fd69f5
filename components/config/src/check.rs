//! Validation of an inventory: names, references and ranges.

use std::{
    collections::{HashMap, HashSet},
    ops::RangeInclusive,
};

use crate::{
    CheckError, Inventory, Problem,
    locate::{KeyPath, Source},
};

/// Slots, connections, cores or GB of memory of one endpoint.
const ENDPOINT_CAPACITY: RangeInclusive<u64> = 1..=65_536;
/// Accelerators of one worker.
const WORKER_ACCELERATORS: RangeInclusive<u64> = 0..=1024;
/// Deadlines of urgency classes, in milliseconds.
const DEADLINE_MS: RangeInclusive<u64> = 1..=3_600_000;
/// Expected run times, in milliseconds.
const RUN_MS: RangeInclusive<u64> = 1..=3_600_000;
/// Starts per second, and burst size, of a team.
const TEAM_STARTS: RangeInclusive<u64> = 1..=1_000_000;
/// Retry and ejection limits, in percent.
const PERCENT: RangeInclusive<u64> = 0..=100;
/// Predicted waits above which requests are handed on, in milliseconds.
const HAND_ON_WAIT_MS: RangeInclusive<u64> = 0..=60_000;
/// Retention of ids and answers, in seconds.
const WINDOW_S: RangeInclusive<u64> = 1..=86_400;
/// Clock skew, in milliseconds.
const SKEW_MS: RangeInclusive<u64> = 0..=10_000;
/// Longest name, in characters.
const MAX_NAME_CHARS: usize = 64;
/// Most names that a message lists; the rest are counted.
const MAX_LISTED_NAMES: usize = 8;

/// Checks an inventory; `text` is its source and locates the problems.
pub(crate) fn check(inventory: &Inventory, text: &str) -> Result<(), CheckError> {
    let mut checker = Checker::default();
    checker.check_not_empty(inventory);
    checker.check_rules(inventory);
    checker.check_zones(inventory);
    checker.check_services(inventory);
    checker.check_endpoints(inventory);
    checker.check_teams(inventory);
    checker.finish(text)
}

/// Collects the problems found by the checks.
#[derive(Default)]
struct Checker {
    findings: Vec<Finding>,
}

struct Finding {
    key: KeyPath,
    message: String,
}

/// Names that a field may refer to.
struct DeclaredNames<'a> {
    declared: HashSet<&'a str>,
    listed: String,
}

/// Names in use, each with the key that uses it first.
#[derive(Default)]
struct UsedNames<'a> {
    keys: HashMap<&'a str, KeyPath>,
}

impl Checker {
    fn check_not_empty(&mut self, inventory: &Inventory) {
        if inventory.services.is_empty() && inventory.workers.is_empty() {
            let message = "the inventory declares no services and no workers, so nothing could \
                           run; declare at least one";
            self.report(KeyPath::Text, message.to_owned());
        }
    }

    fn check_rules(&mut self, inventory: &Inventory) {
        let rules = &inventory.rules;
        let key = |field| KeyPath::Field("rules", field);
        self.check_range(key("hand_on_wait_ms"), rules.hand_on_wait_ms, HAND_ON_WAIT_MS);
        self.check_range(key("retry_percent"), rules.retry_percent.into(), PERCENT);
        self.check_range(key("eject_percent"), rules.eject_percent.into(), PERCENT);
        self.check_range(key("window_s"), rules.window_s, WINDOW_S);
        self.check_range(key("skew_ms"), rules.skew_ms, SKEW_MS);
        let longest = inventory.urgencies.iter().map(|it| it.deadline_ms).max().unwrap_or(0);
        if rules.window_s.saturating_mul(1000) < longest {
            let message = format!(
                "ids are kept for {} s, but the longest deadline of an urgency class is \
                 {longest} ms; the window must not be shorter",
                rules.window_s
            );
            self.report(key("window_s"), message);
        }
    }

    fn check_zones(&mut self, inventory: &Inventory) {
        let mut used = UsedNames::default();
        for (index, zone) in inventory.availability_zones.iter().enumerate() {
            let key = |field| KeyPath::Item("availability_zones", index, field);
            self.check_name(&mut used, key("name"), &zone.name);
            self.check_text(key("region"), &zone.region);
        }
        let zones = zone_names(inventory);
        let mut used = UsedNames::default();
        for (index, rack) in inventory.racks.iter().enumerate() {
            let key = |field| KeyPath::Item("racks", index, field);
            self.check_name(&mut used, key("name"), &rack.name);
            self.check_reference(key("availability_zone"), &rack.availability_zone, &zones);
        }
    }

    fn check_services(&mut self, inventory: &Inventory) {
        let mut used = UsedNames::default();
        for (index, urgency) in inventory.urgencies.iter().enumerate() {
            let key = |field| KeyPath::Item("urgencies", index, field);
            self.check_name(&mut used, key("name"), &urgency.name);
            self.check_range(key("deadline_ms"), urgency.deadline_ms, DEADLINE_MS);
        }
        let mut used = UsedNames::default();
        for (index, service) in inventory.services.iter().enumerate() {
            self.check_name(&mut used, KeyPath::Item("services", index, "name"), &service.name);
        }
        let services = service_names(inventory);
        let urgencies = DeclaredNames::new(inventory.urgencies.iter().map(|it| it.name.as_str()));
        let mut used: HashMap<&str, UsedNames<'_>> = HashMap::new();
        for (index, kind) in inventory.kinds.iter().enumerate() {
            let key = |field| KeyPath::Item("kinds", index, field);
            let of_service = used.entry(&kind.service).or_default();
            self.check_name(of_service, key("name"), &kind.name);
            self.check_reference(key("service"), &kind.service, &services);
            self.check_reference(key("urgency"), &kind.urgency, &urgencies);
            self.check_range(key("run_ms"), kind.run_ms, RUN_MS);
        }
    }

    fn check_endpoints(&mut self, inventory: &Inventory) {
        let zones = zone_names(inventory);
        let services = service_names(inventory);
        let racks = DeclaredNames::new(inventory.racks.iter().map(|it| it.name.as_str()));
        let mut used = UsedNames::default();
        for (index, executor) in inventory.executors.iter().enumerate() {
            let key = |field| KeyPath::Item("executors", index, field);
            self.check_name(&mut used, key("name"), &executor.name);
            self.check_reference(key("service"), &executor.service, &services);
            self.check_reference(key("availability_zone"), &executor.availability_zone, &zones);
            self.check_range(key("slots"), executor.slots.into(), ENDPOINT_CAPACITY);
            self.check_range(key("connections"), executor.connections.into(), ENDPOINT_CAPACITY);
        }
        for (index, worker) in inventory.workers.iter().enumerate() {
            let key = |field| KeyPath::Item("workers", index, field);
            self.check_name(&mut used, key("name"), &worker.name);
            self.check_reference(key("rack"), &worker.rack, &racks);
            self.check_range(key("cores"), worker.cores.into(), ENDPOINT_CAPACITY);
            self.check_range(key("memory_gb"), worker.memory_gb.into(), ENDPOINT_CAPACITY);
            self.check_range(key("accelerators"), worker.accelerators.into(), WORKER_ACCELERATORS);
        }
    }

    fn check_teams(&mut self, inventory: &Inventory) {
        let mut used = UsedNames::default();
        for (index, team) in inventory.teams.iter().enumerate() {
            let key = |field| KeyPath::Item("teams", index, field);
            self.check_name(&mut used, key("name"), &team.name);
            self.check_range(key("starts_per_s"), team.starts_per_s.into(), TEAM_STARTS);
            self.check_range(key("burst"), team.burst.into(), TEAM_STARTS);
        }
    }

    fn check_name<'a>(&mut self, used: &mut UsedNames<'a>, key: KeyPath, name: &'a str) {
        if !is_valid_name(name) {
            let message = format!(
                "{name:?} is not a valid name; expected 1 to {MAX_NAME_CHARS} letters, digits, \
                 '-', '_' or '.'"
            );
            self.report(key, message);
        } else if let Some(first) = used.keys.get(name) {
            let message =
                format!("the name {name:?} is used twice, first by {first}; names must be unique");
            self.report(key, message);
        } else {
            used.keys.insert(name, key);
        }
    }

    fn check_text(&mut self, key: KeyPath, text: &str) {
        if text.trim().is_empty() {
            self.report(key, "the value must not be empty".to_owned());
        }
    }

    fn check_reference(&mut self, key: KeyPath, name: &str, names: &DeclaredNames<'_>) {
        if !names.declared.contains(name) {
            self.report(key, format!("{name:?} is not declared; {}", names.listed));
        }
    }

    fn check_range(&mut self, key: KeyPath, value: u64, range: RangeInclusive<u64>) {
        if !range.contains(&value) {
            let (start, end) = range.into_inner();
            self.report(key, format!("{value} is out of range; expected {start} to {end}"));
        }
    }

    fn report(&mut self, key: KeyPath, message: String) {
        self.findings.push(Finding { key, message });
    }

    /// Locates the problems and sorts them by position.
    fn finish(self, text: &str) -> Result<(), CheckError> {
        if self.findings.is_empty() {
            return Ok(());
        }
        let source = Source::parse(text);
        let locate = |key| source.as_ref().and_then(|it| it.locate(key));
        let problems = self.findings.into_iter();
        let problems =
            problems.map(|it| Problem::new(locate(it.key), it.key.to_string(), it.message));
        let mut problems: Vec<Problem> = problems.collect();
        problems.sort_by_key(|it| (it.line, it.column));
        Err(CheckError { problems })
    }
}

impl<'a> DeclaredNames<'a> {
    fn new(names: impl Iterator<Item = &'a str>) -> DeclaredNames<'a> {
        let declared: HashSet<&str> = names.collect();
        let mut sorted: Vec<&str> = declared.iter().copied().collect();
        sorted.sort_unstable();
        DeclaredNames { listed: list_names(&sorted), declared }
    }
}

fn zone_names(inventory: &Inventory) -> DeclaredNames<'_> {
    DeclaredNames::new(inventory.availability_zones.iter().map(|it| it.name.as_str()))
}

fn service_names(inventory: &Inventory) -> DeclaredNames<'_> {
    DeclaredNames::new(inventory.services.iter().map(|it| it.name.as_str()))
}

fn list_names(sorted: &[&str]) -> String {
    if sorted.is_empty() {
        return "none is declared".to_owned();
    }
    let shown = sorted.iter().take(MAX_LISTED_NAMES).copied().collect::<Vec<_>>().join(", ");
    match sorted.len().saturating_sub(MAX_LISTED_NAMES) {
        0 => format!("declared are {shown}"),
        rest => format!("declared are {shown} and {rest} more"),
    }
}

fn is_valid_name(name: &str) -> bool {
    let is_allowed = |it: char| it.is_ascii_alphanumeric() || matches!(it, '-' | '_' | '.');
    (1..=MAX_NAME_CHARS).contains(&name.chars().count()) && name.chars().all(is_allowed)
}
