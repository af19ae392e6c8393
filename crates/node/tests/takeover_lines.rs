//! The lines that a takeover writes.

mod fake;

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;

use serde_json::Value;
use stoatwell_node::Table;
use stoatwell_pool::PARTITIONS;
use tracing_subscriber::fmt::MakeWriter;

use self::fake::FakePlatform;
use self::fake::PageFault;
use self::fake::daemon::start;
use self::fake::daemon::wait_until_ready;

/// Keeps what is written to it.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for LogBuffer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no panic").extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogBuffer {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

/// Guards against a takeover that does not tell which table its calls and failures were for.
#[tokio::test]
async fn a_takeover_tells_the_calls_of_each_table_once() {
    let buffer = LogBuffer::default();
    let subscriber =
        tracing_subscriber::fmt().json().flatten_event(true).with_writer(buffer.clone()).finish();
    // The tables are read on a thread of their own.
    tracing::subscriber::set_global_default(subscriber).expect("there is no other one");
    let store = Arc::new(FakePlatform::default());
    store.fail_pages(Table::Jobs, 3, &[Some(PageFault::Refused), Some(PageFault::Refused)]);
    store.fail_pages(Table::Cancels, 7, &[Some(PageFault::Unanswered)]);
    let node = start("a", &store).await;
    wait_until_ready(&node).await;
    node.stop().await;
    let bytes = buffer.0.lock().expect("no panic").clone();
    let text = String::from_utf8(bytes).expect("UTF-8");
    let lines = text.lines().map(|line| serde_json::from_str::<Value>(line).expect("JSON"));
    let mut reads: Vec<_> = lines
        .filter(|line| line["message"] == "table read")
        .map(|line| {
            let counts = ["rows", "calls", "refused", "unanswered", "hedged", "stale"]
                .map(|field| line[field].as_u64().expect("a count"));
            assert!(line["took_ms"].is_u64() && line["call_ms"].is_u64(), "{line}");
            (line["table"].as_str().expect("a table").to_owned(), counts)
        })
        .collect();
    reads.sort();
    let pages = PARTITIONS as u64;
    let expected = [
        ("cancels".to_owned(), [0, pages + 1, 0, 0, 1, 0]),
        ("jobs".to_owned(), [0, pages + 2, 2, 0, 0, 0]),
        ("progress".to_owned(), [0, pages, 0, 0, 0, 0]),
    ];
    assert_eq!(reads, expected);
}
