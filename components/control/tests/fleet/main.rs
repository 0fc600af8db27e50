//! Simulated fleets of control state machines: tests under faults, and measurements.

mod driver;
mod faults;
mod measure;
