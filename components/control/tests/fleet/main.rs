//! Fleets of control machines on one message queue: faults and measurements.

mod driver;
mod faults;
mod measure;
