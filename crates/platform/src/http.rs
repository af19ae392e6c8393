//! The HTTP implementation of [`Platform`].

use std::time::Duration;

use reqwest::RequestBuilder;
use reqwest::StatusCode;
use serde::de::DeserializeOwned;
use stoatwell_model::AttemptId;
use stoatwell_model::MinionId;
use stoatwell_model::WorkerId;

use crate::Platform;
use crate::call::CallError;
use crate::call::MinionCall;
use crate::call::MinionReply;
use crate::call::StoreCall;
use crate::call::StoreReply;
use crate::call::WorkerCall;
use crate::call::WorkerReply;
use crate::clients::Clients;

/// Header that identifies a request to a minion; the response repeats it.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Header that tells a minion for how many milliseconds its answer is still useful.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header that a minion sets when its response is something other than an answer.
pub const REPLY_HEADER: &str = "x-reply";

/// Timeouts of calls to the platform.
#[derive(Clone, Copy, Debug)]
pub struct CallTimeouts {
    /// For the table and the object store.
    pub store_ms: u64,
    /// For a worker, in addition to the time that the call asks it to wait.
    pub worker_ms: u64,
}

/// A [`Platform`] that is reached over HTTP.
#[derive(Debug)]
pub struct HttpPlatform {
    store_address: String,
    timeouts: CallTimeouts,
    clients: Clients,
}

impl HttpPlatform {
    /// Creates a client whose store is at this IP and port.
    pub fn new(store_address: impl Into<String>, timeouts: CallTimeouts) -> Self {
        Self { store_address: store_address.into(), timeouts, clients: Clients::default() }
    }

    async fn send(&self, address: &str, request: RequestBuilder) -> Result<RawResponse, CallError> {
        let result = receive(request).await;
        if let Err(CallError::NoAnswer(_)) = &result {
            self.clients.forget(address);
        }
        result
    }

    async fn post<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        body: &impl serde::Serialize,
        timeout_ms: u64,
    ) -> Result<T, CallError> {
        let request = self
            .clients
            .get(address)
            .map_err(|error| CallError::NotSent(error.to_string()))?
            .post(format!("http://{address}{path}"))
            .timeout(Duration::from_millis(timeout_ms))
            .json(body);
        let response = self.send(address, request).await?;
        serde_json::from_str(&response.body).map_err(|error| CallError::NoAnswer(error.to_string()))
    }

    async fn call_minion(
        &self,
        address: &str,
        path: &str,
        attempt: AttemptId,
        deadline_ms: u64,
        body: String,
    ) -> Result<MinionReply, CallError> {
        let request = self
            .clients
            .get(address)
            .map_err(|error| CallError::NotSent(error.to_string()))?
            .post(format!("http://{address}{path}"))
            .timeout(Duration::from_millis(deadline_ms))
            .header(ATTEMPT_HEADER, attempt.to_string())
            .header(DEADLINE_HEADER, deadline_ms)
            .body(body);
        let response = self.send(address, request).await?;
        // A response with another attempt id is late or belongs to another
        // request; returning it would give a caller the answer to someone
        // else's request.
        if response.attempt.as_deref() != Some(attempt.to_string().as_str()) {
            self.clients.forget(address);
            return Err(CallError::NoAnswer("the answer names another request".to_owned()));
        }
        Ok(match response.reply.as_deref() {
            None => MinionReply::Answer { body: response.body },
            Some("busy") => MinionReply::Busy,
            Some("never-started") => MinionReply::NeverStarted,
            Some("running") => MinionReply::Running,
            Some(_) => MinionReply::Failed { reason: response.body },
        })
    }
}

impl Platform for HttpPlatform {
    async fn store(&self, call: StoreCall) -> Result<StoreReply, CallError> {
        self.post(&self.store_address, "/store", &call, self.timeouts.store_ms).await
    }

    async fn worker(
        &self,
        address: &str,
        worker: &WorkerId,
        call: WorkerCall,
    ) -> Result<WorkerReply, CallError> {
        let wait_ms = match &call {
            WorkerCall::Renew { wait_ms, .. } => *wait_ms,
            _ => 0,
        };
        let timeout_ms = wait_ms + self.timeouts.worker_ms;
        self.post(address, &format!("/workers/{worker}"), &call, timeout_ms).await
    }

    async fn minion(
        &self,
        address: &str,
        minion: &MinionId,
        call: MinionCall,
    ) -> Result<MinionReply, CallError> {
        match call {
            MinionCall::Ask { attempt, deadline_ms, body } => {
                let path = format!("/minions/{minion}/requests");
                self.call_minion(address, &path, attempt, deadline_ms, body).await
            }
            MinionCall::Seal { attempt } => {
                let path = format!("/minions/{minion}/seal");
                self.call_minion(address, &path, attempt, self.timeouts.worker_ms, String::new())
                    .await
            }
        }
    }
}

/// Body and relevant headers of a response, not yet parsed.
struct RawResponse {
    body: String,
    attempt: Option<String>,
    reply: Option<String>,
}

async fn receive(request: RequestBuilder) -> Result<RawResponse, CallError> {
    let response = request.send().await.map_err(|error| classify(&error))?;
    let status = response.status();
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let attempt = header(ATTEMPT_HEADER);
    let reply = header(REPLY_HEADER);
    let body = response.text().await.map_err(|error| classify(&error))?;
    if status == StatusCode::SERVICE_UNAVAILABLE {
        return Err(CallError::Refused(body));
    }
    if !status.is_success() {
        return Err(CallError::NoAnswer(format!("{status}: {body}")));
    }
    Ok(RawResponse { body, attempt, reply })
}

/// Maps an error to [`CallError::NotSent`] only if no connection was made; every other
/// error leaves open whether the request was sent.
fn classify(error: &reqwest::Error) -> CallError {
    if error.is_connect() {
        return CallError::NotSent(error.to_string());
    }
    CallError::NoAnswer(error.to_string())
}
