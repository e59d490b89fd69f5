//! Checks across the fields of an inventory.

use std::{collections::HashSet, fmt};

use crate::Inventory;

/// Largest number of slots, connections or cores that one endpoint may declare.
const MAX_CAPACITY: u32 = 65_536;

/// One thing that is wrong with an inventory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Line of the text, from 1, where it is known.
    pub line: Option<usize>,
    /// Column of the text, from 1, where it is known.
    pub column: Option<usize>,
    /// Path of the key, such as `executors[2].service`.
    pub key: String,
    /// What is wrong and what is accepted, as a sentence.
    pub message: String,
}

/// Every problem found in an inventory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckError {
    /// Problems in the order of the text.
    pub problems: Vec<Problem>,
}

impl CheckError {
    /// Locates a TOML error in its text.
    pub(crate) fn from_toml(text: &str, err: &toml::de::Error) -> CheckError {
        let position = err.span().map(|span| position(text, span.start));
        let problem = Problem {
            line: position.map(|(line, _)| line),
            column: position.map(|(_, column)| column),
            key: String::new(),
            message: err.message().to_owned(),
        };
        CheckError { problems: vec![problem] }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let (Some(line), Some(column)) = (self.line, self.column) {
            write!(f, "line {line}, column {column}: ")?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.message)
    }
}

impl fmt::Display for CheckError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            problem.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for CheckError {}

/// Checks names, references and ranges.
pub(crate) fn check(inventory: &Inventory) -> Result<(), CheckError> {
    let mut problems = Vec::new();
    check_unique(
        &mut problems,
        "availability_zones",
        inventory.availability_zones.iter().map(|it| &it.name),
    );
    check_unique(&mut problems, "racks", inventory.racks.iter().map(|it| &it.name));
    check_unique(&mut problems, "urgencies", inventory.urgencies.iter().map(|it| &it.name));
    check_unique(&mut problems, "services", inventory.services.iter().map(|it| &it.name));
    check_unique(&mut problems, "teams", inventory.teams.iter().map(|it| &it.name));
    let endpoints = inventory.executors.iter().map(|it| &it.name);
    check_unique(
        &mut problems,
        "executors",
        endpoints.chain(inventory.workers.iter().map(|it| &it.name)),
    );

    let zones: HashSet<&str> =
        inventory.availability_zones.iter().map(|it| it.name.as_str()).collect();
    for (index, rack) in inventory.racks.iter().enumerate() {
        check_reference(
            &mut problems,
            format!("racks[{index}].availability_zone"),
            &rack.availability_zone,
            &zones,
        );
    }
    let services: HashSet<&str> = inventory.services.iter().map(|it| it.name.as_str()).collect();
    let urgencies: HashSet<&str> = inventory.urgencies.iter().map(|it| it.name.as_str()).collect();
    for (index, kind) in inventory.kinds.iter().enumerate() {
        check_reference(&mut problems, format!("kinds[{index}].service"), &kind.service, &services);
        check_reference(
            &mut problems,
            format!("kinds[{index}].urgency"),
            &kind.urgency,
            &urgencies,
        );
    }
    for (index, executor) in inventory.executors.iter().enumerate() {
        let key = format!("executors[{index}]");
        check_reference(&mut problems, format!("{key}.service"), &executor.service, &services);
        check_reference(
            &mut problems,
            format!("{key}.availability_zone"),
            &executor.availability_zone,
            &zones,
        );
        check_range(&mut problems, format!("{key}.slots"), executor.slots);
        check_range(&mut problems, format!("{key}.connections"), executor.connections);
    }
    let racks: HashSet<&str> = inventory.racks.iter().map(|it| it.name.as_str()).collect();
    for (index, worker) in inventory.workers.iter().enumerate() {
        let key = format!("workers[{index}]");
        check_reference(&mut problems, format!("{key}.rack"), &worker.rack, &racks);
        check_range(&mut problems, format!("{key}.cores"), worker.cores);
        check_range(&mut problems, format!("{key}.memory_gb"), worker.memory_gb);
    }
    match problems.is_empty() {
        true => Ok(()),
        false => Err(CheckError { problems }),
    }
}

fn check_unique<'a>(
    problems: &mut Vec<Problem>,
    table: &str,
    names: impl Iterator<Item = &'a String>,
) {
    let mut seen = HashSet::new();
    for (index, name) in names.enumerate() {
        let key = format!("{table}[{index}].name");
        if name.is_empty() {
            problems.push(problem(key, "the name is empty; give it a unique name".to_owned()));
        } else if !seen.insert(name) {
            problems.push(problem(
                key,
                format!("the name {name:?} is used twice; names must be unique"),
            ));
        }
    }
}

fn check_reference(problems: &mut Vec<Problem>, key: String, name: &str, known: &HashSet<&str>) {
    if !known.contains(name) {
        let mut names: Vec<&str> = known.iter().copied().collect();
        names.sort_unstable();
        problems.push(problem(key, format!("{name:?} is not declared; declared are {names:?}")));
    }
}

fn check_range(problems: &mut Vec<Problem>, key: String, value: u32) {
    if !(1..=MAX_CAPACITY).contains(&value) {
        problems.push(problem(
            key,
            format!("{value} is out of range; accepted are 1 to {MAX_CAPACITY}"),
        ));
    }
}

fn problem(key: String, message: String) -> Problem {
    Problem { line: None, column: None, key, message }
}

fn position(text: &str, offset: usize) -> (usize, usize) {
    let before = &text[..offset.min(text.len())];
    let line = before.matches('\n').count() + 1;
    let column = before.len() - before.rfind('\n').map_or(0, |index| index + 1) + 1;
    (line, column)
}
