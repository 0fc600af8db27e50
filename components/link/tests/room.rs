//! Whether a link has room for another response.

use std::time::Duration;

use rstest::rstest;

use kernel::Time;
use link::Expected;
use link::Fit;
use link::Rate;
use link::Room;

const MS: u64 = 1_000;

/// A response of 90 KB, which takes 100 ms of a link of 1 MB/s.
fn expected(objective: u64, deadline: u64) -> Expected {
    Expected {
        bytes: 90_000.0,
        objective: Some(Time(objective * MS)),
        deadline: Time(deadline * MS),
    }
}

/// Guards against responses that are accepted although those before them, running or waiting to be sent, use
/// up the time, and against refusals while there is room.
#[rstest]
#[case::idle(0, 0, 10, 20, Fit::InTime)]
#[case::in_time(3, 0, 500, 1_200, Fit::InTime)]
#[case::backlog(0, 360_000, 499, 1_200, Fit::Late)]
#[case::late(5, 0, 500, 1_200, Fit::Late)]
#[case::too_late(5, 0, 500, 550, Fit::TooLate { retry_after: Duration::from_millis(50) })]
fn fit_behind(
    #[case] committed: u64,
    #[case] backlog: u64,
    #[case] objective: u64,
    #[case] deadline: u64,
    #[case] fit: Fit,
) {
    let mut room = Room::new(Rate::from_mbps(8.0));
    for key in 0..committed {
        room.commit(key, expected(900, 1_200), false);
    }
    assert_eq!(
        room.fit(Time(0), backlog, expected(objective, deadline)),
        fit
    );
}

/// Guards against a late response that loses its deadline to later ones which could still meet their
/// objective, and against commitments that stay after their request has ended.
#[rstest]
fn fit_beside_late() {
    let mut room = Room::new(Rate::from_mbps(8.0));
    room.commit(1, expected(0, 250), true);
    assert_eq!(room.fit(Time(0), 0, expected(500, 1_200)), Fit::InTime);
    room.commit(2, expected(500, 1_200), false);
    assert_eq!(room.fit(Time(0), 0, expected(500, 1_200)), Fit::Late);
    room.release(1);
    assert_eq!(room.fit(Time(0), 0, expected(500, 1_200)), Fit::InTime);
    room.release(2);
    assert_eq!(room.busy(0), Duration::ZERO);
}
