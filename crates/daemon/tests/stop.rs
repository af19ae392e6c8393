//! Graceful shutdown, of a daemon in the test's process and of the program when it
//! receives signals.

mod cell;

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use reqwest::Method;
use serde_json::Value;
use serde_json::json;

use crate::cell::Cell;

/// The platform replaces an entry instance while it serves requests and coordinates
/// a batch. No request may be cut, and another daemon takes the batch over without
/// running a task twice.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_cuts_no_request() {
    let mut cell = Cell::start(&["zone-a", "zone-a", "zone-b"]).await;
    cell.apply_example("nyaysetu", "nyaysetu").await;
    let body = json!({ "run_ms": 1500, "answer": "part" }).to_string();
    let bundle = json!({ "entry": "cause-list-bundle", "tasks": 6, "body": body });
    let (_, accepted) = cell.submit(0, "bundle-over-the-stop", &bundle, 0).await;
    assert_eq!(accepted["coordinator"], "daemon-0", "{accepted}");
    let mut calls = Vec::new();
    for number in 0..40 {
        let url = cell.url(0, "/v1/jobs?wait_ms=8000");
        let marker = format!("marker-{number}-");
        let submission = json!({ "entry": "booking-confirmation",
            "body": json!({ "work_ms": 200, "marker": marker }).to_string() });
        let request = cell
            .http
            .post(url)
            .header("idempotency-key", format!("stop-{number}"))
            .json(&submission);
        calls.push(tokio::spawn(async move {
            let response = request.send().await.expect("the request is not cut");
            let view: Value = response.json().await.expect("the answer is complete");
            (marker, view)
        }));
    }
    // Some requests are being served, some wait for their record to be written, and
    // some have yet to arrive.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let daemon = cell.daemons[0].take().expect("the daemon runs");
    daemon.stop().await;
    for call in calls {
        let (marker, view) = call.await.expect("no caller panics");
        let answer = view["outcome"]["done"]["answer"].as_str().unwrap_or_default();
        assert!(answer.contains(&marker), "{view}");
    }
    let job = accepted["job"].as_str().expect("a job");
    let mut view = accepted.clone();
    for _ in 0..100 {
        view = cell
            .call(1, Method::GET, &format!("/v1/jobs/{job}?wait_ms=1000"), None)
            .await
            .json()
            .await
            .expect("JSON");
        if view["state"] == "done" {
            break;
        }
    }
    assert_eq!(view["state"], "done", "the daemon that takes over completes the batch: {view}");
    let starts: u64 = cell.standin.record().starts.values().sum();
    assert_eq!(starts, 6, "the shutdown made no task run twice: {view}");
}

/// The load balancer sends requests for a while after the shutdown has started. The
/// daemon must fail its readiness check, or the balancer would go on sending, and
/// must forward those that arrive to another daemon.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_daemon_is_not_ready_and_hands_requests_on() {
    let mut cell = Cell::start(&["zone-a", "zone-a"]).await;
    cell.apply_example("nyaysetu", "nyaysetu").await;
    let slow =
        json!({ "entry": "booking-confirmation", "body": json!({ "work_ms": 1500 }).to_string() });
    let request = cell
        .http
        .post(cell.url(0, "/v1/jobs?wait_ms=8000"))
        .header("idempotency-key", "slow")
        .json(&slow);
    let in_flight =
        tokio::spawn(async move { request.send().await.expect("not cut").status().as_u16() });
    tokio::time::sleep(Duration::from_millis(200)).await;
    let daemon = cell.daemons[0].take().expect("the daemon runs");
    let stopping = tokio::spawn(daemon.stop());
    let mut ready = cell.call(0, Method::GET, "/readyz", None).await.status().as_u16();
    for _ in 0..50 {
        if ready == 503 {
            break;
        }
        ready = cell.call(0, Method::GET, "/readyz", None).await.status().as_u16();
    }
    assert_eq!(ready, 503);
    let booking = json!({ "entry": "booking-confirmation", "body": "{\"late\": true}" });
    let (status, view) = cell.submit(0, "late", &booking, 5_000).await;
    assert_eq!((status, &view["state"]), (200, &json!("done")), "{view}");
    assert_eq!(view["coordinator"], "daemon-1", "another daemon took the request");
    stopping.await.expect("the shutdown ends");
    assert_eq!(in_flight.await.expect("the caller is answered"), 200);
}

