//! Plain-text tables.

/// Columns of text, each as wide as its widest cell.
#[derive(Debug, Default)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a header row.
    pub(crate) fn new(names: &[&str]) -> Table {
        Table { rows: vec![names.iter().map(|it| (*it).to_owned()).collect()] }
    }

    /// Adds a row.
    pub(crate) fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Adds a row of a name and its value.
    pub(crate) fn field(&mut self, name: &str, value: impl ToString) {
        self.rows.push(vec![name.to_owned(), value.to_string()]);
    }

    /// Formats the table with columns two spaces apart.
    pub(crate) fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let widths: Vec<usize> = (0..columns).map(|column| self.width(column)).collect();
        let mut text = String::new();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line += &format!("{cell:width$}  ");
            }
            text += line.trim_end();
            text.push('\n');
        }
        text
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}
