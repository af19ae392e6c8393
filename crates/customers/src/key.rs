//! Keys as they are kept: hashed, and never written out.

use std::fmt;
use std::hash::Hash;
use std::hash::Hasher;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Bytes of a hash that logs show.
const FINGERPRINT_BYTES: usize = 4;
/// The scheme of the header that carries a key.
const SCHEME: &str = "bearer";

/// The SHA-256 of a key.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct KeyHash([u8; 32]);

/// a key's hash is 64 hexadecimal digits
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub struct KeyHashError;

impl std::error::Error for KeyHashError {}

impl KeyHash {
    /// The hash of a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// What people may see of it; a key cannot be told from it.
    pub fn fingerprint(&self) -> String {
        hex(&self.0[..FINGERPRINT_BYTES])
    }
}

/// The time that a comparison takes does not tell how much of a guess was right.
impl PartialEq for KeyHash {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyHash {}

impl Hash for KeyHash {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({})", self.fingerprint())
    }
}

impl FromStr for KeyHash {
    type Err = KeyHashError;

    fn from_str(text: &str) -> Result<Self, KeyHashError> {
        let digits = text.as_bytes();
        if digits.len() != 64 {
            return Err(KeyHashError);
        }
        let mut bytes = [0; 32];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = digit(pair[0])? << 4 | digit(pair[1])?;
        }
        Ok(Self(bytes))
    }
}

/// The key in the value of an `Authorization` header; the scheme's case does not matter.
pub fn bearer_key(value: &str) -> Option<&str> {
    let (scheme, key) = value.split_once(' ')?;
    let key = key.trim_matches(' ');
    (scheme.eq_ignore_ascii_case(SCHEME) && !key.is_empty()).then_some(key)
}

fn digit(digit: u8) -> Result<u8, KeyHashError> {
    let value = char::from(digit).to_digit(16).ok_or(KeyHashError)?;
    Ok(value as u8)
}

fn hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        text.push(char::from_digit(u32::from(byte >> 4), 16).unwrap_or('0'));
        text.push(char::from_digit(u32::from(byte & 15), 16).unwrap_or('0'));
    }
    text
}
