//! Locates the keys of an inventory in its text.

use std::{fmt, ops::Range};

use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

/// Position in a text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    /// Line, from 1.
    pub(crate) line: usize,
    /// Column, from 1.
    pub(crate) column: usize,
}

/// Path of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum KeyPath {
    /// The text as a whole.
    Text,
    /// A field of a table.
    Field(&'static str, &'static str),
    /// A field of an item of an array of tables.
    Item(&'static str, usize, &'static str),
}

/// Parsed text, in which keys can be located.
pub(crate) struct Source<'a> {
    text: &'a str,
    /// Offset of the first byte of each line.
    lines: Vec<usize>,
    root: Spanned<DeTable<'a>>,
}

impl<'a> Source<'a> {
    /// Parses a text; `None` if it is not valid TOML.
    pub(crate) fn parse(text: &'a str) -> Option<Source<'a>> {
        let root = DeTable::parse(text).ok()?;
        Some(Source { text, lines: line_starts(text), root })
    }

    /// Position of a key's value, or of the enclosing table if the key is missing.
    pub(crate) fn locate(&self, key: KeyPath) -> Option<Position> {
        let span = match key {
            KeyPath::Text => return None,
            KeyPath::Field(table, field) => {
                let table = self.root.get_ref().get(table)?;
                field_span(table, field)
            }
            KeyPath::Item(table, index, field) => {
                let items = self.root.get_ref().get(table)?.get_ref().as_array()?;
                field_span(items.get(index)?, field)
            }
        };
        Some(position(self.text, &self.lines, span.start))
    }
}

impl fmt::Display for KeyPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KeyPath::Text => Ok(()),
            KeyPath::Field(table, field) => write!(f, "{table}.{field}"),
            KeyPath::Item(table, index, field) => write!(f, "{table}[{index}].{field}"),
        }
    }
}

/// Offset of the first byte of each line.
pub(crate) fn line_starts(text: &str) -> Vec<usize> {
    let breaks = text.match_indices('\n').map(|(index, _)| index + 1);
    std::iter::once(0).chain(breaks).collect()
}

/// Position of a byte offset; `lines` are the line starts of `text`.
pub(crate) fn position(text: &str, lines: &[usize], offset: usize) -> Position {
    let line = lines.partition_point(|start| *start <= offset);
    let start = lines[line - 1];
    let column = text[start..offset.min(text.len())].chars().count() + 1;
    Position { line, column }
}

fn field_span(table: &Spanned<DeValue<'_>>, field: &str) -> Range<usize> {
    let value = table.get_ref().get(field);
    value.map_or_else(|| table.span(), Spanned::span)
}
