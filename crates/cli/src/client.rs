//! The HTTP client for a daemon.

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

/// Sends calls to the first daemon of the list that accepts a connection.
#[derive(Debug)]
pub(crate) struct Client {
    http: reqwest::Client,
    addresses: Vec<String>,
    token: Option<String>,
}

/// One HTTP request; `wait_ms` is added to its timeout.
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
        let argument_or_env = |name: &str, variable: &str| {
            let argument = matches.get_one::<String>(name).cloned();
            argument.or_else(|| env::var(variable).ok())
        };
        let addresses = argument_or_env("address", "STOATWELL_ADDRESS")
            .unwrap_or_else(|| DEFAULT_ADDRESS.to_owned());
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .no_proxy()
            .build()
            .map_err(|error| CliError::Local(error.to_string()))?;
        Ok(Self {
            http,
            addresses: addresses.split(',').map(|address| address.trim().to_owned()).collect(),
            token: argument_or_env("token", "STOATWELL_TOKEN"),
        })
    }

    pub(crate) fn addresses(&self) -> &[String] {
        &self.addresses
    }

    /// Sends the call to the first daemon that accepts a connection. If that daemon
    /// does not answer, no other is tried, as the call may have taken effect.
    pub(crate) async fn call(&self, call: &Call<'_>) -> Result<Value, CliError> {
        let mut last_error = String::new();
        for address in &self.addresses {
            match self.request(address, call).send().await {
                Ok(response) => return parse_response(response).await,
                Err(error) if error.is_connect() => last_error = format!("{address}: {error}"),
                Err(error) => return Err(CliError::Unreachable(format!("{address}: {error}"))),
            }
        }
        Err(CliError::Unreachable(last_error))
    }

    /// Sends the call to the daemon at `address` only.
    pub(crate) async fn call_at(&self, address: &str, call: &Call<'_>) -> Result<Value, CliError> {
        match self.request(address, call).send().await {
            Ok(response) => parse_response(response).await,
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

/// The body of a response. A job's view is a result whatever the status; other
/// bodies without a success status are errors.
async fn parse_response(response: reqwest::Response) -> Result<Value, CliError> {
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
