//! Both users' workloads end to end over sockets.

mod cell;

use reqwest::Method;
use serde_json::Value;
use serde_json::json;
use stoatwell_standin::Faults;

use crate::cell::Cell;

#[tokio::test(flavor = "multi_thread")]
async fn nyaysetu_workloads_run() {
    let cell = Cell::start(&["zone-a", "zone-b"]).await;
    cell.load("nyaysetu", "nyaysetu").await;
    let body = json!({ "run_ms": 50, "answer": "part" }).to_string();
    let packet = json!({ "entry": "sign-interpretation-packet", "tasks": 3, "body": body });
    let view = cell.finish(0, "packet-1", &packet).await;
    assert_eq!(view["outcome"]["done"]["answer"], "3 tasks done", "{view}");
    let bundle = json!({ "entry": "cause-list-bundle", "tasks": 9, "body": body });
    assert_eq!(cell.finish(1, "bundle-1", &bundle).await["state"], "done");
    let booking = json!({ "entry": "booking-confirmation", "body": "{\"ramp\": 4}" });
    let view = cell.finish(0, "booking-1", &booking).await;
    assert_eq!(view["outcome"]["done"]["answer"], "answer to {\"ramp\": 4}", "{view}");
}

#[tokio::test(flavor = "multi_thread")]
async fn bluebonnet_workloads_run() {
    let cell = Cell::start_group(&["zone-a", "zone-b"], "order-desk", |_| {}).await;
    cell.load("bluebonnet", "bluebonnet").await;
    let body = json!({ "run_ms": 50, "answer": "costed" }).to_string();
    let costing = json!({ "entry": "menu-costing", "tasks": 7, "body": body });
    assert_eq!(cell.finish(0, "costing-1", &costing).await["state"], "done");
    let routes = json!({ "entry": "driver-route-batch", "body": body });
    assert_eq!(cell.finish(1, "routes-1", &routes).await["outcome"]["done"]["answer"], "costed");
    let headcount = json!({ "entry": "headcount-confirmation", "body": "{\"floor\": 12}" });
    let view = cell.finish(0, "headcount-1", &headcount).await;
    assert_eq!(view["outcome"]["done"]["answer"], "answer to {\"floor\": 12}", "{view}");
    // The other half's minions are not in this cell, and that is told.
    cell.load("nyaysetu", "bluebonnet").await;
    let booking = json!({ "entry": "booking-confirmation", "body": "{}" });
    let (status, refusal) = cell.submit(0, "booking-1", &booking, 0).await;
    assert_eq!((status, refusal["code"].as_u64()), (503, Some(4005)));
}

/// A caller's connection breaks and the caller sends the booking again, to
/// another entry instance. A doubled booking costs the registry's trust.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_booking_runs_once() {
    let cell = Cell::start(&["zone-a", "zone-b"]).await;
    cell.load("nyaysetu", "nyaysetu").await;
    let booking = json!({ "entry": "booking-confirmation", "body": "{\"work_ms\": 100}" });
    let (first, second) = tokio::join!(
        cell.submit(0, "booking-7", &booking, 5_000),
        cell.submit(1, "booking-7", &booking, 5_000),
    );
    assert_eq!(first.1["outcome"], second.1["outcome"], "both callers get the same answer");
    assert_eq!(cell.finish(1, "booking-7", &booking).await["state"], "done");
    let begun: u64 = cell.standin.record().requests.values().sum();
    assert_eq!(begun, 1, "one minion worked on it once");
}

