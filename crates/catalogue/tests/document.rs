//! Tests of parsing entries, of error reports, and of the documented fields.

use std::fs;
use std::path::PathBuf;

use stoatwell_catalogue::document;

fn repository_path(path: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..").join(path)
}

#[test]
fn examples_are_valid() {
    for name in ["nyaysetu", "bluebonnet"] {
        let text = fs::read_to_string(repository_path(&format!("examples/{name}.json")))
            .expect("an example");
        assert_eq!(document::parse(&text).expect("a valid example").len(), 4);
    }
}

/// An operator applies a file with several invalid entries and wants to fix all of them
/// before the next attempt.
#[test]
fn all_errors_of_all_entries_are_reported() {
    let text = r#"{ "entries": [
      { "kind": "work", "name": "a b", "owner": "o", "class": "batch", "execution": "idempotent", "task": { "cpu_millis": -1 } },
      { "kind": "work", "name": "r", "owner": "o", "class": "request", "execution": "exclusive", "task": { "cpu_milis": 5 } },
      { "kind": "work", "name": "r", "owner": "o", "class": "request", "execution": "exclusive" },
      { "kind": "work", "name": "s", "owner": "o", "class": "service", "execution": "at_most_once", "minions": "m" },
      { "kind": "owner", "owner": "o", "quota": { "cpu_millis": "much" }, "token_sha256": "secret" }
    ] }"#;
    let failure = document::parse(text).expect_err("invalid entries");
    let lines: Vec<String> = failure.problems.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// The tables in `docs/catalogue.md` must match the code. `UPDATE_DOCS=1` regenerates them.
#[test]
fn documented_fields_match_the_code() {
    let path = repository_path("docs/catalogue.md");
    let mut page = fs::read_to_string(&path).expect("docs/catalogue.md");
    for (name, fields) in [("work", document::WORK_FIELDS), ("owner", document::OWNER_FIELDS)] {
        let (begin, end) = (format!("<!-- begin {name} -->\n"), format!("<!-- end {name} -->"));
        let (before, rest) = page.split_once(&begin).expect("the begin marker");
        let (table, after) = rest.split_once(&end).expect("the end marker");
        let expected = stoatwell_schema::markdown_table(fields);
        if std::env::var_os("UPDATE_DOCS").is_none() {
            assert_eq!(
                table, expected,
                "UPDATE_DOCS=1 cargo test -p stoatwell-catalogue regenerates it"
            );
        }
        page = format!("{before}{begin}{expected}{end}{after}");
    }
    if std::env::var_os("UPDATE_DOCS").is_some() {
        fs::write(&path, page).expect("docs/catalogue.md");
    }
}
