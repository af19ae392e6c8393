//! Plays one case of the review against real daemons, on loopback and the real clock.
//!
//! `standin CASE FOLDER`: exit status 1 if the rule was broken, 0 if it held, 2 if the case could
//! not run. `TROUBLE=0` leaves the disruption out. `FOLDER/record.txt` tells what was sent,
//! answered and run.

mod cell;
#[path = "1/play.rs"]
mod ends;
#[path = "2/play.rs"]
mod gang;
mod http;
mod json;
#[path = "3/play.rs"]
mod lasting;
mod minion;
mod rowsize;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

/// What a case found.
pub struct Outcome {
    /// One line for each breach of the rule.
    pub breaches: Vec<String>,
    /// The record of what was sent, answered and run.
    pub record: Vec<String>,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let result = match case.as_str() {
        "ends" => ends::play(has_trouble),
        "gang" => gang::play(has_trouble),
        "lasting" => lasting::play(has_trouble),
        "rowsize" => rowsize::play(has_trouble),
        other => Err(format!("there is no case {other}")),
    };
    let outcome = match result {
        Ok(outcome) => outcome,
        Err(reason) => {
            eprintln!("the case could not run: {reason}");
            return ExitCode::from(2);
        }
    };
    let mut lines = vec![format!("disruption: {}", if has_trouble { "yes" } else { "no" })];
    lines.push(format!("breaches of the rule: {}", outcome.breaches.len()));
    lines.extend(outcome.breaches.iter().take(20).map(|breach| format!("  {breach}")));
    println!("{}", lines.join("\n"));
    lines.extend(outcome.record);
    if let Err(error) = std::fs::write(PathBuf::from(folder).join("record.txt"), lines.join("\n") + "\n") {
        eprintln!("cannot write the record: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(!outcome.breaches.is_empty()))
}
