//! Tests of the freshness of keys in the control state machine.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use support::new_member;

use config::NEWEST_FORMAT;
use config::Record;
use control::Effect;
use control::Input;
use control::Machine;
use fresh::Output;
use ids::Digest;
use ids::NodeId;
use ids::Version;

use kernel::StateMachine as _;
use kernel::Time;
use kernel::random::SeededRandom;
use member::Parameters;
use spread::Revision;
use spread::StoreEvent;

const ORGANISATIONS: &str = "services: []\norganisations:\n  - { name: orchard }\n";
/// Time by which the clock of proofs is ahead when the node starts.
const AHEAD: Duration = Duration::from_secs(1_000);

fn start_node(key_freshness: bool) -> Machine {
    let address = SocketAddr::from(([127, 31, 8, 1], 1));
    let own = new_member(NodeId(1), address);
    let machine = Machine::new(own, Vec::new(), Parameters::default(), Time(0));
    match key_freshness {
        true => machine.with_key_freshness(Duration::from_secs(5), Time(0), Time(0) + AHEAD),
        false => machine,
    }
}

fn value(version: u64, text: &str) -> StoreEvent {
    let revision = Revision::from(version);
    StoreEvent::Value {
        record: Some(Record {
            version: Version(version),
            edit_hash: 1,
            parent_digest: Digest::default(),
            digest: Digest::of(text.as_bytes()),
            format: NEWEST_FORMAT,
            text: Arc::from(text),
        }),
        revision,
        store_revision: revision,
        is_writable: false,
    }
}

/// Lets a node read a record from the store and returns the effects of the next seconds.
fn read_record(machine: &mut Machine, version: u64, text: &str, start: Time) -> Vec<Effect> {
    let (mut random, mut effects) = (SeededRandom::new(1), Vec::new());
    while machine.next_wake().is_some_and(|due| due <= start) {
        machine.wake(start, &mut random, &mut effects);
    }
    let sent = start + AHEAD;
    let event = value(version, text);
    let now = start + Duration::from_millis(4);
    let input = Input::StoreAnswered { sent, event };
    machine.step(now, input, &mut random, &mut effects);
    let end = now + Duration::from_secs(3);
    while let Some(due) = machine.next_wake().filter(|due| *due <= end) {
        machine.wake(due, &mut random, &mut effects);
    }
    effects
}

/// A deployment that does not ask for it, and one whose configuration lists no organisations, must keep its watches
/// and send and check nothing.
#[rstest]
#[case::no_setting(false, ORGANISATIONS, false)]
#[case::no_organisations(true, "services: []\n", false)]
#[case::organisations(true, ORGANISATIONS, true)]
fn watch_config_brief(#[case] setting: bool, #[case] text: &str, #[case] expected: bool) {
    let mut machine = start_node(setting);
    let effects = read_record(&mut machine, 1, text, Time(0));
    let is_brief = |it: &Effect| matches!(it, Effect::WatchConfigBriefly { .. });
    let is_long = |it: &Effect| matches!(it, Effect::WatchConfig { .. });
    assert_eq!(effects.iter().any(is_brief), expected);
    assert_eq!(effects.iter().any(is_long), !expected);
    let verified = |it: &Effect| matches!(it, Effect::Freshness(Output::Verified));
    assert_eq!(effects.iter().any(verified), expected);
}

/// Traffic threads that learn of a proof before its configuration accept keys which that withdraws, for as long as the
/// control thread is then frozen. The second topology is published some ms after its configuration is in force.
#[rstest]
fn publish_before_proof() {
    let mut machine = start_node(true);
    read_record(&mut machine, 1, ORGANISATIONS, Time(0));
    let start = Time(0) + Duration::from_secs(4);
    let text = format!("{ORGANISATIONS}  - {{ name: mill }}\n");
    read_record(&mut machine, 2, &text, start);
    let start = start + Duration::from_secs(4);
    let text = format!("{text}  - {{ name: quay }}\n");
    let effects = read_record(&mut machine, 3, &text, start);
    let published = effects.iter().position(|it| {
        let Effect::Publish(topology) = it else {
            return false;
        };
        let snapshot = topology.snapshot.as_ref();
        snapshot.is_some_and(|it| it.version() == Version(3))
    });
    let valid_until = start + AHEAD + Duration::from_millis(4_500);
    let proved = effects.iter().position(
        |it| matches!(it, Effect::Freshness(Output::ValidUntil(time)) if *time == valid_until),
    );
    assert!(published.is_some() && published < proved, "{effects:?}");
}

/// A record that a node refuses, because it cannot be compiled, may withdraw keys: it must not extend the proof.
#[rstest]
fn record_store_answer_refused() {
    let mut machine = start_node(true);
    read_record(&mut machine, 1, ORGANISATIONS, Time(0));
    let start = Time(0) + Duration::from_secs(4);
    let effects = read_record(&mut machine, 2, "services: 7\n", start);
    let extends = |it: &Effect| matches!(it, Effect::Freshness(Output::ValidUntil(_)));
    assert!(!effects.iter().any(extends), "{effects:?}");
    let ends = |it: &Effect| matches!(it, Effect::Freshness(Output::Unverified { .. }));
    assert!(effects.iter().any(ends), "{effects:?}");
}
