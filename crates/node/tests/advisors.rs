//! Questions to the advisor through many daemons.

mod fake;

use std::sync::Arc;
use std::time::Duration;

use stoatwell_node::AdvisorDispatcher;
use stoatwell_peer::Peers;
use stoatwell_peer::Traffic;
use stoatwell_pool::JobId;
use stoatwell_pool::StepId;

use self::fake::Fake;

const STEP: StepId = StepId { job: JobId(1), occurrence: 0, step: 0 };
/// What the advisor takes for a long question.
const LONG_MS: u64 = 650;

/// A scheduler loses its duty with long questions under way, and its daemon gets
/// the duty back later. Questions that ended with the former duty count no more;
/// otherwise no gang would ever start again, with all workers free.
#[tokio::test]
async fn questions_of_a_duty_that_ended_hold_nothing_up() {
    let outside = Arc::new(Fake::default());
    let peers = Peers::new("test", Traffic::default());
    let advisors = Arc::new(AdvisorDispatcher::new(Arc::clone(&outside), peers, "me".to_owned()));
    outside.hang_advice(true);
    for _ in 0..4 {
        let asking = Arc::clone(&advisors);
        let asked = tokio::spawn(async move { asking.query(STEP, &[], 1, LONG_MS).await });
        tokio::time::sleep(Duration::from_millis(20)).await;
        asked.abort();
    }
    outside.hang_advice(false);
    let answer = advisors.query(STEP, &[], 1, LONG_MS);
    let answer = tokio::time::timeout(Duration::from_millis(500), answer).await;
    assert_eq!(answer, Ok(Some(Vec::new())));
}
