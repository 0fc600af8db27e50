//! Tests of two operators who apply edits concurrently, with their calls in any order.

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;
use proptest::sample::select;

use crate::support::FakeStore;
use crate::support::Fault;
use crate::support::config_text;
use crate::support::deadline;
use crate::support::edit;
use crate::support::outcome_name;
use accept::ApplyMachine;
use accept::Base;
use accept::Effect;
use accept::Input;
use accept::Outcome;
use ids::Digest;
use ids::Version;

use kernel::StateMachine as _;
use kernel::Time;
use kernel::random::SeededRandom;

/// An operator who applies one edit, with a clock of its own.
struct Operator {
    machine: ApplyMachine,
    random: SeededRandom,
    now: Time,
    effects: Vec<Effect>,
    outcome: Option<Outcome>,
}

impl Operator {
    fn new(name: &str, base: Base) -> Self {
        let mut operator = Self {
            machine: ApplyMachine::new(edit(name, base), deadline()),
            random: SeededRandom::new(name.len() as u64),
            now: Time(0),
            effects: Vec::new(),
            outcome: None,
        };
        operator.step(Input::Start);
        operator
    }

    fn step(&mut self, input: Input) {
        self.machine
            .step(self.now, input, &mut self.random, &mut self.effects);
    }

    /// Makes the requested call, or advances the clock to the next wake-up if there is none.
    fn advance(&mut self, store: &mut FakeStore, fault: Fault) {
        match self.effects.pop() {
            Some(Effect::Finish(outcome)) => self.outcome = Some(outcome),
            Some(effect) => {
                if let Some(input) = store.answer_call(effect, fault) {
                    self.step(input);
                }
            }
            None => {
                self.now = self.machine.next_wake().unwrap_or(self.now).max(self.now);
                self.machine
                    .wake(self.now, &mut self.random, &mut self.effects);
            }
        }
    }
}

fn any_operator_fault() -> impl proptest::strategy::Strategy<Value = Fault> {
    select(vec![
        Fault::None,
        Fault::None,
        Fault::Unreachable,
        Fault::NoAnswerAfterWrite,
        Fault::CallLost,
        Fault::AnswerLost,
        Fault::WriteDelayed,
        Fault::Rewritten,
    ])
}

proptest! {
    // Checks that an edit reported to one operator as accepted isn't overwritten by the other, who
    // edited an older version.
    #[test]
    fn apply_two_operators(
        steps in vec((any::<bool>(), any_operator_fault()), 0..40),
        with_base in any::<bool>(),
    ) {
        let mut store = FakeStore::with_versions(1);
        let base = Base::Version { version: Version(1), digest: None };
        let base = if with_base { base } else { Base::Current };
        let mut operators = [Operator::new("ann", base), Operator::new("bobby", base)];
        for (is_second, fault) in steps {
            let operator = &mut operators[usize::from(is_second)];
            if operator.outcome.is_none() {
                operator.advance(&mut store, fault);
            }
        }
        for operator in &mut operators {
            // Bounded, so that a machine that doesn't terminate fails the test instead of blocking
            // it.
            for _ in 0..1_000 {
                if operator.outcome.is_none() {
                    operator.advance(&mut store, Fault::None);
                }
            }
        }
        store.apply_delayed_write();
        let count_written = |name: &str| {
            let digest = Digest::of(config_text(name).as_bytes());
            store.history.iter().filter(|it| it.digest == digest).count()
        };
        for (name, operator) in ["ann", "bobby"].into_iter().zip(&operators) {
            let outcome = operator.outcome.as_ref().expect("the machine terminates");
            match outcome_name(outcome) {
                "accepted" | "replaced" => assert_eq!(count_written(name), 1, "{outcome:?}"),
                "unknown" => assert!(count_written(name) <= 1, "{outcome:?}"),
                _ => assert_eq!(count_written(name), 0, "{outcome:?}"),
            }
        }
        if with_base {
            assert!(count_written("ann") + count_written("bobby") <= 1, "both replaced version 1");
        }
        for records in store.history.windows(2) {
            assert_eq!(records[1].parent_digest, records[0].digest, "an edit was overwritten without being its base");
        }
    }
}
