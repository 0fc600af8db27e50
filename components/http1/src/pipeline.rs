//! Concurrent processing of the pipelined requests of a caller's connection.
//!
//! hyper decodes and encodes all messages of a connection, but calls the handler of a request only after
//! the response to the one before was written. [`ReadAheadStream`] stands between hyper and the socket:
//! it gives hyper one request at a time and starts safe requests behind it early, up to a limit. Once
//! hyper reaches such a request, its handler finds the started one in the connection's [`StartedQueue`]
//! and waits for that response. The order of the responses is therefore hyper's, and a request that was
//! not started early is served in its turn as if there were no pipeline.

mod splitter;
mod started_queue;
mod stream;

#[cfg(test)]
mod tests;

pub(crate) use started_queue::StartedQueue;
pub(crate) use started_queue::StartedRequest;
pub(crate) use stream::ReadAheadStream;
