//! What operators write and what they are told.

use std::fs;
use std::path::PathBuf;

use stoatwell_catalogue::document;

fn repository(path: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..").join(path)
}

#[test]
fn examples_are_valid() {
    for name in ["nyaysetu", "bluebonnet"] {
        let text =
            fs::read_to_string(repository(&format!("examples/{name}.json"))).expect("an example");
        assert_eq!(document::parse(&text).expect("valid").len(), 4);
    }
}

/// An operator applies a file with several wrong entries and wants to mend all
/// of them before the next try.
#[test]
fn every_mistake_of_every_entry_is_told() {
    let text = r#"{ "entries": [
      { "kind": "work", "name": "a b", "owner": "o", "class": "batch", "execution": "idempotent", "task": { "cpu_millis": -1 } },
      { "kind": "work", "name": "r", "owner": "o", "class": "request", "execution": "exclusive", "task": { "cpu_milis": 5 } },
      { "kind": "work", "name": "r", "owner": "o", "class": "request", "execution": "exclusive" },
      { "kind": "work", "name": "s", "owner": "o", "class": "service", "execution": "at_most_once", "minions": "m" },
      { "kind": "owner", "owner": "o", "quota": { "cpu_millis": "much" }, "token_sha256": "secret" }
    ] }"#;
    let failure = document::parse(text).expect_err("many mistakes");
    let lines: Vec<String> = failure.problems.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// `UPDATE_DOCS=1` writes the tables anew.
#[test]
fn documented_fields_are_the_tables() {
    let path = repository("docs/catalogue.md");
    let mut page = fs::read_to_string(&path).expect("docs/catalogue.md");
    for (name, fields) in [("work", document::WORK_FIELDS), ("owner", document::OWNER_FIELDS)] {
        let (begin, end) = (format!("<!-- begin {name} -->\n"), format!("<!-- end {name} -->"));
        let (before, rest) = page.split_once(&begin).expect("the begin mark");
        let (table, after) = rest.split_once(&end).expect("the end mark");
        let expected = stoatwell_schema::markdown_table(fields);
        if std::env::var_os("UPDATE_DOCS").is_none() {
            assert_eq!(
                table, expected,
                "UPDATE_DOCS=1 cargo test -p stoatwell-catalogue writes it anew"
            );
        }
        page = format!("{before}{begin}{expected}{end}{after}");
    }
    if std::env::var_os("UPDATE_DOCS").is_some() {
        fs::write(&path, page).expect("docs/catalogue.md");
    }
}
