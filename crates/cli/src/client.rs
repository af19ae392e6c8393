//! Calls to a daemon.

use std::env;
use std::time::Duration;

use clap::ArgMatches;
use reqwest::Method;
use reqwest::RequestBuilder;
use serde_json::Value;
use stoatwell_model::Failure;

use crate::args::DEFAULT_ADDRESS;
use crate::exit::CliError;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Talks to the first daemon that answers.
#[derive(Debug)]
pub(crate) struct Client {
    http: reqwest::Client,
    addresses: Vec<String>,
    token: Option<String>,
}

/// One call.
#[derive(Debug)]
pub(crate) struct Call<'a> {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'a str, String)>,
    pub(crate) body: Option<String>,
    pub(crate) wait_ms: u64,
}

impl Call<'_> {
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self::new(Method::GET, path)
    }

    pub(crate) fn new(method: Method, path: impl Into<String>) -> Self {
        Self { method, path: path.into(), headers: Vec::new(), body: None, wait_ms: 0 }
    }
}

impl Client {
    pub(crate) fn new(matches: &ArgMatches) -> Result<Self, CliError> {
        let given = |name: &str, variable: &str| {
            let argument = matches.get_one::<String>(name).cloned();
            argument.or_else(|| env::var(variable).ok())
        };
        let addresses =
            given("address", "STOATWELL_ADDRESS").unwrap_or_else(|| DEFAULT_ADDRESS.to_owned());
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .no_proxy()
            .build()
            .map_err(|error| CliError::Local(error.to_string()))?;
        Ok(Self {
            http,
            addresses: addresses.split(',').map(|address| address.trim().to_owned()).collect(),
            token: given("token", "STOATWELL_TOKEN"),
        })
    }

    pub(crate) fn addresses(&self) -> &[String] {
        &self.addresses
    }

    /// Calls the first daemon that can be connected to. One that took the call
    /// and did not answer is not replaced by another: the call may have taken
    /// effect.
    pub(crate) async fn call(&self, call: &Call<'_>) -> Result<Value, CliError> {
        let mut last = String::new();
        for address in &self.addresses {
            match self.request(address, call).send().await {
                Ok(response) => return read(response).await,
                Err(error) if error.is_connect() => last = format!("{address}: {error}"),
                Err(error) => return Err(CliError::Unreachable(format!("{address}: {error}"))),
            }
        }
        Err(CliError::Unreachable(last))
    }

    /// Calls one daemon.
    pub(crate) async fn call_at(&self, address: &str, call: &Call<'_>) -> Result<Value, CliError> {
        match self.request(address, call).send().await {
            Ok(response) => read(response).await,
            Err(error) => Err(CliError::Unreachable(format!("{address}: {error}"))),
        }
    }

    fn request(&self, address: &str, call: &Call<'_>) -> RequestBuilder {
        let url = format!("http://{address}{}", call.path);
        let limit = CALL_TIMEOUT + Duration::from_millis(call.wait_ms);
        let mut request = self.http.request(call.method.clone(), url).timeout(limit);
        if let Some(token) = &self.token {
            request = request.bearer_auth(token);
        }
        for (name, value) in &call.headers {
            request = request.header(*name, value);
        }
        if let Some(body) = &call.body {
            request = request.header("content-type", "application/json").body(body.clone());
        }
        request
    }
}

/// A job's view is an answer whatever its status; other errors are refusals.
async fn read(response: reqwest::Response) -> Result<Value, CliError> {
    let status = response.status();
    let text = response.text().await.map_err(|error| CliError::Unreachable(error.to_string()))?;
    let value: Value = serde_json::from_str(&text).unwrap_or(Value::String(text));
    let is_job = value.get("job").is_some() && value.get("state").is_some();
    if status.is_success() || is_job {
        return Ok(value);
    }
    match serde_json::from_value::<Failure>(value.clone()) {
        Ok(failure) => Err(CliError::Refused(Box::new(failure))),
        Err(_unreadable) => Err(CliError::Local(format!("{status}: {value}"))),
    }
}
