//! `docs/metrics.md` lists what the daemon exports, and nothing else.

use std::fs;

use stoatwelld::metrics::COUNTERS;
use stoatwelld::metrics::GAUGES;

/// Somebody builds an alert from the page; a name that does not exist would
/// never fire.
#[test]
fn page_lists_every_metric() {
    let path = format!("{}/../../docs/metrics.md", env!("CARGO_MANIFEST_DIR"));
    let page = fs::read_to_string(path).expect("docs/metrics.md");
    let listed: Vec<&str> = page.lines().filter(|line| line.starts_with("| `")).collect();
    let mut expected = Vec::new();
    for (kind, metrics) in [("gauge", GAUGES), ("counter", COUNTERS)] {
        for (name, meaning) in metrics {
            expected.push(format!("| `{name}` | {kind} | {meaning} |"));
        }
    }
    assert_eq!(listed, expected);
}
