//! Scheduling of the link of an instance.
