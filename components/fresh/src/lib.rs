//! Proofs that a configuration is the newest, by which nodes stop accepting withdrawn keys in time.
