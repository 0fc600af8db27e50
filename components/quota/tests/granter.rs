//! Tests of the granter alone, with one holder that has the only share.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;

use ids::NodeId;
use ids::OrganisationId;
use kernel::Time;
use quota::Ask;
use quota::Granter;
use quota::GroupSet;
use quota::Limit;
use quota::Limits;
use quota::Request;
use quota::Response;

const GRANTER: NodeId = NodeId(1);
const ORGANISATION: OrganisationId = OrganisationId(0);
const RATE: f64 = 10.0;
const BURST: f64 = 100.0;

struct Bench {
    granter: Granter,
    now: Time,
    number: u64,
    echo: Option<Time>,
}

impl Bench {
    fn new() -> Self {
        let limit = Limit {
            per_second: RATE,
            burst: BURST,
        };
        let limits = Arc::new(Limits::new(vec![(ORGANISATION, limit)]));
        let mut granter = Granter::new(GRANTER);
        granter.update(Time(1), &limits, 1);
        Self {
            granter,
            now: Time(1),
            number: 0,
            echo: None,
        }
    }

    fn ask(&mut self, after: Duration, waiting: u16, returned: u16, granted_at: Time) -> Response {
        self.now = self.now + after;
        self.number += 1;
        let ask = Ask {
            organisation: ORGANISATION,
            waiting,
            forecast: 0,
            returned,
            granted_at,
        };
        let request = Request {
            holder: NodeId(2),
            granter: GRANTER,
            number: self.number,
            echo: self.echo,
            instances: 1,
            shares: GroupSet(1),
            asks: vec![ask],
        };
        let response = self.granter.handle(self.now, &request).expect("a response");
        self.echo = Some(response.reading);
        response
    }

    /// Delegates without a pause for so long that the bucket is full.
    fn fill(&mut self) {
        for _ in 0..24 {
            self.ask(Duration::from_millis(500), 0, 0, Time(0));
        }
    }
}

/// A share that ends and returns brings no tokens with it, since they may have been granted elsewhere meanwhile.
#[rstest]
#[case::kept(500, 100)]
#[case::ended(2_500, 0)]
fn grant_after_pause(#[case] pause_ms: u64, #[case] tokens: u16) {
    let mut bench = Bench::new();
    bench.fill();
    bench.ask(Duration::from_millis(pause_ms), 0, 0, Time(0));
    let response = bench.ask(Duration::from_millis(1), 200, 0, Time(0));
    let granted = response.grants.first().map_or(0, |it| it.tokens);
    assert!(granted.abs_diff(tokens) <= 1, "{granted} tokens");
}

/// Tokens that are put back long after their grant would come on top of what has come in since.
#[rstest]
#[case::in_time(300, 50)]
#[case::late(700, 7)]
fn return_tokens(#[case] after_ms: u64, #[case] tokens: u16) {
    let mut bench = Bench::new();
    bench.fill();
    let granted = bench.ask(Duration::from_millis(1), 100, 0, Time(0));
    assert_eq!(granted.grants[0].tokens, 100);
    let response = bench.ask(Duration::from_millis(after_ms), 200, 47, granted.reading);
    let granted = response.grants[0].tokens;
    assert!(granted.abs_diff(tokens) <= 1, "{granted} tokens");
}

/// A caller that is told to come back too early is refused again; the wait counts those that were refused before.
#[rstest]
#[case::first(0, 100)]
#[case::behind_others(20, 2_100)]
fn state_retry(#[case] before: u16, #[case] retry_ms: u64) {
    let mut bench = Bench::new();
    bench.fill();
    bench.ask(Duration::from_millis(1), 100, 0, Time(0));
    if before > 0 {
        bench.ask(Duration::from_millis(1), before, 0, Time(0));
    }
    let response = bench.ask(Duration::from_millis(1), 1, 0, Time(0));
    let retry = response.grants[0].retry_after.as_millis() as u64;
    assert_eq!(response.grants[0].tokens, 0);
    assert!(retry.abs_diff(retry_ms) <= 20, "{retry} ms");
}
