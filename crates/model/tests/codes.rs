//! Tests of the result codes, their table in `docs/codes.md`, and identifiers.

use std::fmt::Write;
use std::fs;
use std::path::PathBuf;

use stoatwell_model::AttemptId;
use stoatwell_model::Code;
use stoatwell_model::JobId;
use stoatwell_model::OwnerName;

const BEGIN: &str = "<!-- begin table -->\n";
const END: &str = "<!-- end table -->";

/// Operators look up codes in the table, so it must match the program.
/// `UPDATE_DOCS=1` regenerates it.
#[test]
fn documented_table_matches_the_code() {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/codes.md");
    let page = fs::read_to_string(&path).expect("docs/codes.md");
    let (before, rest) = page.split_once(BEGIN).expect("the begin marker");
    let (table, after) = rest.split_once(END).expect("the end marker");
    let expected = render_table();
    if std::env::var_os("UPDATE_DOCS").is_some() {
        fs::write(&path, format!("{before}{BEGIN}{expected}{END}{after}")).expect("docs/codes.md");
        return;
    }
    assert_eq!(
        table, expected,
        "UPDATE_DOCS=1 cargo test -p stoatwell-model regenerates the table"
    );
}

#[test]
fn numbers_are_unique_and_convert_back() {
    for code in Code::ALL {
        assert_eq!(Code::try_from(code.number()).expect("a known number"), *code);
        assert!(
            (400..=599).contains(&code.http_status()),
            "the HTTP status of {code:?} must be an error"
        );
    }
    let numbers: Vec<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "numbers must be ascending without duplicates");
    assert!(Code::try_from(1).is_err());
}

/// The same key of another owner must give another id, and so must an owner and a key
/// whose concatenation is the same.
#[test]
fn job_ids_differ_by_owner_and_key() {
    let id = |owner: &str, key: &str| JobId::from_key(&OwnerName::new(owner), key);
    assert_eq!(id("a", "b"), id("a", "b"));
    assert_ne!(id("a", "b"), id("b", "a"));
    assert_ne!(id("ab", "c"), id("a", "bc"));
    let attempt = AttemptId { job: id("a", "b"), task: 7, attempt: 2 };
    assert_eq!(attempt.to_string().parse::<AttemptId>().expect("a formatted id"), attempt);
    assert!("nonsense".parse::<AttemptId>().is_err());
}

fn render_table() -> String {
    let mut table = String::from("| code | HTTP | cause | what to do |\n|---|---|---|---|\n");
    for code in Code::ALL {
        let (number, status, hint) = (code.number(), code.http_status(), code.hint());
        writeln!(table, "| {number} | {status} | {code} | {hint} |")
            .expect("writing to a String cannot fail");
    }
    table
}
