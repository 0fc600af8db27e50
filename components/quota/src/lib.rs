//! Rate limits of organisations, which all nodes keep together.
