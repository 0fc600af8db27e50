//! The header by which an owner states its load.

use std::time::Duration;

use rstest::rstest;

use ids::Rank;
use policy::Load;
use wire::header::format_load;
use wire::header::parse_load;

/// Guards against nodes that reject each other's load reports during an update, and against further bytes
/// where the link has no stated rate or is free.
#[rstest]
#[case::free_link(0, "3,2,8,3,1,1,0,0")]
#[case::busy_link(250, "3,2,8,3,1,1,0,0,link=250")]
fn format_load_link(#[case] busy_ms: u64, #[case] expected: &str) {
    let load = Load {
        running: 3,
        queued: 2,
        queued_by_rank: std::array::from_fn(|rank| u32::from(rank < 2)),
        limit: 8,
        least_urgent_accepted: Rank(3),
        link_busy: Duration::from_millis(busy_ms),
    };
    assert_eq!(format_load(load), expected);
    assert_eq!(parse_load(expected), Some(load));
}

/// Guards against ranks of organisations that a report loses, and against zeros at its end that say nothing.
#[rstest]
#[case::most_urgent_organisations(2, 3, "3,2,8,3,0,0,2,0")]
#[case::second_organisations(5, 7, "3,2,8,7,0,0,0,0,0,2")]
#[case::all_ranks(15, 14, "3,2,8,14,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,2")]
fn format_load_ranks(#[case] waiting: usize, #[case] accepted: u8, #[case] expected: &str) {
    let load = Load {
        running: 3,
        queued: 2,
        queued_by_rank: std::array::from_fn(|rank| if rank == waiting { 2 } else { 0 }),
        limit: 8,
        least_urgent_accepted: Rank(accepted),
        link_busy: Duration::ZERO,
    };
    assert_eq!(format_load(load), expected);
    assert_eq!(parse_load(expected), Some(load));
    assert!(load.accepts(Rank(accepted)));
    assert_eq!(load.accepts(Rank(15)), waiting < 15);
}

/// Guards against malformed reports that count as an idle owner.
#[rstest]
#[case::too_short("3,2,8,3,1,1,0")]
#[case::no_number("3,2,8,3,1,1,0,x")]
#[case::negative_link("3,2,8,3,1,1,0,0,link=-1")]
#[case::more_fields("3,2,8,3,1,1,0,0,link=1,5")]
#[case::link_too_early("3,2,8,3,1,1,0,link=1")]
#[case::too_many_ranks("3,2,8,3,1,1,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0")]
fn parse_load_malformed(#[case] text: &str) {
    assert_eq!(parse_load(text), None);
}