/// How often a condition is polled before the test continues without it.
const POLL_ATTEMPTS: u32 = 500;

/// A running `stoatwelld` process, its HTTP address and its settings file.
struct Program {
    child: Child,
    address: String,
    settings: PathBuf,
}

impl Program {
    fn start(cell: &Cell, name: &str) -> Self {
        let mut settings = stoatwell_settings::example(name);
        settings.platform.store_address = cell.standin.address;
        settings.platform.instances_interval_ms = 100;
        settings.stop.grace_ms = 60_000;
        let unique = format!("stoatwell-{name}-{}.json", std::process::id());
        let path = std::env::temp_dir().join(unique);
        fs::write(&path, serde_json::to_string(&settings).expect("JSON"))
            .expect("the settings can be written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_stoatwelld"))
            .arg("--settings")
            .arg(&path)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let lines = BufReader::new(child.stderr.take().expect("its log"));
        let (sender, receiver) = mpsc::channel();
        // Reads the log to its end: with a full pipe the program would block.
        thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                if let Some((_, rest)) = line.split_once("http_address=") {
                    let address = rest.split_whitespace().next().unwrap_or_default().to_owned();
                    sender.send(address).expect("the test waits for the address");
                }
            }
        });
        let address =
            receiver.recv_timeout(Duration::from_secs(30)).expect("the log names the HTTP address");
        Self { child, address, settings: path }
    }

    fn send_sigterm(&self) {
        let status = Command::new("kill").arg("-TERM").arg(self.child.id().to_string()).status();
        assert!(status.expect("kill runs").success());
    }

    async fn exit_status(mut self) -> Option<i32> {
        let status = tokio::task::spawn_blocking(move || {
            let status = self.child.wait().expect("the process ends");
            fs::remove_file(&self.settings).expect("the settings file can be removed");
            status.code()
        });
        status.await.expect("the waiting thread does not panic")
    }
}

/// The platform removes an instance with SIGTERM. A daemon that did not exit by
/// itself would be killed before it has handed its work over.
#[tokio::test(flavor = "multi_thread")]
async fn sigterm_ends_the_program_cleanly() {
    let cell = Cell::start(&["zone-a"]).await;
    let program = Program::start(&cell, "clean");
    program.send_sigterm();
    assert_eq!(program.exit_status().await, Some(0));
}

/// An operator who does not want to wait for the grace period sends a second signal.
#[tokio::test(flavor = "multi_thread")]
async fn second_signal_ends_the_program_at_once() {
    let cell = Cell::start(&["zone-a"]).await;
    cell.apply_example("nyaysetu", "nyaysetu").await;
    let program = Program::start(&cell, "forced");
    let url = format!("http://{}", program.address);
    let body = json!({ "work_ms": 60_000 }).to_string();
    let slow = json!({ "entry": "booking-confirmation", "deadline_ms": 60_000, "body": body });
    let http = cell.http.clone();
    let submit_url = format!("{url}/v1/jobs?wait_ms=60000");
    // Rejected until the program has read the catalogue and discovered the minions.
    let caller = tokio::spawn(async move {
        for number in 0..POLL_ATTEMPTS {
            let request =
                http.post(&submit_url).header("idempotency-key", format!("slow-{number}"));
            match request.json(&slow).send().await {
                Ok(_refused) => tokio::time::sleep(Duration::from_millis(50)).await,
                Err(_cut) => return,
            }
        }
    });
    for _ in 0..POLL_ATTEMPTS {
        if cell.standin.record().requests.values().sum::<u64>() > 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    program.send_sigterm();
    for _ in 0..POLL_ATTEMPTS {
        if cell
            .http
            .get(format!("{url}/readyz"))
            .send()
            .await
            .expect("the program still responds")
            .status()
            == 503
        {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    program.send_sigterm();
    assert_eq!(program.exit_status().await, Some(4));
    caller.await.expect("the caller sees the connection end");
}

/// Guards against an address in use that is reported without its setting and a remedy.
#[tokio::test(flavor = "multi_thread")]
async fn address_in_use_is_named_with_its_setting() {
    let cell = Cell::start(&["zone-a"]).await;
    let mut settings = stoatwell_settings::example("second");
    settings.listen.http_address = cell.daemons[0].as_ref().expect("the daemon runs").http_address;
    let error = stoatwelld::Daemon::start(settings).await.expect_err("the address is in use");
    assert!(error.to_string().starts_with("listen.http_address 127.0.0.1:"), "{error}");
}
