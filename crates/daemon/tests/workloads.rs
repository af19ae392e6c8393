//! The workloads of both users, end to end over sockets, and the same under faults.

mod cell;

use reqwest::Method;
use serde_json::Value;
use serde_json::json;
use stoatwell_standin::Faults;

use crate::cell::Cell;

#[tokio::test(flavor = "multi_thread")]
async fn nyaysetu_workloads_run() {
    let cell = Cell::start(&["zone-a", "zone-b"]).await;
    cell.apply_example("nyaysetu", "nyaysetu").await;
    let body = json!({ "run_ms": 50, "answer": "part" }).to_string();
    let packet = json!({ "entry": "sign-interpretation-packet", "tasks": 3, "body": body });
    let view = cell.run_to_end(0, "packet-1", &packet).await;
    assert_eq!(view["outcome"]["done"]["answer"], "3 tasks done", "{view}");
    let bundle = json!({ "entry": "cause-list-bundle", "tasks": 9, "body": body });
    assert_eq!(cell.run_to_end(1, "bundle-1", &bundle).await["state"], "done");
    let booking = json!({ "entry": "booking-confirmation", "body": "{\"ramp\": 4}" });
    let view = cell.run_to_end(0, "booking-1", &booking).await;
    assert_eq!(view["outcome"]["done"]["answer"], "answer to {\"ramp\": 4}", "{view}");
}

#[tokio::test(flavor = "multi_thread")]
async fn bluebonnet_workloads_run() {
    let cell = Cell::start_with_minions(&["zone-a", "zone-b"], "order-desk", |_| {}).await;
    cell.apply_example("bluebonnet", "bluebonnet").await;
    let body = json!({ "run_ms": 50, "answer": "costed" }).to_string();
    let costing = json!({ "entry": "menu-costing", "tasks": 7, "body": body });
    assert_eq!(cell.run_to_end(0, "costing-1", &costing).await["state"], "done");
    let routes = json!({ "entry": "driver-route-batch", "body": body });
    assert_eq!(
        cell.run_to_end(1, "routes-1", &routes).await["outcome"]["done"]["answer"],
        "costed"
    );
    let headcount = json!({ "entry": "headcount-confirmation", "body": "{\"floor\": 12}" });
    let view = cell.run_to_end(0, "headcount-1", &headcount).await;
    assert_eq!(view["outcome"]["done"]["answer"], "answer to {\"floor\": 12}", "{view}");
    // The minions of the other user are not in this cell, which the error says.
    cell.apply_example("nyaysetu", "bluebonnet").await;
    let booking = json!({ "entry": "booking-confirmation", "body": "{}" });
    let (status, refusal) = cell.submit(0, "booking-1", &booking, 0).await;
    assert_eq!((status, refusal["code"].as_u64()), (503, Some(4005)));
}

/// Guards against double bookings: a caller whose connection broke sends the same
/// booking again to another entry instance. Both get the same answer, and the minion
/// handles the booking once.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_booking_runs_once() {
    let cell = Cell::start(&["zone-a", "zone-b"]).await;
    cell.apply_example("nyaysetu", "nyaysetu").await;
    let booking = json!({ "entry": "booking-confirmation", "body": "{\"work_ms\": 100}" });
    let (first, second) = tokio::join!(
        cell.submit(0, "booking-7", &booking, 5_000),
        cell.submit(1, "booking-7", &booking, 5_000),
    );
    assert_eq!(first.1["outcome"], second.1["outcome"], "both callers get the same answer");
    assert_eq!(cell.run_to_end(1, "booking-7", &booking).await["state"], "done");
    let handled: u64 = cell.standin.record().requests.values().sum();
    assert_eq!(handled, 1, "the booking reached a minion once");
}

/// Guards against mixed-up and truncated answers: answers come late and in another
/// order than the requests, some callers disconnect midway, and all share a few
/// connections. With another booking's answer, a clerk would prepare the wrong hearing.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_get_their_own_complete_answers() {
    const REQUESTS: usize = 120;
    const BODY_BYTES: usize = 20_000;
    let cell = Cell::start(&["zone-a", "zone-b"]).await;
    cell.apply_example("nyaysetu", "nyaysetu").await;
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
        // Every seventh caller disconnects after 8 ms.
        let disconnects = number % 7 == 3;
        let request = if disconnects {
            request.timeout(std::time::Duration::from_millis(8))
        } else {
            request
        };
        calls.push(tokio::spawn(async move {
            let response = match request.send().await {
                Ok(response) => response,
                Err(error) => {
                    assert!(disconnects, "only callers that disconnect get no answer: {error}");
                    return 0;
                }
            };
            let view: Value = match response.json().await {
                Ok(view) => view,
                Err(_disconnected) if disconnects => return 0,
                Err(error) => panic!("an answer was truncated: {error}"),
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
        answered += call.await.expect("no caller panics");
    }
    assert!(answered >= REQUESTS - REQUESTS / 6, "only {answered} were answered");
    for (minion, peak) in cell.standin.record().peak_busy {
        assert!(peak <= 8, "{minion} handled {peak} requests at once");
    }
}

/// A device between the daemon and the platform drops the state of established
/// connections: they stay open, but no data passes. Without timeouts callers would
/// wait forever, although a new connection would work at once.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_are_replaced() {
    let cell = Cell::start_with_settings(&["zone-a"], |settings| {
        settings.platform.store_timeout_ms = 300;
        settings.platform.worker_timeout_ms = 300;
    })
    .await;
    cell.apply_example("nyaysetu", "nyaysetu").await;
    let body = json!({ "run_ms": 10 }).to_string();
    let bundle = json!({ "entry": "cause-list-bundle", "tasks": 2, "body": body });
    assert_eq!(cell.run_to_end(0, "before", &bundle).await["state"], "done");
    cell.standin.set_faults(Faults { silence_connections: true, ..Faults::default() });
    let mut view = cell.run_to_end(0, "after-0", &bundle).await;
    for retry in 1..20 {
        if view["state"] == "done" {
            break;
        }
        // Rejected with an error code while the old connections time out.
        assert!(view["code"].is_u64(), "{view}");
        view = cell.run_to_end(0, &format!("after-{retry}"), &bundle).await;
    }
    assert_eq!(view["state"], "done", "{view}");
}

/// While the store is down, work that must be recorded is rejected at once with an
/// error code, and idempotent requests are still served.
#[tokio::test(flavor = "multi_thread")]
async fn store_outage_is_rejected_with_an_error_code() {
    let cell = Cell::start(&["zone-a"]).await;
    cell.apply_example("nyaysetu", "nyaysetu").await;
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
    let view = cell.run_to_end(0, "booking-after", &booking).await;
    assert!(view["state"] == "done" || view["code"] == 7001, "{view}");
    let handled: u64 = cell.standin.record().requests.values().sum();
    let done = u64::from(view["state"] == "done");
    assert_eq!(handled, 1 + done, "no rejected booking reached a minion");
}
