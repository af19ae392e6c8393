//! The platform over HTTP.

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

/// Header that names a request to a minion, on the way there and back.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Header that tells a minion how long the answer is of use.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header by which a minion marks an answer that is not an ordinary one.
pub const REPLY_HEADER: &str = "x-reply";

/// Time limits of calls to the platform.
#[derive(Clone, Copy, Debug)]
pub struct CallTimeouts {
    /// For the table and the object store.
    pub store_ms: u64,
    /// For a worker, beyond the time it was asked to wait.
    pub worker_ms: u64,
}

/// The platform reached over HTTP.
#[derive(Debug)]
pub struct HttpPlatform {
    store_address: String,
    timeouts: CallTimeouts,
    clients: Clients,
}

impl HttpPlatform {
    /// A client that finds the store at this IP and port.
    pub fn new(store_address: impl Into<String>, timeouts: CallTimeouts) -> Self {
        Self { store_address: store_address.into(), timeouts, clients: Clients::default() }
    }

    async fn send(&self, address: &str, request: RequestBuilder) -> Result<Answer, CallError> {
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
        let answer = self.send(address, request).await?;
        serde_json::from_str(&answer.body).map_err(|error| CallError::NoAnswer(error.to_string()))
    }

    async fn ask_minion(
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
        let answer = self.send(address, request).await?;
        // An answer that names another request came late or crossed; handing
        // it on would give a caller somebody else's answer.
        if answer.attempt.as_deref() != Some(attempt.to_string().as_str()) {
            self.clients.forget(address);
            return Err(CallError::NoAnswer("the answer names another request".to_owned()));
        }
        Ok(match answer.reply.as_deref() {
            None => MinionReply::Answer { body: answer.body },
            Some("busy") => MinionReply::Busy,
            Some("never-started") => MinionReply::NeverStarted,
            Some("running") => MinionReply::Running,
            Some(_) => MinionReply::Failed { reason: answer.body },
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
                self.ask_minion(address, &path, attempt, deadline_ms, body).await
            }
            MinionCall::Seal { attempt } => {
                let path = format!("/minions/{minion}/seal");
                self.ask_minion(address, &path, attempt, self.timeouts.worker_ms, String::new())
                    .await
            }
        }
    }
}

/// What came back, before it is understood.
struct Answer {
    body: String,
    attempt: Option<String>,
    reply: Option<String>,
}

async fn receive(request: RequestBuilder) -> Result<Answer, CallError> {
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
    Ok(Answer { body, attempt, reply })
}

/// Only a connection that was never made proves that nothing was sent.
fn classify(error: &reqwest::Error) -> CallError {
    if error.is_connect() {
        return CallError::NotSent(error.to_string());
    }
    CallError::NoAnswer(error.to_string())
}
