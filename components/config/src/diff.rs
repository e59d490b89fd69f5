//! Differences between two inventories, for operators to read.

use std::fmt;

use crate::Inventory;

/// One difference between two inventories.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Only the new inventory has the item.
    Added(String),
    /// Only the old inventory has the item.
    Removed(String),
    /// Both have the item, with different contents.
    Changed(String),
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Change::Added(item) => write!(f, "+ {item}"),
            Change::Removed(item) => write!(f, "- {item}"),
            Change::Changed(item) => write!(f, "~ {item}"),
        }
    }
}

/// Lists what differs between `old` and `new`.
pub fn diff(old: &Inventory, new: &Inventory) -> Vec<Change> {
    let mut changes = Vec::new();
    if old.rules != new.rules {
        changes.push(Change::Changed("rules".to_owned()));
    }
    compare(
        &mut changes,
        "availability zone",
        &old.availability_zones,
        &new.availability_zones,
        |it| it.name.clone(),
    );
    compare(&mut changes, "rack", &old.racks, &new.racks, |it| it.name.clone());
    compare(&mut changes, "urgency", &old.urgencies, &new.urgencies, |it| it.name.clone());
    compare(&mut changes, "service", &old.services, &new.services, |it| it.name.clone());
    compare(&mut changes, "kind", &old.kinds, &new.kinds, |it| {
        format!("{}/{}", it.service, it.name)
    });
    compare(&mut changes, "executor", &old.executors, &new.executors, |it| it.name.clone());
    compare(&mut changes, "worker", &old.workers, &new.workers, |it| it.name.clone());
    compare(&mut changes, "team", &old.teams, &new.teams, |it| it.name.clone());
    changes
}

fn compare<T: PartialEq>(
    changes: &mut Vec<Change>,
    what: &str,
    old: &[T],
    new: &[T],
    name: impl Fn(&T) -> String,
) {
    for item in new {
        match old.iter().find(|it| name(it) == name(item)) {
            None => changes.push(Change::Added(format!("{what} {}", name(item)))),
            Some(previous) if previous != item => {
                changes.push(Change::Changed(format!("{what} {}", name(item))));
            }
            Some(_) => {}
        }
    }
    for item in old {
        if !new.iter().any(|it| name(it) == name(item)) {
            changes.push(Change::Removed(format!("{what} {}", name(item))));
        }
    }
}
