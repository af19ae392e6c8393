//! A leader that is busy, and one that is gone.

mod fake;

use std::sync::Arc;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use stoatwell_node::LeaderLease;
use stoatwell_node::Table;
use tokio::sync::oneshot;

use self::fake::FakePlatform;
use self::fake::daemon::start;
use self::fake::daemon::wait_until;

/// Time for which one piece of work keeps a busy daemon from everything else.
const WORK: Duration = Duration::from_millis(450);

/// A leader with a thread of its own, as if it were another process.
struct OtherProcess {
    end: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

impl OtherProcess {
    /// Starts a daemon and waits until it leads. Its tasks then wait for `work` at a time.
    fn lead(store: &Arc<FakePlatform>, work: Duration) -> Self {
        let store = Arc::clone(store);
        let (end, ended) = oneshot::channel();
        let (leads_sender, leads) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.expect("a runtime").block_on(async {
                let node = start("a", &store).await;
                wait_until("a leader", 3_000, || node.scheduler().is_some()).await;
                leads_sender.send(()).expect("the test waits");
                tokio::spawn(be_busy(work));
                ended.await.expect("the test ends it");
            });
        });
        leads.recv().expect("a leader");
        Self { end, thread }
    }

    /// Ends the process: its connections are closed, and new ones are refused.
    fn kill(self) {
        self.end.send(()).expect("it runs");
        self.thread.join().expect("no panic");
    }
}

async fn be_busy(work: Duration) {
    while !work.is_zero() {
        std::thread::sleep(work);
        tokio::task::yield_now().await;
    }
}

fn epoch(store: &FakePlatform) -> u64 {
    let row = &store.rows(Table::Duty)[0];
    let value = row.value.as_ref().expect("a lease");
    serde_json::from_slice::<LeaderLease>(value).expect("a lease").epoch
}

/// Guards against a change of leader by load alone: the leader is behind with all its tasks and
/// answers no probe in time.
#[tokio::test]
async fn a_busy_leader_keeps_leading() {
    let store = Arc::new(FakePlatform::default());
    let leader = OtherProcess::lead(&store, WORK);
    let other = start("b", &store).await;
    tokio::time::sleep(Duration::from_secs(8)).await;
    assert!(other.scheduler().is_none(), "a busy leader was replaced");
    assert_eq!(epoch(&store), 1);
    leader.kill();
}

/// Guards against jobs that wait for the successor of a killed leader for as long as for that of
/// one that may be alive.
#[tokio::test]
async fn a_killed_leader_is_replaced_soon() {
    let store = Arc::new(FakePlatform::default());
    let leader = OtherProcess::lead(&store, Duration::ZERO);
    let other = start("b", &store).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(other.scheduler().is_none(), "a live leader was replaced");
    leader.kill();
    let killed = Instant::now();
    wait_until("the next leader", 1_000, || other.scheduler().is_some()).await;
    println!("replaced after {} ms", killed.elapsed().as_millis());
}

/// Guards against a pool without a leader for as long as a leader's process hangs: its renewals
/// do not depend on its other tasks, and have to end with them.
#[tokio::test]
async fn a_hanging_leader_is_replaced() {
    let store = Arc::new(FakePlatform::default());
    let leader = OtherProcess::lead(&store, Duration::from_secs(12));
    let other = start("b", &store).await;
    wait_until("the next leader", 9_000, || other.scheduler().is_some()).await;
    assert_eq!(epoch(&store), 2);
    leader.kill();
}
