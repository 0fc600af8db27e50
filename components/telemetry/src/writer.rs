//! Writing of log lines without ever waiting for their reader.

use std::io;
use std::io::Write;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::Duration;

/// Lines that wait for the reader of standard output; about a quarter of a megabyte.
const MAX_WAITING: usize = 1_024;
/// Longest wait for the last lines of a process.
const LAST_LINES: Duration = Duration::from_millis(200);

/// Lines that were dropped because the reader is too slow.
static DROPPED: AtomicU64 = AtomicU64::new(0);
static LINES: OnceLock<SyncSender<Message>> = OnceLock::new();

enum Message {
    Line(Vec<u8>),
    /// Tells when all lines before it were written.
    Barrier(SyncSender<()>),
}

/// Lines that were dropped because the reader of the logs is too slow.
pub fn dropped_line_count() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Waits for a moment until the lines so far are written; for the end of a process.
pub fn flush_logs() {
    let Some(lines) = LINES.get() else {
        return;
    };
    let (done, written) = mpsc::sync_channel(1);
    if lines.try_send(Message::Barrier(done)).is_ok() {
        // A reader that is slower than this loses the last lines.
        let _ = written.recv_timeout(LAST_LINES);
    }
}

/// Hands lines to a thread of its own, which writes them to standard output.
#[derive(Debug)]
pub(crate) struct Output;

impl Output {
    /// Starts the writing thread.
    pub(crate) fn start() -> io::Result<Self> {
        let (lines, waiting) = mpsc::sync_channel(MAX_WAITING);
        let write = move || {
            let mut out = io::stdout().lock();
            while let Ok(message) = waiting.recv() {
                match message {
                    Message::Line(line) => {
                        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
                            DROPPED.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                    // Whoever asked has room for the one answer, or has left.
                    Message::Barrier(done) => drop(done.try_send(())),
                }
            }
        };
        thread::Builder::new().name("logs".into()).spawn(write)?;
        // A second logger is refused by `log`, so that the first sender is the one in use.
        let _ = LINES.set(lines);
        Ok(Self)
    }
}

impl Write for Output {
    /// Takes one line, as the logger writes it.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let message = Message::Line(line.to_vec());
        let sent = LINES.get().map(|lines| lines.try_send(message));
        if !matches!(sent, Some(Ok(()))) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
