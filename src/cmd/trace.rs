//! `trace`: builds the timeline of a request from the log files of several nodes.

use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;

use argh::FromArgs;
use serde_json::Map;
use serde_json::Value;

use crate::options::GlobalOptions;
use crate::output::ExitStatus;
use crate::output::OutputFormat;
use crate::output::print_line;
use crate::output::print_refusal;
use crate::output::print_table;

/// Merge the log lines of all nodes about a request with the events that affected these nodes at that
/// time.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "trace",
    example = "$ medlarctl trace 597af9d7cad37ca7 node-*.log"
)]
pub(crate) struct Args {
    #[argh(positional)]
    /// id of the request as its caller sent it
    request: String,
    #[argh(positional)]
    /// log files of the nodes; without any, standard input is read
    logs: Vec<PathBuf>,
    #[argh(option, default = "DEFAULT_AROUND_S")]
    /// seconds before the request from which on events of its nodes are shown (default 10)
    around_s: u64,
}

/// Default of --around-s in seconds. An ejection or the loss of a member affects requests within a few
/// seconds.
const DEFAULT_AROUND_S: u64 = 10;
/// Events that a node logs about another node and that can explain the outcome of a request.
const PEER_EVENTS: [&str; 3] = ["ejected", "member", "readmitted"];
/// Events that a node logs about itself and that can explain the outcome of a request.
const LOCAL_EVENTS: [&str; 2] = ["configuration", "dependency"];
/// Log fields left out of the column FIELDS: they have their own column or add nothing to a line.
const OMITTED_FIELDS: [&str; 9] = [
    "domain", "event", "held", "instance", "level", "message", "module", "request", "time_ms",
];
const COLUMN_HEADERS: [&str; 4] = ["MS", "INSTANCE", "EVENT", "FIELDS"];

/// Fields of a log line.
type LogLine = Map<String, Value>;

pub(crate) fn run(options: &GlobalOptions, args: &Args) -> ExitStatus {
    let lines = match read_logs(&args.logs) {
        Ok(lines) => lines,
        Err(message) => return print_refusal(options.output_format, &message),
    };
    let timeline = build_timeline(&lines, &args.request, args.around_s);
    if timeline.is_empty() {
        let message = format!(
            "no line names request {}; lines of requests that succeed are limited",
            args.request
        );
        return print_refusal(options.output_format, &message);
    }
    match options.output_format {
        OutputFormat::Json => {
            print_line(&Value::from_iter(timeline.into_iter().cloned()).to_string())
        }
        OutputFormat::Table => {
            let first_line = timeline
                .iter()
                .find(|line| is_about_request(line, &args.request));
            let start_ms = first_line.map_or(0, |line| time_ms(line));
            let rows: Vec<_> = timeline
                .iter()
                .map(|line| format_row(line, start_ms))
                .collect();
            print_table(&COLUMN_HEADERS, &rows);
        }
    }
    ExitStatus::Done
}

fn read_logs(logs: &[PathBuf]) -> Result<Vec<LogLine>, String> {
    let mut lines = Vec::new();
    if logs.is_empty() {
        parse_lines(io::stdin().lock(), &mut lines)
            .map_err(|error| format!("standard input: {error}"))?;
    }
    for path in logs {
        File::open(path)
            .and_then(|file| parse_lines(BufReader::new(file), &mut lines))
            .map_err(|error| format!("{} cannot be read: {error}", path.display()))?;
    }
    Ok(lines)
}

/// Appends the lines that contain a JSON object. A log collector may have put text before the object.
fn parse_lines(input: impl BufRead, lines: &mut Vec<LogLine>) -> io::Result<()> {
    for line in input.lines() {
        let line = line?;
        let object = line.find('{').map(|at| &line[at..]).unwrap_or_default();
        // Lines of other programs in the same file are skipped.
        if let Ok(Value::Object(fields)) = serde_json::from_str(object) {
            lines.push(fields);
        }
    }
    Ok(())
}

/// Selects the lines about a request, and the related events from `around_s` seconds before the first
/// of them to the last; returns them sorted by time.
///
/// Related events were logged by an instance that also logged about the request, and concern that
/// instance or a node that the request was sent to.
fn build_timeline<'a>(lines: &'a [LogLine], request: &str, around_s: u64) -> Vec<&'a LogLine> {
    let request_lines: Vec<&LogLine> = lines
        .iter()
        .filter(|it| is_about_request(it, request))
        .collect();
    let times = || request_lines.iter().map(|line| time_ms(line));
    let (Some(first), Some(last)) = (times().min(), times().max()) else {
        return Vec::new();
    };
    let first = first.saturating_sub(around_s.saturating_mul(1_000));
    let (nodes, instances) = (
        distinct_values(&request_lines, "node"),
        distinct_values(&request_lines, "instance"),
    );
    let is_related = |line: &LogLine| {
        let event = string_field(line, "event").unwrap_or_default();
        let has_value_in = |sorted_values: &[&str], field| {
            string_field(line, field).is_some_and(|name| sorted_values.binary_search(&name).is_ok())
        };
        (first..=last).contains(&time_ms(line))
            && has_value_in(&instances, "instance")
            && (LOCAL_EVENTS.contains(&event)
                || (PEER_EVENTS.contains(&event) && has_value_in(&nodes, "node")))
    };
    let mut timeline = request_lines;
    timeline.extend(lines.iter().filter(|line| is_related(line)));
    timeline.sort_by_key(|line| time_ms(line));
    timeline
}

/// Distinct values of a field in the lines, sorted.
fn distinct_values<'a>(lines: &[&'a LogLine], field: &str) -> Vec<&'a str> {
    let mut values: Vec<&str> = lines
        .iter()
        .filter_map(|it| string_field(it, field))
        .collect();
    values.sort_unstable();
    values.dedup();
    values
}

/// Cells of the table row for a line; `start` is the time of the first line about the request in
/// milliseconds.
fn format_row(line: &&LogLine, start_ms: u64) -> Vec<String> {
    let value_or_dash = |name: &str| string_field(line, name).unwrap_or("-").to_owned();
    let offset_ms = i128::from(time_ms(line)) - i128::from(start_ms);
    let fields: Vec<String> = line
        .iter()
        .filter(|(name, _)| !OMITTED_FIELDS.contains(&name.as_str()))
        .map(|(name, value)| match value {
            Value::String(text) if text.contains(' ') => format!("{name}={text:?}"),
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        })
        .collect();
    vec![
        offset_ms.to_string(),
        value_or_dash("instance"),
        value_or_dash("event"),
        fields.join(" "),
    ]
}

fn is_about_request(line: &LogLine, request: &str) -> bool {
    string_field(line, "request") == Some(request)
}

fn string_field<'a>(line: &'a LogLine, name: &str) -> Option<&'a str> {
    line.get(name)?.as_str()
}

/// Time of the line in milliseconds by the clock of the machine that logged it; clocks of different
/// machines may differ.
fn time_ms(line: &LogLine) -> u64 {
    line.get("time_ms")
        .and_then(Value::as_u64)
        .unwrap_or_default()
}
