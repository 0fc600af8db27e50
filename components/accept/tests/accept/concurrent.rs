//! Two operators at once, with their calls in any order.

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;
use proptest::sample::select;

use crate::support::Fake;
use crate::support::Fault;
use crate::support::edit;
use crate::support::kind;
use crate::support::limit;
use crate::support::text;
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

/// One operator with a clock of its own.
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
            machine: ApplyMachine::new(edit(name, base), limit()),
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

    /// Does one call or waits once.
    fn advance(&mut self, fake: &mut Fake, fault: Fault) {
        match self.effects.pop() {
            Some(Effect::Finish(outcome)) => self.outcome = Some(outcome),
            Some(effect) => {
                if let Some(input) = fake.call(effect, fault) {
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

fn faults() -> impl proptest::strategy::Strategy<Value = Fault> {
    select(vec![
        Fault::None,
        Fault::None,
        Fault::Down,
        Fault::SilentAfter,
        Fault::LostBefore,
        Fault::LostAfter,
        Fault::LostLate,
        Fault::Rewritten,
    ])
}

proptest! {
    // Guards against an edit that one operator was told is accepted and the other one wrote over
    // without having edited it.
    #[test]
    fn apply_two_operators(
        turns in vec((any::<bool>(), faults()), 0..40),
        based in any::<bool>(),
    ) {
        let mut fake = Fake::with_versions(1);
        let base = Base::Version { version: Version(1), digest: None };
        let base = if based { base } else { Base::Current };
        let mut pair = [Operator::new("ann", base), Operator::new("bobby", base)];
        for (first, fault) in turns {
            let operator = &mut pair[usize::from(first)];
            if operator.outcome.is_none() {
                operator.advance(&mut fake, fault);
            }
        }
        for operator in &mut pair {
            // Bounded, so that a machine that does not end fails the test instead of holding it up.
            for _ in 0..1_000 {
                if operator.outcome.is_none() {
                    operator.advance(&mut fake, Fault::None);
                }
            }
        }
        fake.land_late();
        let written = |name: &str| {
            let digest = Digest::of(text(name).as_bytes());
            fake.history.iter().filter(|it| it.digest == digest).count()
        };
        for (name, operator) in ["ann", "bobby"].into_iter().zip(&pair) {
            let outcome = operator.outcome.as_ref().expect("ended");
            match kind(outcome) {
                "accepted" | "replaced" => assert_eq!(written(name), 1, "{outcome:?}"),
                "unknown" => assert!(written(name) <= 1, "{outcome:?}"),
                _ => assert_eq!(written(name), 0, "{outcome:?}"),
            }
        }
        if based {
            assert!(written("ann") + written("bobby") <= 1, "both replaced version 1");
        }
        for two in fake.history.windows(2) {
            assert_eq!(two[1].parent, two[0].digest, "an edit was written over unseen");
        }
    }
}
