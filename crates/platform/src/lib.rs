//! What the platform offers, as one trait, with its HTTP client.
//!
//! [`call`] holds the questions and answers, [`Platform`] is the edge that
//! tests replace, and [`http`] speaks the protocol of `docs/platform.md`. The
//! protocol is known here and in the stand-in and nowhere else.

pub mod call;
mod clients;
pub mod http;

pub use call::CallError;
pub use call::Check;
pub use call::Instance;
pub use call::InstanceKind;
pub use call::InstanceState;
pub use call::MinionCall;
pub use call::MinionReply;
pub use call::Put;
pub use call::Row;
pub use call::StoreCall;
pub use call::StoreReply;
pub use call::Transaction;
pub use call::WorkerCall;
pub use call::WorkerReply;
pub use clients::Clients;
pub use http::HttpPlatform;

use stoatwell_model::MinionId;
use stoatwell_model::WorkerId;

/// Everything outside the project's own processes.
pub trait Platform: Send + Sync + 'static {
    /// Asks the table, the object store or the instance list.
    fn store(&self, call: StoreCall) -> impl Future<Output = Result<StoreReply, CallError>> + Send;

    /// Asks a worker.
    fn worker(
        &self,
        address: &str,
        worker: &WorkerId,
        call: WorkerCall,
    ) -> impl Future<Output = Result<WorkerReply, CallError>> + Send;

    /// Asks a minion.
    fn minion(
        &self,
        address: &str,
        minion: &MinionId,
        call: MinionCall,
    ) -> impl Future<Output = Result<MinionReply, CallError>> + Send;
}