/// Answers come late and in another order than the requests, some callers give
/// up midway, and all share a few connections. A clerk who got the answer to
/// somebody else's booking would prepare the wrong hearing.
#[tokio::test(flavor = "multi_thread")]
async fn everybody_gets_the_whole_answer_to_the_own_request() {
    const REQUESTS: usize = 120;
    const BODY_BYTES: usize = 20_000;
    let cell = Cell::start(&["zone-a", "zone-b"]).await;
    cell.load("nyaysetu", "nyaysetu").await;
    let mut calls = Vec::new();
    for number in 0..REQUESTS {
        let marker = format!("marker-{number}-").repeat(BODY_BYTES / 12);
        let body = json!({ "work_ms": (REQUESTS - number) % 40, "marker": marker }).to_string();
        let submission = json!({ "entry": "booking-confirmation", "body": body.clone() });
        let request = cell
            .http
            .post(cell.url(number % 2, "/v1/jobs?wait_ms=8000"))
            .header("idempotency-key", format!("cross-{number}"))
            .json(&submission);
        // Every seventh caller hangs up after a few milliseconds.
        let gives_up = number % 7 == 3;
        let request =
            if gives_up { request.timeout(std::time::Duration::from_millis(8)) } else { request };
        calls.push(tokio::spawn(async move {
            let response = match request.send().await {
                Ok(response) => response,
                Err(error) => {
                    assert!(gives_up, "only those who hang up get no answer: {error}");
                    return 0;
                }
            };
            let view: Value = match response.json().await {
                Ok(view) => view,
                Err(_hung_up) if gives_up => return 0,
                Err(error) => panic!("an answer was cut: {error}"),
            };
            assert_eq!(
                view["outcome"]["done"]["answer"],
                format!("answer to {body}"),
                "request {number}"
            );
            1
        }));
    }
    let mut answered = 0;
    for call in calls {
        answered += call.await.expect("no caller fails");
    }
    assert!(answered >= REQUESTS - REQUESTS / 6, "only {answered} were answered");
    for (minion, peak) in cell.standin.record().peak_busy {
        assert!(peak <= 8, "{minion} worked on {peak} requests at once");
    }
}

/// Something between the daemon and the platform forgets the open connections;
/// they stay open and silent. Callers would wait for ever, though a new
/// connection would work at once.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_are_replaced() {
    let cell = Cell::start_with(&["zone-a"], |settings| {
        settings.platform.store_timeout_ms = 300;
        settings.platform.worker_timeout_ms = 300;
    })
    .await;
    cell.load("nyaysetu", "nyaysetu").await;
    let body = json!({ "run_ms": 10 }).to_string();
    let bundle = json!({ "entry": "cause-list-bundle", "tasks": 2, "body": body });
    assert_eq!(cell.finish(0, "before", &bundle).await["state"], "done");
    cell.standin.set_faults(Faults { silence_connections: true, ..Faults::default() });
    let mut view = cell.finish(0, "after-0", &bundle).await;
    for again in 1..20 {
        if view["state"] == "done" {
            break;
        }
        // Refused with a number while the old connections were being given up.
        assert!(view["code"].is_u64(), "{view}");
        view = cell.finish(0, &format!("after-{again}"), &bundle).await;
    }
    assert_eq!(view["state"], "done", "{view}");
}

/// The store is down for a while. Work that has to be recorded is refused at
/// once with a number, and requests that may be repeated are still answered.
#[tokio::test(flavor = "multi_thread")]
async fn store_outage_is_refused_with_a_number() {
    let cell = Cell::start(&["zone-a"]).await;
    cell.load("nyaysetu", "nyaysetu").await;
    let entry = json!({ "kind": "work", "name": "lookup", "owner": "nyaysetu", "class": "request",
        "execution": "idempotent", "minions": "sahay" });
    cell.call(0, Method::PUT, "/v1/entries/work/lookup", Some(&entry)).await;
    cell.standin.set_faults(Faults { store_down: true, ..Faults::default() });
    let booking = json!({ "entry": "booking-confirmation", "body": "{}" });
    let mut codes = Vec::new();
    for number in 0..6 {
        let (_, refusal) = cell.submit(0, &format!("booking-{number}"), &booking, 5_000).await;
        codes.push(refusal["code"].as_u64());
    }
    assert!(codes.iter().all(|code| *code == Some(7001)), "{codes:?}");
    let lookup = json!({ "entry": "lookup", "body": "{\"q\": 1}" });
    let (status, view) = cell.submit(0, "lookup-1", &lookup, 5_000).await;
    assert_eq!((status, &view["state"]), (200, &json!("done")));
    cell.standin.set_faults(Faults::default());
    let view = cell.finish(0, "booking-after", &booking).await;
    assert!(view["state"] == "done" || view["code"] == 7001, "{view}");
    let begun: u64 = cell.standin.record().requests.values().sum();
    let done = u64::from(view["state"] == "done");
    assert_eq!(begun, 1 + done, "what was refused was never begun");
}
