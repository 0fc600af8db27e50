//! Ledger of every execution of a request at a fake upstream.
//!
//! Each event is one line: `start RUN AT_US ID BOOKING SERVICE PATH`, `finish RUN AT_US`,
//! `cancel RUN AT_US` or `shed AT_US ID BOOKING`. RUN is the number of the execution, AT_US the wall
//! clock time in microseconds, ID the request id and BOOKING the number from the load generator.
//! Each line is written to the file in one call, so that the ledger of a killed process is complete.

use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::time::wall_clock_us;

/// Size limit of a ledger; at the limit it ends with the line `overflow`.
const MAX_BYTES: usize = 64_000_000;

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionEnd {
    Finished,
    Cancelled,
}

/// One execution of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Number of the execution at its upstream, from 1 on.
    pub number: u64,
    /// Request id that the node assigned.
    pub id: String,
    /// Number that the load generator assigned; 0 if the request has none.
    pub request_number: u64,
    pub service: String,
    pub path: String,
    /// Wall clock time of the start, in microseconds.
    pub started_us: u64,
    /// End and its wall clock time in microseconds; absent if the execution had not ended when the
    /// ledger was read.
    pub end: Option<(ExecutionEnd, u64)>,
}

/// Parses the executions of a ledger; an error contains the line that cannot be parsed.
pub fn parse(text: &str) -> Result<Vec<Execution>, String> {
    let mut executions: Vec<Execution> = Vec::new();
    for (index, line) in text.lines().enumerate() {
        parse_line(&mut executions, line)
            .ok_or_else(|| format!("ledger line {}: {line:?}", index + 1))?;
    }
    Ok(executions)
}

fn parse_line(executions: &mut Vec<Execution>, line: &str) -> Option<()> {
    let mut words = line.split(' ');
    let kind = words.next()?;
    if kind == "shed" {
        return Some(());
    }
    let number: u64 = words.next()?.parse().ok()?;
    let at_us: u64 = words.next()?.parse().ok()?;
    let end = match kind {
        "start" => {
            executions.push(Execution {
                number,
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
    // A number is assigned and its start line written under one lock, so that numbers ascend.
    let index = executions
        .binary_search_by_key(&number, |it| it.number)
        .ok()?;
    executions[index].end = Some((end, at_us));
    Some(())
}

/// Content of a ledger and its file.
struct LedgerState {
    text: String,
    file: Option<File>,
    next_number: u64,
    overflowed: bool,
}

/// Ledger of a running upstream.
pub struct Ledger {
    state: Mutex<LedgerState>,
}

impl Ledger {
    /// Creates an empty ledger, which is also written to a file if a path is given.
    pub fn create(path: Option<&Path>) -> io::Result<Self> {
        let file = path.map(File::create).transpose()?;
        Ok(Self {
            state: Mutex::new(LedgerState {
                text: String::new(),
                file,
                next_number: 1,
                overflowed: false,
            }),
        })
    }

    /// Records the start of an execution, which counts as cancelled if the guard is dropped before
    /// [`ExecutionGuard::finish`].
    pub fn record_start(
        self: &Arc<Self>,
        id: &str,
        request_number: u64,
        service: &str,
        path: &str,
    ) -> ExecutionGuard {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let number = state.next_number;
        state.next_number += 1;
        state.write(&format!(
            "start {number} {} {id} {request_number} {service} {path}\n",
            wall_clock_us()
        ));
        ExecutionGuard {
            ledger: Arc::clone(self),
            number,
            end: "cancel",
        }
    }

    /// Records a request that was shed instead of executed.
    pub fn record_shed(&self, id: &str, request_number: u64) {
        self.write(&format!("shed {} {id} {request_number}\n", wall_clock_us()));
    }

    /// Returns the lines that the ledger holds so far.
    pub fn text(&self) -> String {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.text.clone()
    }

    fn write(&self, line: &str) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.write(line);
    }
}

impl LedgerState {
    fn write(&mut self, line: &str) {
        if self.overflowed {
            return;
        }
        self.overflowed = self.text.len() + line.len() > MAX_BYTES;
        let line = if self.overflowed { "overflow\n" } else { line };
        self.text.push_str(line);
        if let Some(file) = &mut self.file
            && let Err(error) = file.write_all(line.as_bytes())
        {
            eprintln!("medlar-lab: cannot write the ledger file: {error}");
            self.file = None;
        }
    }
}

/// Guard of an execution that has not ended; dropping the guard records the end.
pub struct ExecutionGuard {
    ledger: Arc<Ledger>,
    number: u64,
    end: &'static str,
}

impl ExecutionGuard {
    /// Records the execution as finished.
    pub fn finish(mut self) {
        self.end = "finish";
    }
}

impl Drop for ExecutionGuard {
    fn drop(&mut self) {
        let line = format!("{} {} {}\n", self.end, self.number, wall_clock_us());
        self.ledger.write(&line);
    }
}
