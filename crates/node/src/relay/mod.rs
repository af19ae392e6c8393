//! Calls to the store through other daemons, for a daemon whose own path to it fails.
//!
//! The store may reject, reset or not answer the connections of some daemons and serve the
//! others. [`path`] decides which way each call takes, [`store`] makes it, [`probe`] watches the
//! own path from when it is suspect until it works again, and [`serve`] makes the calls of other
//! daemons. Calls that one daemon makes for another are never relayed further.

pub mod call;
pub mod path;
mod probe;
mod serve;
mod store;

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::NodeSettings;
use crate::clock::steady_ms;
use crate::daemons::DaemonInfo;
use crate::message::SchedulerRequest;
use crate::relay::path::OwnOutcome;
use crate::relay::path::ServedCalls;
use crate::relay::path::StorePaths;

pub use crate::relay::call::StoreCall;
pub use crate::relay::call::StoreReply;
pub(crate) use crate::relay::probe::watch_own_path;
pub use crate::relay::store::RelayedStore;

/// What all calls of a daemon to the store share, whichever runtime makes them.
#[derive(Debug)]
pub(crate) struct RelayState {
    name: String,
    peer_key: String,
    paths: Mutex<StorePaths>,
    /// The list of daemons as it was last read.
    daemons: Mutex<Vec<DaemonInfo>>,
    served: Mutex<ServedCalls>,
    /// When the last call of another daemon was made; 0 if none was made lately.
    last_served_ms: Mutex<u64>,
    /// Notified when the own path becomes suspect.
    suspected: Notify,
    /// Rises each time the own path failed because it is silent: calls that are pending on it get
    /// no answer any more.
    silences: watch::Sender<u64>,
    /// Holds a value while this daemon leads.
    local_scheduler: watch::Receiver<Option<mpsc::Sender<SchedulerRequest>>>,
}

impl RelayState {
    /// The state of a daemon with these settings.
    pub fn new(
        settings: &NodeSettings,
        local_scheduler: watch::Receiver<Option<mpsc::Sender<SchedulerRequest>>>,
    ) -> Self {
        let paths = StorePaths::new(&settings.name, &settings.address, settings.zone.clone());
        Self {
            name: settings.name.clone(),
            peer_key: settings.peer_key.clone(),
            paths: Mutex::new(paths),
            daemons: Mutex::default(),
            served: Mutex::default(),
            last_served_ms: Mutex::default(),
            suspected: Notify::new(),
            silences: watch::Sender::new(0),
            local_scheduler,
        }
    }

    fn leads(&self) -> bool {
        self.local_scheduler.borrow().is_some()
    }

    fn paths(&self) -> MutexGuard<'_, StorePaths> {
        lock(&self.paths)
    }

    /// Records the result of a call on the own path that is not part of a call of this daemon.
    fn record_own(&self, outcome: OwnOutcome) {
        let mut paths = self.paths();
        paths.record_own(outcome, steady_ms());
        self.notify_if_suspect(&paths);
    }

    fn notify_if_suspect(&self, paths: &StorePaths) {
        if paths.needs_probe() && !paths.has_failed() {
            self.suspected.notify_one();
        }
    }

    fn set_daemons(&self, daemons: Vec<DaemonInfo>) {
        self.paths().update_daemons(&daemons);
        *lock(&self.daemons) = daemons;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
