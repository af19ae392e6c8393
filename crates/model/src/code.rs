//! Numbered result codes; the table in `docs/codes.md` lists them with cause and remedy.
//!
//! The thousands digit is the category: 1 invalid input, 2 authentication and unknown
//! names, 3 catalogue, 4 not run, 5 ran and failed, 6 unknown, 7 temporary, 8 settings,
//! 9 internal errors.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

macro_rules! codes {
    ($($(#[doc = $text:literal])+ $name:ident = $number:literal, $status:literal, $hint:literal;)+) => {
        /// Numbered cause of a refusal or failure.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, displaydoc::Display)]
        #[serde(into = "u16", try_from = "u16")]
        pub enum Code {
            $($(#[doc = $text])+ $name,)+
        }

        impl Code {
            /// All codes, in ascending order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$name),+];

            /// Stable number for comparison by programs.
            pub fn number(self) -> u16 {
                match self { $(Self::$name => $number),+ }
            }

            /// HTTP status of a response with this code.
            pub fn http_status(self) -> u16 {
                match self { $(Self::$name => $status),+ }
            }

            /// Remedy, for people.
            pub fn hint(self) -> &'static str {
                match self { $(Self::$name => $hint),+ }
            }
        }
    };
}

codes! {
    /// the body is not valid JSON
    BrokenJson = 1001, 400, "check quotes, commas and brackets at the position given";
    /// the document has mistakes
    InvalidDocument = 1002, 400, "mend each field listed; docs/catalogue.md describes them";
    /// the body is too large
    BodyTooLarge = 1003, 413, "keep the body within limits.body_bytes of the entry and the daemon's http.body_bytes_max";
    /// the idempotency key is missing or malformed
    BadIdempotencyKey = 1004, 400, "send Idempotency-Key with 1 to 128 printable characters without spaces";
    /// the idempotency key was used with other content
    KeyReused = 1005, 409, "use a new key for new work; repeat the old content to join the old job";
    /// a path or query parameter is malformed
    BadParameter = 1006, 400, "compare the call with docs/api.md";
    /// the job takes more room than the store has for one job
    JobTooLong = 1007, 413, "this submission was not taken; submit shorter steps, or several jobs";
    /// the token is missing or unknown
    Unauthenticated = 2001, 401, "send Authorization: Bearer with a token whose hash is in the catalogue or the settings";
    /// this token may not do that
    Forbidden = 2002, 403, "owners see and cancel their own work; only operators change the catalogue";
    /// no such entry
    NoSuchEntry = 2003, 404, "list entries with `stoatwell entry list`";
    /// no such job
    NoSuchJob = 2004, 404, "check the id; records of finished jobs are removed after the retention time";
    /// no such target
    NoSuchTarget = 2005, 404, "list targets with `stoatwell target list`";
    /// no such path
    NoSuchPath = 2006, 404, "compare the call with docs/api.md";
    /// the entry was changed by somebody else
    RevisionConflict = 3001, 409, "read the current version, decide again, and send its ETag as If-Match";
    /// the target cannot make that change now
    BadTransition = 3002, 409, "look at the target's state with `stoatwell target list`";
    /// no target can hold one task
    NeverFits = 4001, 422, "lower the task's demand or start a larger target for this owner";
    /// too much work of this entry waits already
    QueueFull = 4002, 429, "come back after the time given, or raise limits.queued_jobs";
    /// the deadline passed before it could start
    DeadlinePassed = 4003, 504, "submit earlier or with a later deadline";
    /// cancelled before it started
    CancelledBeforeStart = 4004, 409, "submit under a new key to run it";
    /// no minion can take the request now
    NoMinion = 4005, 503, "come back after the time given, with the same key";
    /// this share of the traffic stays with the old system
    StaysWithOldSystem = 4006, 421, "send it to the old system, or raise traffic_permille";
    /// the demand is over the owner's quota
    OverQuota = 4007, 422, "ask for less, or have an operator raise the owner's quota";
    /// the entry is held back because it fails everywhere
    EntryHeldBack = 4008, 503, "mend the work itself; the entry is tried again after the time given";
    /// a task failed
    TaskFailed = 5001, 500, "read the reason; the work itself failed";
    /// cancelled after it had started
    CancelledAfterStart = 5002, 409, "part of it may have taken effect";
    /// the minion answered with an error
    MinionFailed = 5003, 502, "read the reason; the back end itself failed";
    /// the task used more than it may and was stopped
    StoppedOverLimit = 5004, 500, "declare what the task really needs";
    /// nothing can tell whether it ran
    OutcomeUnknown = 6001, 504, "ask again with the same key; it is being resolved and will not run a second time";
    /// the acceptance could not be confirmed in time
    AcceptanceUnknown = 6002, 504, "send the same request with the same key; it joins if it was accepted";
    /// the platform's store cannot be reached
    StoreUnavailable = 7001, 503, "this submission was not taken; come back after the time given, with the same key";
    /// this daemon is stopping
    Stopping = 7002, 503, "this submission was not taken; go to another entry instance with the same key";
    /// the daemon that runs the job cannot be reached
    PeerUnavailable = 7003, 503, "ask again; another daemon takes the job over";
    /// this daemon is at a limit
    Overloaded = 7004, 429, "this submission was not taken; come back after the time given, with the same key";
    /// this daemon is not ready yet
    NotReady = 7005, 503, "this submission was not taken; go to another entry instance or come back";
    /// this daemon does not know whether the caller's key is still good
    KeyUnconfirmed = 7006, 503, "this call was not taken; go to another entry instance or come back after the time given";
    /// this daemon does not know whether there is such a queue
    QueueUnconfirmed = 7007, 503, "this call was not taken; go to another entry instance or come back after the time given";
    /// no daemon has reported the workers that serve the owner yet
    WorkersUnknown = 7008, 503, "this submission was not taken; come back after the time given, or go to another entry instance";
    /// the request arrived too slowly
    TooSlow = 7009, 503, "this call was not taken; send it again after the time given, without pauses";
    /// the settings have mistakes
    InvalidSettings = 8001, 500, "mend each field listed; `stoatwelld settings` prints them all with their defaults";
    /// the settings cannot be read
    UnreadableSettings = 8002, 500, "check the path and its permissions";
    /// cannot listen on an address of the settings
    AddressUnavailable = 8003, 500, "end the program that listens there, or change the address in the settings";
    /// an error of the program itself
    Internal = 9001, 500, "please report it with the request id and the log around it";
}

impl From<Code> for u16 {
    fn from(code: Code) -> Self {
        code.number()
    }
}

/// no result code has the number {0}
#[derive(Debug, displaydoc::Display)]
pub struct UnknownCode(u16);

impl std::error::Error for UnknownCode {}

impl TryFrom<u16> for Code {
    type Error = UnknownCode;

    fn try_from(number: u16) -> Result<Self, UnknownCode> {
        for code in Self::ALL {
            if code.number() == number {
                return Ok(*code);
            }
        }
        Err(UnknownCode(number))
    }
}

/// Refusal or failure in the form that callers receive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Numbered cause.
    pub code: Code,
    /// Description of what happened, for people.
    pub message: String,
    /// Remedy, for people.
    pub hint: String,
    /// Delay before a retry; `None` if a retry does not help.
    pub retry_after_ms: Option<u64>,
    /// Errors of single fields; empty unless a document was checked.
    pub problems: Vec<Problem>,
}

/// Error of one field in a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// JSON path of the field.
    pub path: String,
    /// The invalid value, shortened.
    pub value: String,
    /// Description of valid values.
    pub expected: String,
    /// Remedy, or the meaning of the field.
    pub hint: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { path, value, expected, hint } = self;
        write!(f, "{path}: {value}: expected {expected} ({hint})")
    }
}

impl Failure {
    /// Creates a failure with the message and hint of its code.
    pub fn new(code: Code) -> Self {
        Self {
            code,
            message: code.to_string(),
            hint: code.hint().to_owned(),
            retry_after_ms: None,
            problems: Vec::new(),
        }
    }

    /// Creates a failure whose message continues with `detail`.
    pub fn with_detail(code: Code, detail: impl fmt::Display) -> Self {
        Self { message: format!("{code}: {detail}"), ..Self::new(code) }
    }

    /// Sets the delay before a retry.
    pub fn retry_after(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Sets the errors of single fields.
    pub fn with_problems(mut self, problems: Vec<Problem>) -> Self {
        self.problems = problems;
        self
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code.number(), self.message)
    }
}

impl std::error::Error for Failure {}
