//! Authentication and authorisation by bearer tokens. Only hashes of tokens are kept.

use axum::http::HeaderMap;
use axum::http::header;
use stoatwell_customers::KeyHash;
use stoatwell_customers::bearer_key;
use stoatwell_engine::Caller;
use stoatwell_model::Code;
use stoatwell_model::Failure;
use stoatwell_platform::Platform;

use crate::api::ApiState;

/// Identifies the caller by the bearer token; everybody is an operator where
/// `security.open_access` is set.
pub(crate) fn authenticate<P: Platform>(
    state: &ApiState<P>,
    headers: &HeaderMap,
) -> Result<Caller, Failure> {
    if state.settings.security.open_access {
        return Ok(Caller::Operator);
    }
    let token = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let token = token.and_then(bearer_key).ok_or_else(|| Failure::new(Code::Unauthenticated))?;
    let hash = KeyHash::of(token);
    let matches_token = |known: &String| known.parse::<KeyHash>().is_ok_and(|known| known == hash);
    if state.settings.security.operator_token_sha256.iter().any(matches_token) {
        return Ok(Caller::Operator);
    }
    for owner in state.catalogue().owners() {
        if owner.token_sha256.as_ref().is_some_and(matches_token) {
            return Ok(Caller::Owner(owner.owner.clone()));
        }
    }
    Err(Failure::new(Code::Unauthenticated))
}

/// Authenticates the caller and rejects all but operators with [`Code::Forbidden`].
pub(crate) fn require_operator<P: Platform>(
    state: &ApiState<P>,
    headers: &HeaderMap,
) -> Result<Caller, Failure> {
    match authenticate(state, headers)? {
        Caller::Operator => Ok(Caller::Operator),
        Caller::Owner(_) => Err(Failure::new(Code::Forbidden)),
    }
}

/// The name under which the catalogue's history records the caller.
pub(crate) fn caller_name(caller: &Caller) -> String {
    match caller {
        Caller::Operator => "operator".to_owned(),
        Caller::Owner(owner) => owner.to_string(),
    }
}
