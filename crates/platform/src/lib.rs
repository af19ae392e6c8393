//! The interface to the platform as a trait, and its HTTP client.
//!
//! [`call`] defines the requests and replies, [`Platform`] is the trait that
//! tests replace, and [`http`] implements the protocol of `docs/platform.md`.
//! Only this crate and the stand-in know that protocol.

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

/// All services outside the project's own processes: store, workers and minions.
pub trait Platform: Send + Sync + 'static {
    /// Calls the table, the object store or the instance list.
    fn store(&self, call: StoreCall) -> impl Future<Output = Result<StoreReply, CallError>> + Send;

    /// Calls a worker at this IP and port.
    fn worker(
        &self,
        address: &str,
        worker: &WorkerId,
        call: WorkerCall,
    ) -> impl Future<Output = Result<WorkerReply, CallError>> + Send;

    /// Calls a minion at this IP and port.
    fn minion(
        &self,
        address: &str,
        minion: &MinionId,
        call: MinionCall,
    ) -> impl Future<Output = Result<MinionReply, CallError>> + Send;
}
