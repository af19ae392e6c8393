//! API keys, which are stored as hashes and never written out.

use std::fmt;
use std::hash::Hash;
use std::hash::Hasher;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Number of bytes of a hash that appear in logs.
const FINGERPRINT_BYTES: usize = 4;
/// Scheme of the `Authorization` header that carries a key.
const SCHEME: &str = "bearer";

/// The SHA-256 of a key.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct KeyHash([u8; 32]);

/// a key's hash is 64 hexadecimal digits
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub struct KeyHashError;

impl std::error::Error for KeyHashError {}

impl KeyHash {
    /// Hashes a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// The first bytes in hexadecimal, for logs; the key cannot be derived from them.
    pub fn fingerprint(&self) -> String {
        hex(&self.0[..FINGERPRINT_BYTES])
    }
}

/// Compares in constant time, so that the duration does not reveal how many bytes match.
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

/// Extracts the key from the value of an `Authorization` header. The scheme is matched
/// without regard to case; `None` if it is not `Bearer` or the key is empty.
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
