//! Runs every example of `docs/api.md` against a daemon.

mod cell;

use std::fs;

use reqwest::Method;
use serde_json::Value;
use stoatwell_model::RegionName;
use stoatwell_model::Resources;
use stoatwell_model::ZoneName;
use stoatwell_standin::Config;
use stoatwell_standin::Standin;
use stoatwell_standin::config::WorkerGroup;
use stoatwelld::Daemon;

struct Example {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: String,
    status: u16,
    contains: String,
}

/// Guards against documentation that has drifted from the API. The examples run in
/// the order of the page.
#[tokio::test(flavor = "multi_thread")]
async fn api_page_examples_give_the_documented_responses() {
    let page = fs::read_to_string(format!("{}/../../docs/api.md", env!("CARGO_MANIFEST_DIR")))
        .expect("docs/api.md");
    let examples = parse(&page);
    assert!(examples.len() >= 20, "at least 20 examples found on the page");
    let group = WorkerGroup {
        prefix: "worker-".to_owned(),
        count: 1,
        per_rack: 8,
        zone: ZoneName::new("zone-a"),
        region: RegionName::new("region-1"),
        capacity: Resources { cpu_millis: 16_000, memory_bytes: 1 << 36, accelerators: 0 },
        minion_group: Some("desk".to_owned()),
        minion_slots: 8,
        minion_connections: 64,
    };
    let standin = Standin::start(Config { workers: vec![group], ..Config::default() })
        .await
        .expect("the stand-in starts");
    let mut settings = stoatwell_settings::example("page");
    settings.platform.store_address = standin.address;
    settings.platform.instances_interval_ms = 100;
    let daemon = Daemon::start(settings).await.expect("the daemon starts");
    let http = cell::client();
    let mut job = String::new();
    for example in examples {
        let path = example.path.replace("{job}", &job);
        let url = format!("http://{}{path}", daemon.http_address);
        // After a target is started, the daemon must first acquire the worker's lease.
        let mut last_response = (0, String::new());
        for _ in 0..100 {
            let mut request = http.request(example.method.clone(), &url).body(example.body.clone());
            for (name, value) in &example.headers {
                request = request.header(name, value);
            }
            let response = request.send().await.expect("an answer");
            assert!(response.headers().contains_key("x-request-id"));
            last_response = (response.status().as_u16(), response.text().await.expect("text"));
            let retry = last_response.1.contains("\"code\":7005")
                || last_response.1.contains("\"code\":4005");
            if !retry || example.status != 200 && example.status != 202 {
                break;
            }
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
        let (status, text) = last_response;
        let context = format!("{} {path}: {text}", example.method);
        assert_eq!(status, example.status, "{context}");
        assert!(text.replace(' ', "").contains(&example.contains.replace(' ', "")), "{context}");
        if let Ok(value) = serde_json::from_str::<Value>(&text)
            && let Some(found) = value["job"].as_str()
        {
            job = found.to_owned();
        }
    }
}

fn parse(page: &str) -> Vec<Example> {
    let mut examples = Vec::new();
    for block in page.split("```http\n").skip(1) {
        let block = block.split("```").next().expect("the code block ends");
        let (request, expected) = block.split_once("-> ").expect("an expected response after `->`");
        let mut lines = request.lines();
        let (method, path) =
            lines.next().and_then(|line| line.split_once(' ')).expect("a request line");
        let mut headers = Vec::new();
        let mut body = String::new();
        for line in lines {
            match line.split_once(": ") {
                Some((name, value)) if body.is_empty() && !line.starts_with('{') => {
                    headers.push((name.to_owned(), value.to_owned()));
                }
                _ => {
                    body.push_str(line);
                    body.push('\n');
                }
            }
        }
        let (status, contains) = expected.trim().split_once(' ').expect("a status and a text");
        examples.push(Example {
            method: method.parse().expect("a method"),
            path: path.to_owned(),
            headers,
            body,
            status: status.parse().expect("a status"),
            contains: contains.to_owned(),
        });
    }
    examples
}
