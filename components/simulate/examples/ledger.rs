//! Prints the time that an operation of the ledger takes while the ledger holds 100,000 entries.

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

/// Approximate number of entries that the ledger holds while it is measured.
const ENTRIES: u64 = 100_000;
/// Number of measured rounds, each of which adds and closes one entry.
const ROUNDS: u64 = 1_000_000;
/// Time from the arrival of a request to its expiry. Requests arrive at such a rate that the ledger
/// keeps [`ENTRIES`] entries.
const REQUEST_LIFETIME: Duration = Duration::from_secs(60);

fn new_open_record(random: &mut SeededRandom, expires: Time) -> Record {
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
    let interval_us = (REQUEST_LIFETIME + RETENTION).as_micros() as u64 / ENTRIES;
    let done = RecordState::Done {
        verdict: Verdict::Ran,
        stored: false,
    };
    let (mut started, mut slowest) = (Instant::now(), Duration::ZERO);
    for round in 0..ENTRIES + ROUNDS {
        if round == ENTRIES {
            (started, slowest) = (Instant::now(), Duration::ZERO);
        }
        let now = Time(round * interval_us);
        let round_started = Instant::now();
        let record = new_open_record(&mut random, now + REQUEST_LIFETIME);
        ledger.upsert(record);
        ledger.close(record.id, 1, done);
        // The owner expires entries at most every 250 ms.
        if round % (250_000 / interval_us) == 0 {
            ledger.expire(now);
        }
        slowest = slowest.max(round_started.elapsed());
    }
    let mean = started.elapsed() / ROUNDS as u32;
    let entries = ledger.len();
    println!("entries {entries}, upsert and close with expiry {mean:?} each, slowest {slowest:?}");
}
