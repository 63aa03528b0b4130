//! Aligned columns.

const GAP: &str = "  ";

/// Rows under a heading, each column as wide as its widest cell.
pub fn table(heading: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = heading.iter().map(|it| it.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let heading: Vec<String> = heading.iter().map(|it| it.to_string()).collect();
    std::iter::once(&heading).chain(rows).map(|row| line(row, &widths)).collect()
}

/// A bound; the largest number stands for none.
pub fn most(bound: u32) -> String {
    if bound == u32::MAX { "any".into() } else { bound.to_string() }
}

fn line(row: &[String], widths: &[usize]) -> String {
    let pad = |(cell, width): (&String, &usize)| format!("{cell:<width$}");
    let cells: Vec<String> = row.iter().zip(widths).map(pad).collect();
    format!("{}\n", cells.join(GAP).trim_end())
}
