//! Differences between two inventories, for display.

use std::{
    collections::{BTreeSet, HashMap},
    fmt,
};

use serde::Serialize;
use serde_json::{Map, Value};

use crate::Inventory;

/// One difference between two inventories.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Change {
    /// Only the new inventory has the item.
    Added {
        /// Table and name of the item.
        item: String,
    },
    /// Only the old inventory has the item.
    Removed {
        /// Table and name of the item.
        item: String,
    },
    /// Both inventories have the item, with different fields.
    Changed {
        /// Table and name of the item.
        item: String,
        /// Fields that differ.
        fields: Vec<FieldChange>,
    },
}

/// A field with its old and new value.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct FieldChange {
    /// Name of the field.
    pub field: String,
    /// Value in the old inventory.
    pub old: Value,
    /// Value in the new inventory.
    pub new: Value,
}

/// Lists what differs between `old` and `new`.
pub fn diff(old: &Inventory, new: &Inventory) -> Vec<Change> {
    let mut changes = Vec::new();
    compare(&mut changes, &[Item::new("rules", &old.rules)], &[Item::new("rules", &new.rules)]);
    compare(&mut changes, &zones(old), &zones(new));
    compare(&mut changes, &racks(old), &racks(new));
    compare(&mut changes, &urgencies(old), &urgencies(new));
    compare(&mut changes, &services(old), &services(new));
    compare(&mut changes, &kinds(old), &kinds(new));
    compare(&mut changes, &executors(old), &executors(new));
    compare(&mut changes, &workers(old), &workers(new));
    compare(&mut changes, &teams(old), &teams(new));
    changes
}

/// An item of an inventory, labelled with its table and name.
struct Item {
    label: String,
    fields: Map<String, Value>,
}

impl Item {
    fn new(label: impl Into<String>, item: &impl Serialize) -> Item {
        let fields = match serde_json::to_value(item) {
            Ok(Value::Object(fields)) => fields,
            Ok(_) | Err(_) => unreachable!("items of an inventory are objects"),
        };
        Item { label: label.into(), fields }
    }
}

fn zones(inventory: &Inventory) -> Vec<Item> {
    let zones = inventory.availability_zones.iter();
    zones.map(|it| Item::new(format!("availability zone {}", it.name), it)).collect()
}

fn racks(inventory: &Inventory) -> Vec<Item> {
    inventory.racks.iter().map(|it| Item::new(format!("rack {}", it.name), it)).collect()
}

fn urgencies(inventory: &Inventory) -> Vec<Item> {
    inventory.urgencies.iter().map(|it| Item::new(format!("urgency {}", it.name), it)).collect()
}

fn services(inventory: &Inventory) -> Vec<Item> {
    inventory.services.iter().map(|it| Item::new(format!("service {}", it.name), it)).collect()
}

fn kinds(inventory: &Inventory) -> Vec<Item> {
    let kinds = inventory.kinds.iter();
    kinds.map(|it| Item::new(format!("kind {}/{}", it.service, it.name), it)).collect()
}

fn executors(inventory: &Inventory) -> Vec<Item> {
    inventory.executors.iter().map(|it| Item::new(format!("executor {}", it.name), it)).collect()
}

fn workers(inventory: &Inventory) -> Vec<Item> {
    inventory.workers.iter().map(|it| Item::new(format!("worker {}", it.name), it)).collect()
}

fn teams(inventory: &Inventory) -> Vec<Item> {
    inventory.teams.iter().map(|it| Item::new(format!("team {}", it.name), it)).collect()
}

fn compare(changes: &mut Vec<Change>, old: &[Item], new: &[Item]) {
    let before: HashMap<&str, &Item> = old.iter().map(|it| (it.label.as_str(), it)).collect();
    let after: HashMap<&str, &Item> = new.iter().map(|it| (it.label.as_str(), it)).collect();
    for item in new {
        match before.get(item.label.as_str()) {
            None => changes.push(Change::Added { item: item.label.clone() }),
            Some(previous) if previous.fields != item.fields => {
                let fields = compare_fields(&previous.fields, &item.fields);
                changes.push(Change::Changed { item: item.label.clone(), fields });
            }
            Some(_) => {}
        }
    }
    for item in old {
        if !after.contains_key(item.label.as_str()) {
            changes.push(Change::Removed { item: item.label.clone() });
        }
    }
}

fn compare_fields(old: &Map<String, Value>, new: &Map<String, Value>) -> Vec<FieldChange> {
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let value = |fields: &Map<String, Value>, name| fields.get(name).cloned().unwrap_or_default();
    names
        .into_iter()
        .map(|name| FieldChange {
            field: name.clone(),
            old: value(old, name),
            new: value(new, name),
        })
        .filter(|change| change.old != change.new)
        .collect()
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Change::Added { item } => write!(f, "+ {item}"),
            Change::Removed { item } => write!(f, "- {item}"),
            Change::Changed { item, fields } => {
                write!(f, "~ {item}: ")?;
                for (index, change) in fields.iter().enumerate() {
                    let separator = if index > 0 { ", " } else { "" };
                    write!(f, "{separator}{change}")?;
                }
                Ok(())
            }
        }
    }
}

impl fmt::Display for FieldChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} -> {}", self.field, unquoted(&self.old), unquoted(&self.new))
    }
}

/// Text of a value; strings are not quoted.
fn unquoted(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
