//! `explain`: tells where a request goes and why.

use argh::FromArgs;
use serde_json::json;

use crate::context::Context;
use crate::fleet::ask_first;
use crate::http::encode;
use crate::http::get;
use crate::messages::End;
use crate::messages::Output;
use crate::messages::print_table;
use crate::messages::refused;
use crate::messages::say;
use admin::EndpointView;
use admin::Explanation;
use admin::RouteView;

/// Tell which route takes a request, with its rank and deadline, and which endpoints serve it, as
/// the asked node sees it.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "$ medlarctl --node 127.33.0.1:7003 explain GET /slots/monday"
)]
pub(crate) struct Args {
    #[argh(positional)]
    /// method, such as GET
    method: String,
    #[argh(positional)]
    /// path, with or without query
    path: String,
}

pub(crate) async fn run(context: &Context, args: &Args) -> End {
    let path = args.path.split('?').next().unwrap_or_default();
    let (method, path) = (encode(&args.method), encode(path));
    let query = format!("/explain?method={method}&path={path}");
    let ask = |address| {
        let query = query.clone();
        async move { get::<Explanation>(address, &query).await }
    };
    let found = match ask_first(context, ask).await {
        Ok(found) => found,
        Err(error) => return refused(context.output, &error),
    };
    if context.output == Output::Json {
        say(&json!(found).to_string());
    } else {
        print(args, &found);
    }
    if found.route.is_some() {
        End::Done
    } else {
        End::Refused
    }
}

fn print(args: &Args, found: &Explanation) {
    let Some(route) = &found.route else {
        say(&format!(
            "{} {}: no route: {}",
            args.method, args.path, found.reason
        ));
        return;
    };
    say(&format!("version {}: {}", found.version, describe(route)));
    say(&format!("why: {}", found.reason));
    for other in &found.passed_over {
        say(&format!("passed over: {}", describe(other)));
    }
    if found.endpoints.is_empty() {
        say("no endpoint of the service is known to this node");
        return;
    }
    let rows: Vec<_> = found.endpoints.iter().map(describe_choice).collect();
    let head = [
        "ENDPOINT",
        "NODE",
        "DOMAIN",
        "UPSTREAM",
        "SLOTS",
        "TAKES REQUESTS",
        "WHY",
    ];
    print_table(&head, &rows);
}

fn describe(route: &RouteView) -> String {
    let repeat = if route.idempotent { "can" } else { "cannot" };
    format!(
        "{} {} -> {}, rank {}, deadline {} ms, weight {}, {repeat} be repeated",
        route.method, route.path, route.service, route.rank, route.deadline_ms, route.weight
    )
}

fn describe_choice(choice: &EndpointView) -> Vec<String> {
    vec![
        choice.request_address.clone(),
        choice.node.clone(),
        choice.domain.clone(),
        choice.state.clone(),
        choice.slots.to_string(),
        if choice.takes_requests { "yes" } else { "no" }.to_owned(),
        choice.reason.clone(),
    ]
}
