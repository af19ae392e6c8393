//! A balancer as the platform has it: it asks each instance whether it is
//! ready and sends calls to the ready ones in turn.

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

/// A balancer over entry instances.
#[derive(Debug)]
pub(crate) struct Balancer {
    http: Client,
    addresses: Vec<String>,
    ready: Mutex<Vec<String>>,
    turn: AtomicUsize,
}

/// What became of one call.
#[derive(Clone, Debug)]
pub(crate) enum Called {
    /// An answer.
    Answer(Value),
    /// The connection broke or the answer never came.
    Cut(String),
    /// No instance took it.
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
            turn: AtomicUsize::new(0),
        })
    }

    /// Keeps asking the instances; never ends by itself.
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

    /// Submits work at the next ready instance; another one only where no
    /// connection was made.
    pub(crate) async fn submit(&self, key: &str, body: &Value, wait_ms: u64) -> Called {
        for _ in 0..self.addresses.len() * 2 {
            let Some(address) = self.next() else {
                tokio::time::sleep(PROBE_INTERVAL).await;
                continue;
            };
            let url = format!("http://{address}/v1/jobs?wait_ms={wait_ms}");
            let sent = self.http.post(url).header("idempotency-key", key).json(body).send().await;
            match sent {
                Ok(response) => {
                    return match response.json().await {
                        Ok(value) => Called::Answer(value),
                        Err(error) => Called::Cut(error.to_string()),
                    };
                }
                Err(error) if error.is_connect() => {}
                Err(error) => return Called::Cut(error.to_string()),
            }
        }
        Called::Nowhere
    }

    /// Waits for the outcome of a job that was accepted.
    pub(crate) async fn wait(&self, job: &str, wait_ms: u64) -> Called {
        let Some(address) = self.next() else {
            return Called::Nowhere;
        };
        let url = format!("http://{address}/v1/jobs/{job}?wait_ms={wait_ms}");
        match self.http.get(url).send().await {
            Ok(response) => match response.json().await {
                Ok(value) => Called::Answer(value),
                Err(error) => Called::Cut(error.to_string()),
            },
            Err(error) => Called::Cut(error.to_string()),
        }
    }

    fn next(&self) -> Option<String> {
        let ready = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
        if ready.is_empty() {
            return None;
        }
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        Some(ready[turn % ready.len()].clone())
    }
}
