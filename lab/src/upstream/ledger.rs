//! Ledger of every run at a stand-in upstream.
//!
//! One line an event: `start RUN AT_US ID BOOKING SERVICE PATH`, `finish RUN AT_US`,
//! `cancel RUN AT_US`, `shed AT_US ID BOOKING`. Each line goes to the file in one write, so that the
//! ledger of a killed process is complete.

use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::time::wall_clock_us;

/// Longest ledger; the last line of a longer one is `overflow`.
const MAX_BYTES: usize = 64_000_000;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionEnd {
    Finished,
    Cancelled,
}

/// One run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Number of the run at its upstream.
    pub run: u64,
    /// Request id that the node gave.
    pub id: String,
    /// Number that the load generator gave; 0 if there is none.
    pub request_number: u64,
    pub service: String,
    pub path: String,
    pub started_us: u64,
    /// Absent if the run had not ended when the ledger was read.
    pub end: Option<(ExecutionEnd, u64)>,
}

/// Reads the runs of a ledger; an error says which line cannot be read.
pub fn parse(text: &str) -> Result<Vec<Execution>, String> {
    let mut executions: Vec<Execution> = Vec::new();
    for (at, line) in text.lines().enumerate() {
        read_line(&mut executions, line)
            .ok_or_else(|| format!("ledger line {}: {line:?}", at + 1))?;
    }
    Ok(executions)
}

fn read_line(executions: &mut Vec<Execution>, line: &str) -> Option<()> {
    let mut words = line.split(' ');
    let kind = words.next()?;
    if kind == "shed" {
        return Some(());
    }
    let run: u64 = words.next()?.parse().ok()?;
    let at_us: u64 = words.next()?.parse().ok()?;
    let end = match kind {
        "start" => {
            executions.push(Execution {
                run,
                id: words.next()?.to_owned(),
                request_number: words.next()?.parse().ok()?,
                service: words.next()?.to_owned(),
                path: words.next()?.to_owned(),
                started_us: at_us,
                end: None,
            });
            return Some(());
        }
        "finish" => ExecutionEnd::Finished,
        "cancel" => ExecutionEnd::Cancelled,
        _ => return None,
    };
    // Lines of concurrent runs are written under one lock, so numbers rise.
    let at = executions.binary_search_by_key(&run, |it| it.run).ok()?;
    executions[at].end = Some((end, at_us));
    Some(())
}

struct Inner {
    text: String,
    file: Option<File>,
    next: u64,
    full: bool,
}

/// Ledger that is being written.
pub struct Ledger {
    inner: Mutex<Inner>,
}

impl Ledger {
    /// An empty ledger, also kept in a file if a path is given.
    pub fn create(path: Option<&Path>) -> io::Result<Self> {
        let file = path.map(File::create).transpose()?;
        Ok(Self {
            inner: Mutex::new(Inner {
                text: String::new(),
                file,
                next: 1,
                full: false,
            }),
        })
    }

    /// Notes the start of a run; the run counts as cancelled unless it is finished.
    pub fn start(
        self: &Arc<Self>,
        id: &str,
        request_number: u64,
        service: &str,
        path: &str,
    ) -> Running {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let run = inner.next;
        inner.next += 1;
        inner.write(&format!(
            "start {run} {} {id} {request_number} {service} {path}\n",
            wall_clock_us()
        ));
        Running {
            ledger: Arc::clone(self),
            run,
            end: "cancel",
        }
    }

    /// Notes a request that was not run.
    pub fn shed(&self, id: &str, request_number: u64) {
        self.write(&format!("shed {} {id} {request_number}\n", wall_clock_us()));
    }

    /// The ledger so far.
    pub fn text(&self) -> String {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.text.clone()
    }

    fn write(&self, line: &str) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.write(line);
    }
}

impl Inner {
    fn write(&mut self, line: &str) {
        if self.full {
            return;
        }
        self.full = self.text.len() + line.len() > MAX_BYTES;
        let line = if self.full { "overflow\n" } else { line };
        self.text.push_str(line);
        if let Some(file) = &mut self.file
            && let Err(error) = file.write_all(line.as_bytes())
        {
            eprintln!("medlar-lab: ledger file: {error}");
            self.file = None;
        }
    }
}

/// A run that has not ended; dropping it notes its end.
pub struct Running {
    ledger: Arc<Ledger>,
    run: u64,
    end: &'static str,
}

impl Running {
    /// The run is complete.
    pub fn finish(mut self) {
        self.end = "finish";
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let line = format!("{} {} {}\n", self.end, self.run, wall_clock_us());
        self.ledger.write(&line);
    }
}
