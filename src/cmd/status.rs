//! `status`: shows how many nodes have a configuration version in force.

use std::cmp::Reverse;
use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use serde_json::json;
use tokio::time::sleep;

use crate::fleet::FleetNode;
use crate::fleet::is_live;
use crate::fleet::list_members;
use crate::fleet::query_statuses;
use crate::options::GlobalOptions;
use crate::output::ExitStatus;
use crate::output::eprint_line;
use crate::output::print_refusal;
use crate::output::print_result;
use crate::store_client::read_accepted_record;
use admin::LimitUsage;
use admin::RolloutView;

/// Pause between two polls of the fleet with --wait.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of lagging nodes that are listed by name; the others are only counted.
const MAX_NAMED_NODES: usize = 10;
/// Maximum number of organisations that are listed with the use of their rate limit.
const MAX_NAMED_ORGANISATIONS: usize = 16;

/// Show how many live nodes have the accepted version in force, and list those that lag.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "status",
    note = "Exits with code 1 if a live node lags; with --wait, only after the time limit.",
    example = "$ medlarctl --node 127.33.0.1:7003 status --wait\nversion 8 is in force on 12 of 12 live nodes"
)]
pub(crate) struct Args {
    #[argh(switch)]
    /// wait until every live node has the version
    wait: bool,
    #[argh(option)]
    /// version to check for (default: the accepted one)
    version: Option<u64>,
    #[argh(option, default = "60")]
    /// longest time to wait in seconds (default 60)
    time_limit: u64,
}

/// How many live nodes have a version in force, as of the last poll.
struct RolloutProgress {
    /// The version whose rollout is observed.
    version: u64,
    /// Live members of the fleet.
    live_count: usize,
    /// Descriptions of the live nodes that have an older version or did not respond.
    lagging: Vec<String>,
    /// Highest version that any node reported.
    highest_version: u64,
    /// Ids of the nodes that have reached the version. They are not queried again, because the version
    /// of a node never decreases.
    up_to_date_ids: Vec<String>,
    /// Use of rate limits that the nodes have reported last, each with the id of its node.
    limit_usages: Vec<(String, LimitUsage)>,
    /// Rollouts of services' versions, as the node knows them that answered last.
    rollouts: Vec<RolloutView>,
}

