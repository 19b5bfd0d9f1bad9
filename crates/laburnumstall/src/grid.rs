//! Tables of text with aligned columns.

use std::fmt;

/// Spaces between two columns.
const GAP: &str = "  ";

/// A table of text.
pub(crate) struct Grid {
    rows: Vec<Vec<String>>,
}

impl Grid {
    /// Starts a table with the names of its columns.
    pub(crate) fn new(header: &[&str]) -> Self {
        let header = header.iter().map(|name| (*name).to_owned()).collect();
        Self { rows: vec![header] }
    }

    /// Adds a row.
    pub(crate) fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

impl fmt::Display for Grid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let widths: Vec<usize> = (0..columns).map(|column| self.width(column)).collect();
        for (index, row) in self.rows.iter().enumerate() {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:<width$}"))
                .collect();
            let break_before = if index == 0 { "" } else { "\n" };
            write!(f, "{break_before}{}", cells.join(GAP).trim_end())?;
        }
        Ok(())
    }
}
