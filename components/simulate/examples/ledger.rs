//! Prints what an operation of the ledger costs while it holds 100,000 entries.

use std::time::Duration;
use std::time::Instant;

use errors::Verdict;
use ids::RequestId;
use kernel::Random;
use kernel::Time;
use kernel::random::SeededRandom;
use traffic::ledger::Ledger;
use traffic::ledger::RETENTION;
use traffic::ledger::Record;
use traffic::ledger::RecordState;

const ENTRIES: u64 = 100_000;
const ROUNDS: u64 = 1_000_000;
/// Time for which a request can run; with it the ledger stays full.
const SPAN: Duration = Duration::from_secs(60);

fn record(random: &mut SeededRandom, expires: Time) -> Record {
    Record {
        id: RequestId(u128::from(random.next_u64()) << 64 | u128::from(random.next_u64())),
        attempt: 1,
        expires,
        idempotent: false,
        state: RecordState::Open { tag: 1 },
        earlier_verdict: Verdict::NotRun,
    }
}

fn main() {
    let mut random = SeededRandom::new(1);
    let mut ledger = Ledger::new(2 * ENTRIES as usize);
    let step = (SPAN + RETENTION).as_micros() as u64 / ENTRIES;
    let done = RecordState::Done {
        verdict: Verdict::Ran,
        stored: false,
    };
    let (mut started, mut slowest) = (Instant::now(), Duration::ZERO);
    for round in 0..ENTRIES + ROUNDS {
        if round == ENTRIES {
            (started, slowest) = (Instant::now(), Duration::ZERO);
        }
        let now = Time(round * step);
        let begun = Instant::now();
        let added = record(&mut random, now + SPAN);
        ledger.upsert(added);
        ledger.close(added.id, 1, done);
        // The owner cleans up at most each 250 ms.
        if round % (250_000 / step) == 0 {
            ledger.expire(now);
        }
        slowest = slowest.max(begun.elapsed());
    }
    let each = started.elapsed() / ROUNDS as u32;
    let entries = ledger.len();
    println!("entries {entries}, put and close with expiry {each:?} each, slowest {slowest:?}");
}
