//! Edits of an inventory's text that preserve its comments and layout.

use std::fmt;

use toml_edit::{DocumentMut, Item, TableLike, Value};

use crate::{Inventory, State};

/// Error in editing an inventory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditError {
    /// The inventory declares no endpoint of that name.
    UnknownEndpoint(String),
    /// The text is not a valid inventory.
    InvalidInventory(String),
}

/// Sets the state of the executor or worker `name` in an inventory's text.
pub fn set_state(text: &str, name: &str, state: State) -> Result<String, EditError> {
    let mut document: DocumentMut =
        text.parse().map_err(|err| EditError::InvalidInventory(format!("{err}")))?;
    let mut endpoints = tables_mut(document.get_mut("executors"));
    if !endpoints.iter().any(|it| is_named(&**it, name)) {
        endpoints = tables_mut(document.get_mut("workers"));
    }
    let found = endpoints.into_iter().find(|it| is_named(&**it, name));
    let endpoint = found.ok_or_else(|| EditError::UnknownEndpoint(name.to_owned()))?;
    write_state(endpoint, state);
    let edited = document.to_string();
    Inventory::parse(&edited).map_err(|err| EditError::InvalidInventory(err.to_string()))?;
    Ok(edited)
}

/// Tables of an array, written as `[[header]]` tables or as inline tables.
fn tables_mut(item: Option<&mut Item>) -> Vec<&mut dyn TableLike> {
    match item {
        Some(Item::ArrayOfTables(tables)) => {
            tables.iter_mut().map(|it| it as &mut dyn TableLike).collect()
        }
        Some(Item::Value(Value::Array(values))) => {
            let tables = values.iter_mut().filter_map(Value::as_inline_table_mut);
            tables.map(|it| it as &mut dyn TableLike).collect()
        }
        Some(Item::None | Item::Value(_) | Item::Table(_)) | None => Vec::new(),
    }
}

fn is_named(table: &dyn TableLike, name: &str) -> bool {
    table.get("name").and_then(Item::as_str) == Some(name)
}

fn write_state(endpoint: &mut dyn TableLike, state: State) {
    let word = match state {
        State::Active => "active",
        State::Draining => "draining",
    };
    match endpoint.get_mut("state").and_then(Item::as_value_mut) {
        Some(value) => {
            let decor = value.decor().clone();
            *value = Value::from(word);
            *value.decor_mut() = decor;
        }
        None => {
            endpoint.insert("state", toml_edit::value(word));
        }
    }
}

impl fmt::Display for EditError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EditError::UnknownEndpoint(name) => {
                write!(f, "the inventory declares no executor or worker {name:?}")
            }
            EditError::InvalidInventory(detail) => {
                write!(f, "the text is not a valid inventory: {detail}")
            }
        }
    }
}

impl std::error::Error for EditError {}
