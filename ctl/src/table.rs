//! Plain-text tables with aligned columns.

use std::fmt;

/// A text table with a title row and left-aligned columns.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with the given column titles.
    #[must_use]
    pub fn new(titles: &[&str]) -> Table {
        let titles = titles.iter().map(ToString::to_string).collect();
        Table { rows: vec![titles] }
    }

    /// Appends a row.
    pub fn row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.into());
    }

    /// Returns the width of a column's longest cell, in characters.
    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            let mut line = String::new();
            for (column, cell) in row.iter().enumerate() {
                let width = self.width(column);
                line.push_str(&format!("{cell:width$}  "));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
