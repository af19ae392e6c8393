//! HTTP clients, one per address.
//!
//! A connection can stall forever while new ones work, because a device between
//! the two ends lost its state; the only symptom is that responses stop. So
//! after a call without a response the whole client of that address is dropped
//! with all its connections, and the next call connects again.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use reqwest::Client;

/// Many times the round trip between the farthest regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longer than the interval between two calls to any address in regular use.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Enough for the calls that are usually in flight to one address.
const IDLE_CONNECTIONS_MAX: usize = 8;

/// HTTP clients by address (IP and port).
#[derive(Debug, Default)]
pub struct Clients {
    clients: Mutex<HashMap<String, Client>>,
}

impl Clients {
    /// Returns the client for this IP and port, created on first use.
    ///
    /// Fails if the client cannot be built.
    pub fn get(&self, address: &str) -> Result<Client, reqwest::Error> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(address) {
            return Ok(client.clone());
        }
        let client = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(IDLE_CONNECTIONS_MAX)
            .tcp_nodelay(true)
            .no_proxy()
            .build()?;
        clients.insert(address.to_owned(), client.clone());
        Ok(client)
    }

    /// Drops the client of an address with its pooled connections.
    pub fn forget(&self, address: &str) {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner).remove(address);
    }
}
