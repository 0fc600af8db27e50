//! Rollouts of new versions of a service.
