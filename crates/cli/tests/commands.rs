//! Output and exit statuses of the program, run against a daemon.

use std::process::Command;
use std::process::Output;
use std::time::Duration;

use serde_json::Value;
use stoatwell_model::RegionName;
use stoatwell_model::Resources;
use stoatwell_model::ZoneName;
use stoatwell_standin::Config;
use stoatwell_standin::Standin;
use stoatwell_standin::config::WorkerGroup;
use stoatwelld::Daemon;

const POLL_ATTEMPTS: u32 = 200;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

async fn run(address: &str, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stoatwell"));
    command.env_remove("STOATWELL_ADDRESS").env_remove("STOATWELL_TOKEN");
    command.arg("--address").arg(address).args(args);
    let output = tokio::task::spawn_blocking(move || command.output());
    output.await.expect("the waiting thread does not panic").expect("the program runs")
}

fn status(output: &Output) -> Option<i32> {
    output.status.code()
}

fn text(output: &Output) -> String {
    format!(
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

/// A script relies on the exit status; a wrong one would make it continue after work
/// that did not run.
#[tokio::test(flavor = "multi_thread")]
async fn exit_status_reflects_the_outcome() {
    let group = WorkerGroup {
        prefix: "w".to_owned(),
        count: 1,
        per_rack: 8,
        zone: ZoneName::new("zone-a"),
        region: RegionName::new("region-1"),
        capacity: Resources { cpu_millis: 16_000, memory_bytes: 1 << 36, accelerators: 0 },
        minion_group: None,
        minion_slots: 8,
        minion_connections: 64,
    };
    let standin = Standin::start(Config { workers: vec![group], ..Config::default() })
        .await
        .expect("the stand-in starts");
    let mut settings = stoatwell_settings::example("cli");
    settings.platform.store_address = standin.address;
    settings.platform.instances_interval_ms = 100;
    let daemon = Daemon::start(settings).await.expect("the daemon starts");
    let address = daemon.http_address.to_string();
    let example = format!("{}/../../examples/bluebonnet.json", env!("CARGO_MANIFEST_DIR"));

    let applied = run(&address, &["entry", "apply", &example]).await;
    assert_eq!(status(&applied), Some(0), "{}", text(&applied));
    assert_eq!(
        status(&run(&address, &["target", "start", "w1", "--owner", "bluebonnet"]).await),
        Some(0)
    );
    let listed = run(&address, &["entry", "list", "--output", "json"]).await;
    let value: Value = serde_json::from_slice(&listed.stdout).expect("the output is JSON");
    assert_eq!(value["entries"].as_array().map(Vec::len), Some(4));

    let body = r#"{"run_ms":20,"answer":"costed"}"#;
    let submit = ["job", "submit", "menu-costing", "--body", body, "--wait"];
    let mut done = run(&address, &submit).await;
    for _ in 0..POLL_ATTEMPTS {
        // Submissions are rejected with code 7005 (not ready) until the daemon holds the worker.
        if !text(&done).contains("7005") {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
        done = run(&address, &submit).await;
    }
    assert_eq!(status(&done), Some(0), "{}", text(&done));
    assert!(text(&done).contains("costed"));
    let failing = r#"{"run_ms":1,"fail":"broken"}"#;
    let failed =
        run(&address, &["job", "submit", "driver-route-batch", "--body", failing, "--wait"]).await;
    assert_eq!(status(&failed), Some(4), "{}", text(&failed));
    let long = r#"{"run_ms":60000}"#;
    let open = ["job", "submit", "menu-costing", "--body", long, "--wait", "--timeout-ms", "200"];
    assert_eq!(status(&run(&address, &open).await), Some(7));

    let refused = run(&address, &["job", "submit", "nothing"]).await;
    assert_eq!(status(&refused), Some(1));
    assert!(
        text(&refused).contains("2003") && text(&refused).contains("hint"),
        "{}",
        text(&refused)
    );
    assert_eq!(status(&run(&address, &["job", "sumbit"]).await), Some(2));
    let dump = run(&address, &["dump"]).await;
    assert!(text(&dump).contains("1 held of 1"), "{}", text(&dump));
    drop(daemon);
    assert_eq!(status(&run("127.0.0.1:1", &["entry", "list"]).await), Some(3));
}
