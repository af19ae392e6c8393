//! What operators see of wrong settings, and that the page documents all fields.

use std::fs;
use std::path::PathBuf;

use serde_json::Value;
use stoatwell_model::Failure;
use stoatwell_settings::FIELDS;

const BEGIN: &str = "<!-- begin table -->\n";
const END: &str = "<!-- end table -->";

fn told(failure: &Failure) -> String {
    let mut lines = vec![failure.to_string()];
    lines.extend(failure.problems.iter().map(ToString::to_string));
    lines.join("\n")
}

/// An operator edits settings in a hurry and makes ten mistakes. Told one by
/// one they would cost ten starts of the daemon.
#[test]
fn ten_mistakes_are_told_at_once() {
    let text = r#"{
        "daemon": { "name": "Daemon 1", "zone": "", "regoin": "r" },
        "listen": { "http_address": "localhost", "peer_address": "127.0.0.1" },
        "platform": { "store_address": 7000, "store_timeout_ms": -5 },
        "security": { "open_access": "yes", "operator_token_sha256": ["abc"] },
        "leases": 6000,
        "log": { "format": "xml" },
        "colour": true
    }"#;
    let failure = stoatwell_settings::parse(text).expect_err("ten mistakes");
    assert!(failure.problems.len() >= 10, "only {} problems", failure.problems.len());
    insta::assert_snapshot!(told(&failure));
}

/// Each value is fine alone, but together they make leases lapse, daemons look
/// dead, or open a cell to strangers.
#[test]
fn fields_that_disagree_are_told() {
    let mut document: Value = serde_json::from_str(&stoatwell_settings::defaults()).expect("JSON");
    document["leases"]["renew_wait_ms"] = 5_000.into();
    document["membership"]["silent_after_ms"] = 600.into();
    document["security"]["peer_key"] = "short".into();
    document["listen"]["http_address"] = "10.0.0.1:80".into();
    let failure = stoatwell_settings::parse(&document.to_string()).expect_err("they disagree");
    insta::assert_snapshot!(told(&failure));
}

#[test]
fn broken_json_says_where() {
    let failure = stoatwell_settings::parse("{ \"daemon\": ").expect_err("broken");
    assert_eq!(failure.code.number(), 8001);
    assert!(failure.message.contains("line 1"), "{}", failure.message);
}

#[test]
fn defaults_are_valid_and_cover_the_table() {
    let defaults: Value = serde_json::from_str(&stoatwell_settings::defaults()).expect("JSON");
    stoatwell_settings::parse(&defaults.to_string()).expect("defaults are valid");
    let mut paths = Vec::new();
    collect(&defaults, String::new(), &mut paths);
    let mut table: Vec<String> = FIELDS.iter().map(|field| field.path.to_owned()).collect();
    paths.sort();
    table.sort();
    assert_eq!(paths, table, "every field of the settings is in the table and no other");
}

/// `UPDATE_DOCS=1` writes the table anew.
#[test]
fn documented_page_is_the_table() {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/settings.md");
    let page = fs::read_to_string(&path).expect("docs/settings.md");
    let (before, rest) = page.split_once(BEGIN).expect("the begin mark");
    let (table, after) = rest.split_once(END).expect("the end mark");
    let expected = stoatwell_settings::markdown_table();
    if std::env::var_os("UPDATE_DOCS").is_some() {
        fs::write(&path, format!("{before}{BEGIN}{expected}{END}{after}"))
            .expect("docs/settings.md");
        return;
    }
    assert_eq!(
        table, expected,
        "UPDATE_DOCS=1 cargo test -p stoatwell-settings writes the page anew"
    );
}

fn collect(value: &Value, prefix: String, paths: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                let path =
                    if prefix.is_empty() { name.clone() } else { format!("{prefix}.{name}") };
                collect(value, path, paths);
            }
        }
        _ => paths.push(prefix),
    }
}
