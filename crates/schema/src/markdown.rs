//! Markdown documentation of a table of fields.

use std::fmt::Write;

use crate::Field;
use crate::describe;

/// Renders the fields as a Markdown table with a heading row.
pub fn markdown_table(fields: &[Field]) -> String {
    let mut table = String::from("| field | takes | default | meaning |\n|---|---|---|---|\n");
    for field in fields {
        let default = field.default.unwrap_or("(must be given)");
        let values = describe(field.kind);
        let row = writeln!(table, "| `{}` | {values} | `{default}` | {} |", field.path, field.doc);
        debug_assert!(row.is_ok(), "writing to a String cannot fail");
    }
    table
}
