//! Who may act: bearer tokens, of which only hashes are kept.

use axum::http::HeaderMap;
use axum::http::header;
use stoatwell_customers::KeyHash;
use stoatwell_customers::bearer_key;
use stoatwell_engine::Caller;
use stoatwell_model::Code;
use stoatwell_model::Failure;
use stoatwell_platform::Platform;

use crate::api::Shared;

/// Who sends these headers.
pub(crate) fn caller<P: Platform>(
    shared: &Shared<P>,
    headers: &HeaderMap,
) -> Result<Caller, Failure> {
    if shared.settings.security.open_access {
        return Ok(Caller::Operator);
    }
    let token = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let token = token.and_then(bearer_key).ok_or_else(|| Failure::new(Code::Unauthenticated))?;
    let hash = KeyHash::of(token);
    let is_mine = |known: &String| known.parse::<KeyHash>().is_ok_and(|known| known == hash);
    if shared.settings.security.operator_token_sha256.iter().any(is_mine) {
        return Ok(Caller::Operator);
    }
    for owner in shared.catalogue().owners() {
        if owner.token_sha256.as_ref().is_some_and(is_mine) {
            return Ok(Caller::Owner(owner.owner.clone()));
        }
    }
    Err(Failure::new(Code::Unauthenticated))
}

/// Refuses everybody but operators.
pub(crate) fn operator<P: Platform>(
    shared: &Shared<P>,
    headers: &HeaderMap,
) -> Result<Caller, Failure> {
    match caller(shared, headers)? {
        Caller::Operator => Ok(Caller::Operator),
        Caller::Owner(_) => Err(Failure::new(Code::Forbidden)),
    }
}

/// How the caller is named in the catalogue's history.
pub(crate) fn name(caller: &Caller) -> String {
    match caller {
        Caller::Operator => "operator".to_owned(),
        Caller::Owner(owner) => owner.to_string(),
    }
}
