//! `trace`: tells the story of a request from the logs of the nodes.

use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;

use argh::FromArgs;
use serde_json::Map;
use serde_json::Value;

use crate::context::Context;
use crate::messages::End;
use crate::messages::Output;
use crate::messages::print_table;
use crate::messages::refused;
use crate::messages::say;

/// Join the log lines of all nodes about a request, and what the nodes that it was sent to
/// went through around it.
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
    /// seconds before the request from which events of its nodes are shown (default 10)
    around_s: u64,
}

/// An ejection or a loss of a member shows in requests some seconds later at most.
const DEFAULT_AROUND_S: u64 = 10;
/// Events about a node that can explain what came of a request.
const NODE_EVENTS: [&str; 3] = ["ejected", "member", "readmitted"];
/// Events of a node about itself that can explain what came of a request.
const OWN_EVENTS: [&str; 2] = ["configuration", "dependency"];
/// Fields that have a column of their own or say the same on each line.
const HIDDEN: [&str; 9] = [
    "domain", "event", "held", "instance", "level", "message", "module", "request", "time_ms",
];
const HEAD: [&str; 4] = ["MS", "INSTANCE", "EVENT", "FIELDS"];

type Line = Map<String, Value>;

pub(crate) fn run(context: &Context, args: &Args) -> End {
    let lines = match read_all(&args.logs) {
        Ok(lines) => lines,
        Err(message) => return refused(context.output, &message),
    };
    let story = join(&lines, &args.request, args.around_s);
    if story.is_empty() {
        let message = format!(
            "no line names request {}; lines of requests that succeed are limited",
            args.request
        );
        return refused(context.output, &message);
    }
    match context.output {
        Output::Json => say(&Value::from_iter(story.into_iter().cloned()).to_string()),
        Output::Table => {
            let start = story.iter().find(|line| is_about(line, &args.request));
            let start = start.map_or(0, |line| time_ms(line));
            let rows: Vec<_> = story.iter().map(|line| describe(line, start)).collect();
            print_table(&HEAD, &rows);
        }
    }
    End::Done
}

fn read_all(logs: &[PathBuf]) -> Result<Vec<Line>, String> {
    let mut lines = Vec::new();
    if logs.is_empty() {
        read(io::stdin().lock(), &mut lines).map_err(|error| format!("standard input: {error}"))?;
    }
    for path in logs {
        File::open(path)
            .and_then(|file| read(BufReader::new(file), &mut lines))
            .map_err(|error| format!("{} cannot be read: {error}", path.display()))?;
    }
    Ok(lines)
}

/// Adds the lines that hold a JSON object; a collector may have put text before it.
fn read(input: impl BufRead, lines: &mut Vec<Line>) -> io::Result<()> {
    for line in input.lines() {
        let line = line?;
        let object = line.find('{').map(|at| &line[at..]).unwrap_or_default();
        // Other programs may write to the same file.
        if let Ok(Value::Object(fields)) = serde_json::from_str(object) {
            lines.push(fields);
        }
    }
    Ok(())
}

/// The lines about a request, and those that can explain them, by time.
fn join<'a>(lines: &'a [Line], request: &str, around_s: u64) -> Vec<&'a Line> {
    let own: Vec<&Line> = lines.iter().filter(|it| is_about(it, request)).collect();
    let times = || own.iter().map(|line| time_ms(line));
    let (Some(first), Some(last)) = (times().min(), times().max()) else {
        return Vec::new();
    };
    let first = first.saturating_sub(around_s.saturating_mul(1_000));
    let (nodes, instances) = (values(&own, "node"), values(&own, "instance"));
    let explains = |line: &Line| {
        let event = text(line, "event").unwrap_or_default();
        let touches = |known: &[&str], field| {
            text(line, field).is_some_and(|name| known.binary_search(&name).is_ok())
        };
        (first..=last).contains(&time_ms(line))
            && touches(&instances, "instance")
            && (OWN_EVENTS.contains(&event)
                || (NODE_EVENTS.contains(&event) && touches(&nodes, "node")))
    };
    let mut story = own;
    story.extend(lines.iter().filter(|line| explains(line)));
    story.sort_by_key(|line| time_ms(line));
    story
}

/// The values of a field in some lines, sorted.
fn values<'a>(lines: &[&'a Line], field: &str) -> Vec<&'a str> {
    let mut values: Vec<&str> = lines.iter().filter_map(|it| text(it, field)).collect();
    values.sort_unstable();
    values.dedup();
    values
}

fn describe(line: &&Line, start: u64) -> Vec<String> {
    let shown = |name: &str| text(line, name).unwrap_or("-").to_owned();
    let after = i128::from(time_ms(line)) - i128::from(start);
    let fields: Vec<String> = line
        .iter()
        .filter(|(name, _)| !HIDDEN.contains(&name.as_str()))
        .map(|(name, value)| match value {
            Value::String(text) if text.contains(' ') => format!("{name}={text:?}"),
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        })
        .collect();
    vec![
        after.to_string(),
        shown("instance"),
        shown("event"),
        fields.join(" "),
    ]
}

fn is_about(line: &Line, request: &str) -> bool {
    text(line, "request") == Some(request)
}

fn text<'a>(line: &'a Line, name: &str) -> Option<&'a str> {
    line.get(name)?.as_str()
}

/// Time of the line by the clock of its machine, which may differ from those of others.
fn time_ms(line: &Line) -> u64 {
    line.get("time_ms")
        .and_then(Value::as_u64)
        .unwrap_or_default()
}
