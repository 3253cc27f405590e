//! Plain tables for terminals.

/// Space between two columns.
const GAP: &str = "  ";

/// Formats rows under a head, each column as wide as its widest cell.
pub fn format_table(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = head.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let head_row: Vec<String> = head.iter().map(|cell| (*cell).to_owned()).collect();
    let lines = std::iter::once(&head_row).chain(rows).map(|row| format_row(row, &widths));
    lines.collect::<Vec<_>>().join("\n")
}

fn format_row(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}"));
    cells.collect::<Vec<_>>().join(GAP).trim_end().to_owned()
}
