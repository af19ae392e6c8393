//! `docs/metrics.md` lists exactly the metrics that the daemon exports.

use std::fs;

use stoatwelld::metrics::COUNTERS;
use stoatwelld::metrics::GAUGES;

/// An alert on a metric that is documented but not exported would never fire.
#[test]
fn page_lists_every_metric() {
    let path = format!("{}/../../docs/metrics.md", env!("CARGO_MANIFEST_DIR"));
    let page = fs::read_to_string(path).expect("docs/metrics.md");
    let listed: Vec<&str> = page.lines().filter(|line| line.starts_with("| `")).collect();
    let mut expected = Vec::new();
    for (kind, metrics) in [("gauge", GAUGES), ("counter", COUNTERS)] {
        for (name, help) in metrics {
            expected.push(format!("| `{name}` | {kind} | {help} |"));
        }
    }
    assert_eq!(listed, expected);
}
