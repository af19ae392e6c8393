//! A load balancer as the platform has it: it probes the readiness of each instance
//! and distributes calls over the ready ones in round-robin order.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use reqwest::Client;
use serde_json::Value;

const PROBE_INTERVAL: Duration = Duration::from_millis(100);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A load balancer over entry instances, which start out as ready.
#[derive(Debug)]
pub(crate) struct Balancer {
    http: Client,
    addresses: Vec<String>,
    ready: Mutex<Vec<String>>,
    next_index: AtomicUsize,
}

/// The result of one call.
#[derive(Clone, Debug)]
pub(crate) enum CallResult {
    /// The body of the response, whatever its status.
    Answer(Value),
    /// The connection broke, or no complete response came within the timeout.
    Cut(String),
    /// No instance was ready or accepted a connection.
    Nowhere,
}

impl Balancer {
    pub(crate) fn new(addresses: &str) -> Result<Self, String> {
        let http = Client::builder().no_proxy().timeout(CALL_TIMEOUT).build();
        let addresses: Vec<String> = addresses.split(',').map(str::to_owned).collect();
        Ok(Self {
            http: http.map_err(|error| error.to_string())?,
            ready: Mutex::new(addresses.clone()),
            addresses,
            next_index: AtomicUsize::new(0),
        })
    }

    /// Probes all instances in a loop; never returns.
    pub(crate) async fn probe(&self) {
        loop {
            let mut ready = Vec::new();
            for address in &self.addresses {
                let probe =
                    self.http.get(format!("http://{address}/readyz")).timeout(PROBE_TIMEOUT);
                if probe.send().await.is_ok_and(|response| response.status().is_success()) {
                    ready.push(address.clone());
                }
            }
            *self.ready.lock().unwrap_or_else(PoisonError::into_inner) = ready;
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }

    /// Submits work to the next ready instance. Tries another one only if no
    /// connection could be established.
    pub(crate) async fn submit(&self, key: &str, body: &Value, wait_ms: u64) -> CallResult {
        for _ in 0..self.addresses.len() * 2 {
            let Some(address) = self.next_ready() else {
                tokio::time::sleep(PROBE_INTERVAL).await;
                continue;
            };
            let url = format!("http://{address}/v1/jobs?wait_ms={wait_ms}");
            let result = self.http.post(url).header("idempotency-key", key).json(body).send().await;
            match result {
                Ok(response) => {
                    return match response.json().await {
                        Ok(value) => CallResult::Answer(value),
                        Err(error) => CallResult::Cut(error.to_string()),
                    };
                }
                Err(error) if error.is_connect() => {}
                Err(error) => return CallResult::Cut(error.to_string()),
            }
        }
        CallResult::Nowhere
    }

    /// Waits for the outcome of a job that an instance has accepted.
    pub(crate) async fn wait(&self, job: &str, wait_ms: u64) -> CallResult {
        let Some(address) = self.next_ready() else {
            return CallResult::Nowhere;
        };
        let url = format!("http://{address}/v1/jobs/{job}?wait_ms={wait_ms}");
        match self.http.get(url).send().await {
            Ok(response) => match response.json().await {
                Ok(value) => CallResult::Answer(value),
                Err(error) => CallResult::Cut(error.to_string()),
            },
            Err(error) => CallResult::Cut(error.to_string()),
        }
    }

    fn next_ready(&self) -> Option<String> {
        let ready = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
        if ready.is_empty() {
            return None;
        }
        let next_index = self.next_index.fetch_add(1, Ordering::Relaxed);
        Some(ready[next_index % ready.len()].clone())
    }
}