pub(crate) async fn run(options: &GlobalOptions, args: &Args) -> ExitStatus {
    let version = match args.version {
        Some(version) => version,
        None => match read_accepted_record(options.store_address).await {
            Ok(record) => record.version.0,
            Err(error) => {
                let message = format!("{error}; name the version with --version N");
                return print_refusal(options.output_format, &message);
            }
        },
    };
    let start = Instant::now();
    let time_limit = Duration::from_secs(args.time_limit);
    let mut progress = RolloutProgress::new(version);
    let mut last_line = String::new();
    loop {
        let poll_result = progress.poll(options).await;
        let is_last_poll = !args.wait || start.elapsed() >= time_limit;
        match poll_result {
            Ok(()) if is_last_poll || progress.is_complete() => return progress.report(options),
            Err(error) if is_last_poll || options.admin_addresses.is_empty() => {
                return print_refusal(options.output_format, &error);
            }
            poll_result => {
                // An error is retried, because the queried node may be restarting.
                let line = poll_result.map_or_else(|error| error, |()| progress.describe());
                if line != last_line {
                    eprint_line(&line);
                    last_line = line;
                }
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

impl RolloutProgress {
    fn new(version: u64) -> Self {
        Self {
            version,
            live_count: 0,
            lagging: Vec::new(),
            highest_version: 0,
            up_to_date_ids: Vec::new(),
            limit_usages: Vec::new(),
            rollouts: Vec::new(),
        }
    }

    /// Queries the live nodes that had not reached the version at the last poll.
    async fn poll(&mut self, options: &GlobalOptions) -> Result<(), String> {
        let mut members = list_members(options).await?;
        members.retain(is_live);
        self.live_count = members.len();
        members.retain(|member| !self.up_to_date_ids.contains(&member.node));
        let nodes = query_statuses(members).await;
        nodes.iter().for_each(|node| self.record_limit_usage(node));
        let mut statuses = nodes.iter().filter_map(|it| it.status.as_ref().ok());
        if let Some(status) = statuses.find(|it| !it.rollouts.is_empty()) {
            self.rollouts = status.rollouts.clone();
        }
        let versions = nodes.iter().filter_map(FleetNode::version);
        self.highest_version = versions.fold(self.highest_version, u64::max);
        let is_up_to_date = |node: &&FleetNode| node.version().is_some_and(|it| it >= self.version);
        let (up_to_date, lagging): (Vec<&FleetNode>, Vec<&FleetNode>) =
            nodes.iter().partition(is_up_to_date);
        self.up_to_date_ids
            .extend(up_to_date.iter().map(|node| node.member.node.clone()));
        self.lagging = lagging
            .iter()
            .map(|node| describe_lagging_node(node))
            .collect();
        Ok(())
    }

    fn record_limit_usage(&mut self, node: &FleetNode) {
        let Ok(status) = &node.status else {
            return;
        };
        let id = &node.member.node;
        self.limit_usages.retain(|(other, _)| other != id);
        let usages = status.organisations.iter().cloned();
        self.limit_usages.extend(usages.map(|it| (id.clone(), it)));
    }

    /// Use of each organisation's limit at all nodes together, the most used first.
    fn sum_limit_usages(&self) -> Vec<LimitUsage> {
        let mut usages: Vec<LimitUsage> = self.limit_usages.iter().map(|it| it.1.clone()).collect();
        usages.sort_by(|one, other| one.name.cmp(&other.name));
        usages.dedup_by(|next, kept| {
            let is_same = next.name == kept.name;
            if is_same {
                kept.used_percent = kept.used_percent.saturating_add(next.used_percent);
            }
            is_same
        });
        usages.sort_by_key(|it| Reverse(it.used_percent));
        usages.truncate(MAX_NAMED_ORGANISATIONS);
        usages
    }

    fn is_complete(&self) -> bool {
        self.live_count > 0 && self.lagging.is_empty()
    }

    fn describe(&self) -> String {
        let up_to_date = self.live_count - self.lagging.len();
        let mut line = format!(
            "version {} is in force on {up_to_date} of {} live nodes",
            self.version, self.live_count
        );
        if !self.lagging.is_empty() {
            let named: Vec<_> = self
                .lagging
                .iter()
                .take(MAX_NAMED_NODES)
                .map(String::as_str)
                .collect();
            line += &format!("; lagging: {}", named.join(", "));
        }
        if self.lagging.len() > MAX_NAMED_NODES {
            line += &format!(" and {} more", self.lagging.len() - MAX_NAMED_NODES);
        }
        if self.highest_version > self.version {
            line += &format!(
                "; the highest version of a node is {}",
                self.highest_version
            );
        }
        line
    }

    fn report(&self, options: &GlobalOptions) -> ExitStatus {
        let usages = self.sum_limit_usages();
        let mut text = self.describe();
        for usage in &usages {
            let LimitUsage { name, used_percent } = usage;
            text += &format!("\norganisation {name} uses {used_percent}% of its rate limit");
        }
        for rollout in &self.rollouts {
            text += &describe_rollout(rollout);
        }
        let value = json!({
            "version": self.version,
            "live": self.live_count,
            "lagging": self.lagging,
            "highest": self.highest_version,
            "complete": self.is_complete(),
            "organisations": usages,
            "rollouts": self.rollouts,
        });
        print_result(options.output_format, &text, &value);
        if self.is_complete() {
            ExitStatus::Done
        } else {
            ExitStatus::Refused
        }
    }
}

/// A line about the established version of a service and its newest order.
fn describe_rollout(rollout: &RolloutView) -> String {
    let RolloutView {
        service,
        established,
        target,
        phase,
        halted,
    } = rollout;
    if target.is_empty() {
        return format!("\n{service}: version {established} is established");
    }
    let halted = if *halted { ", halted" } else { "" };
    format!(
        "\n{service}: version {established} is established, rollout of {target} {phase}{halted}"
    )
}

fn describe_lagging_node(node: &FleetNode) -> String {
    let state = match &node.status {
        Ok(status) => format!("version {}", status.version),
        Err(_) => "no answer".to_owned(),
    };
    format!("{} ({}, {state})", node.member.admin, node.member.domain)
}
