//! Names and numeric identifiers.
//!
//! Names are short strings that people choose; they are cheap to clone. A
//! [`JobId`] is derived from the owner and the caller's idempotency key, so any
//! daemon finds the record for a key without a separate index.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;
use sha2::Digest;
use sha2::Sha256;

/// Maximum length of a name, in bytes.
pub const NAME_MAX_BYTES: usize = 64;

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a name without validating it.
            ///
            /// The name must have been validated elsewhere or come from this program.
            pub fn new(name: impl AsRef<str>) -> Self {
                Self(Arc::from(name.as_ref()))
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }
    };
}

name!(
    /// Name of a machine that runs tasks.
    WorkerId
);
name!(
    /// Name of a daemon; one runs on each entry instance.
    DaemonId
);
name!(
    /// Name of a back end that answers requests.
    MinionId
);
name!(
    /// Name of a catalogue entry.
    EntryName
);
name!(
    /// Name of a customer of the cell.
    OwnerName
);
name!(
    /// Name of a customer of a pool, as in the manifest.
    CustomerName
);
name!(
    /// Name of an availability zone.
    ZoneName
);
name!(
    /// Name of a region, which consists of one or more availability zones.
    RegionName
);

/// Whether a name consists of 1 to 64 bytes of `a-z`, `0-9`, `-`, `_` and `.`.
pub fn is_valid_name(name: &str) -> bool {
    let allowed =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_.".contains(&byte);
    (1..=NAME_MAX_BYTES).contains(&name.len()) && name.bytes().all(allowed)
}

/// Identifier of a job, the same for every submission with the same idempotency key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u128);

impl JobId {
    /// Derives the identifier from the owner and the owner's idempotency key.
    ///
    /// The result is the first 128 bits of a SHA-256 and never changes for a key.
    pub fn from_key(owner: &OwnerName, key: &str) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(owner.as_str().as_bytes());
        hasher.update([0]);
        hasher.update(key.as_bytes());
        let digest = hasher.finalize();
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest[..16]);
        Self(u128::from_be_bytes(bytes))
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0 >> 96)
    }
}

/// a job id is 32 hexadecimal digits
#[derive(Debug, PartialEq, Eq, displaydoc::Display)]
pub struct JobIdError;

impl std::error::Error for JobIdError {}

impl FromStr for JobId {
    type Err = JobIdError;

    fn from_str(text: &str) -> Result<Self, JobIdError> {
        if text.len() != 32 {
            return Err(JobIdError);
        }
        u128::from_str_radix(text, 16).map(Self).map_err(|_error| JobIdError)
    }
}

// A hexadecimal string in JSON, and a `u128` in the binary format between daemons.
impl Serialize for JobId {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        self.0.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for JobId {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            return text.parse().map_err(serde::de::Error::custom);
        }
        u128::deserialize(deserializer).map(Self)
    }
}

/// Identifier of one attempt to run a task. A worker starts each attempt at most once.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct AttemptId {
    /// Job to which the task belongs.
    pub job: JobId,
    /// Index of the task within the job, counted from 0.
    pub task: u32,
    /// Number of the attempt, counted from 1.
    pub attempt: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.task, self.attempt)
    }
}

impl fmt::Debug for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}.{}.{}", self.job, self.task, self.attempt)
    }
}

impl FromStr for AttemptId {
    type Err = JobIdError;

    fn from_str(text: &str) -> Result<Self, JobIdError> {
        let mut parts = text.splitn(3, '.');
        let mut next = || parts.next().ok_or(JobIdError);
        let job = next()?.parse()?;
        let task = next()?.parse().map_err(|_error| JobIdError)?;
        let attempt = next()?.parse().map_err(|_error| JobIdError)?;
        Ok(Self { job, task, attempt })
    }
}
