//! The page that documents a table of fields.

use std::fmt::Write;

use crate::Field;
use crate::describe;

/// A Markdown table of the fields.
pub fn markdown_table(fields: &[Field]) -> String {
    let mut page = String::from("| field | takes | default | meaning |\n|---|---|---|---|\n");
    for field in fields {
        let default = field.default.unwrap_or("(must be given)");
        let takes = describe(field.kind);
        let row = writeln!(page, "| `{}` | {takes} | `{default}` | {} |", field.path, field.doc);
        debug_assert!(row.is_ok(), "writing to a String cannot fail");
    }
    page
}
