//! Tests of rollouts in a simulated fleet with a store.

mod random;
mod rollouts;
mod support;
