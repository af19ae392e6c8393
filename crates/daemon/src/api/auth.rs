//! Who may act: bearer tokens, of which only hashes are kept.

use axum::http::HeaderMap;
use axum::http::header;
use sha2::Digest;
use sha2::Sha256;
use stoatwell_engine::Caller;
use stoatwell_model::Code;
use stoatwell_model::Failure;
use stoatwell_platform::Platform;
use subtle::ConstantTimeEq;

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
    let token = token.and_then(|value| value.strip_prefix("Bearer "));
    let token = token.ok_or_else(|| Failure::new(Code::Unauthenticated))?;
    let hash = hex(&Sha256::digest(token.as_bytes()));
    for known in &shared.settings.security.operator_token_sha256 {
        if equal(known, &hash) {
            return Ok(Caller::Operator);
        }
    }
    for owner in shared.catalogue().owners() {
        if owner.token_sha256.as_ref().is_some_and(|known| equal(known, &hash)) {
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

/// The time it takes does not tell how much of a guess was right.
fn equal(known: &str, hash: &str) -> bool {
    known.to_ascii_lowercase().as_bytes().ct_eq(hash.as_bytes()).into()
}

fn hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        text.push(char::from_digit(u32::from(byte >> 4), 16).unwrap_or('0'));
        text.push(char::from_digit(u32::from(byte & 15), 16).unwrap_or('0'));
    }
    text
}
