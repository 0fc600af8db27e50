//! Writes log lines to standard output without blocking the threads that log.
//!
//! Lines are dropped and counted if the reader of standard output is too slow.

use std::io;
use std::io::Write;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::Duration;

/// Maximum number of lines in the queue; together they take about 250 kB.
const QUEUE_CAPACITY: usize = 1_024;
/// Maximum time for which [`flush_logs`] waits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Number of lines that were dropped, because the queue was full or the write failed.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
/// Queue to the writer thread, once logging has started.
static LINE_QUEUE: OnceLock<SyncSender<WriterMessage>> = OnceLock::new();

/// Message to the writer thread.
enum WriterMessage {
    /// Write this line.
    Line(Vec<u8>),
    /// Report when all earlier lines have been written.
    Flush(SyncSender<()>),
}

/// Returns the number of log lines that were dropped because the reader of the logs is too slow or
/// gone.
pub fn dropped_line_count() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Waits up to 200 ms until all lines logged so far are written. Called before the process ends.
pub fn flush_logs() {
    let Some(queue) = LINE_QUEUE.get() else {
        return;
    };
    let (flushed, flush_done) = mpsc::sync_channel(1);
    if queue.try_send(WriterMessage::Flush(flushed)).is_ok() {
        // If the reader is slower than the timeout, the last lines are lost.
        let _ = flush_done.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Passes lines to a dedicated thread, which writes them to standard output.
#[derive(Debug)]
pub(crate) struct StdoutWriter;

impl StdoutWriter {
    /// Starts the writer thread.
    pub(crate) fn start() -> io::Result<Self> {
        let (queue, receiver) = mpsc::sync_channel(QUEUE_CAPACITY);
        let write_loop = move || {
            let mut out = io::stdout().lock();
            while let Ok(message) = receiver.recv() {
                match message {
                    WriterMessage::Line(line) => {
                        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
                            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                    // The channel has room for this one report, so sending fails only if
                    // `flush_logs` has timed out.
                    WriterMessage::Flush(flushed) => drop(flushed.try_send(())),
                }
            }
        };
        thread::Builder::new()
            .name("logs".into())
            .spawn(write_loop)?;
        // `log` accepts only the first logger, so the queue of the first one stays in use.
        let _ = LINE_QUEUE.set(queue);
        Ok(Self)
    }
}

impl Write for StdoutWriter {
    /// Queues one line; the logger writes each line with one call.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let message = WriterMessage::Line(line.to_vec());
        let sent = LINE_QUEUE.get().map(|queue| queue.try_send(message));
        if !matches!(sent, Some(Ok(()))) {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
