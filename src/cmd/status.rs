//! `status`: tells which version is in force where.

use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use serde_json::json;
use tokio::time::sleep;

use crate::context::Context;
use crate::fleet::Node;
use crate::fleet::ask_each;
use crate::fleet::is_live;
use crate::fleet::list_members;
use crate::messages::End;
use crate::messages::refused;
use crate::messages::tell;
use crate::messages::warn;
use crate::stock::read_record;

/// Pause between two looks at the fleet.
const PAUSE: Duration = Duration::from_millis(500);
/// Lagging nodes that are named; the rest is counted.
const NAMED: usize = 10;

/// Tell how many live nodes have the accepted version, and name those that lag.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "status",
    note = "Ends with exit code 1 if a live node lags, with --wait only after the time limit.",
    example = "$ medlarctl --node 127.33.0.1:7003 status --wait\nversion 8 is in force on 12 of 12 live nodes"
)]
pub(crate) struct Args {
    #[argh(switch)]
    /// wait until every live node has the version
    wait: bool,
    #[argh(option)]
    /// version to look for (default: the accepted one)
    version: Option<u64>,
    #[argh(option, default = "60")]
    /// seconds to wait (default 60)
    time_limit: u64,
}

/// How far a version has come.
struct Progress {
    version: u64,
    live: usize,
    lagging: Vec<String>,
    /// Highest version of a node.
    highest: u64,
    /// Ids of the nodes that have it. They are not asked again, because versions only rise.
    have: Vec<String>,
}

pub(crate) async fn run(context: &Context, args: &Args) -> End {
    let version = match args.version {
        Some(version) => version,
        None => match read_record(context.store).await {
            Ok(record) => record.version.0,
            Err(error) => {
                let message = format!("{error}; name the version with --version N");
                return refused(context.output, &message);
            }
        },
    };
    let start = Instant::now();
    let limit = Duration::from_secs(args.time_limit);
    let mut progress = Progress::new(version);
    let mut shown = String::new();
    loop {
        let looked = progress.look(context).await;
        let over = !args.wait || start.elapsed() >= limit;
        match looked {
            Ok(()) if over || progress.is_complete() => return progress.report(context),
            Err(error) if over || context.nodes.is_empty() => {
                return refused(context.output, &error);
            }
            looked => {
                // The node that is asked may just be restarting.
                let line = looked.map_or_else(|error| error, |()| progress.describe());
                if line != shown {
                    warn(&line);
                    shown = line;
                }
            }
        }
        sleep(PAUSE).await;
    }
}

impl Progress {
    fn new(version: u64) -> Self {
        Self {
            version,
            live: 0,
            lagging: Vec::new(),
            highest: 0,
            have: Vec::new(),
        }
    }

    /// Asks the nodes that did not have the version when they were asked last.
    async fn look(&mut self, context: &Context) -> Result<(), String> {
        let mut members = list_members(context).await?;
        members.retain(is_live);
        self.live = members.len();
        members.retain(|member| !self.have.contains(&member.node));
        let nodes = ask_each(members).await;
        let versions = nodes.iter().filter_map(Node::version);
        self.highest = versions.fold(self.highest, u64::max);
        let has = |node: &&Node| node.version().is_some_and(|it| it >= self.version);
        let (have, lag): (Vec<&Node>, Vec<&Node>) = nodes.iter().partition(has);
        self.have
            .extend(have.iter().map(|node| node.member.node.clone()));
        self.lagging = lag.iter().map(|node| describe_lag(node)).collect();
        Ok(())
    }

    fn is_complete(&self) -> bool {
        self.live > 0 && self.lagging.is_empty()
    }

    fn describe(&self) -> String {
        let have = self.live - self.lagging.len();
        let mut line = format!(
            "version {} is in force on {have} of {} live nodes",
            self.version, self.live
        );
        if !self.lagging.is_empty() {
            let named: Vec<_> = self
                .lagging
                .iter()
                .take(NAMED)
                .map(String::as_str)
                .collect();
            line += &format!("; lagging: {}", named.join(", "));
        }
        if self.lagging.len() > NAMED {
            line += &format!(" and {} more", self.lagging.len() - NAMED);
        }
        if self.highest > self.version {
            line += &format!("; the highest version of a node is {}", self.highest);
        }
        line
    }

    fn report(&self, context: &Context) -> End {
        let value = json!({
            "version": self.version,
            "live": self.live,
            "lagging": self.lagging,
            "highest": self.highest,
            "complete": self.is_complete(),
        });
        tell(context.output, &self.describe(), &value);
        if self.is_complete() {
            End::Done
        } else {
            End::Refused
        }
    }
}

fn describe_lag(node: &Node) -> String {
    let state = match &node.status {
        Ok(status) => format!("version {}", status.version),
        Err(_) => "no answer".to_owned(),
    };
    format!("{} ({}, {state})", node.member.admin, node.member.domain)
}
