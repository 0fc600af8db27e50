//! `explain`: shows which route and endpoints a request would be sent to, and why.

use argh::FromArgs;
use serde_json::json;

use crate::admin_client::get_json;
use crate::admin_client::percent_encode;
use crate::fleet::query_first;
use crate::options::GlobalOptions;
use crate::output::ExitStatus;
use crate::output::OutputFormat;
use crate::output::print_line;
use crate::output::print_refusal;
use crate::output::print_table;
use admin::EndpointView;
use admin::Explanation;
use admin::RouteView;

/// Show which route matches a request, with its rank and deadline, and the endpoints of its service, as
/// the queried node sees them.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "$ medlarctl --node 127.33.0.1:7003 explain GET /slots/monday"
)]
pub(crate) struct Args {
    #[argh(positional)]
    /// HTTP method, such as GET
    method: String,
    #[argh(positional)]
    /// path of the request; a query is ignored
    path: String,
}

pub(crate) async fn run(options: &GlobalOptions, args: &Args) -> ExitStatus {
    let path = args.path.split('?').next().unwrap_or_default();
    let (method, path) = (percent_encode(&args.method), percent_encode(path));
    let query = format!("/explain?method={method}&path={path}");
    let query_node = |address| {
        let query = query.clone();
        async move { get_json::<Explanation>(address, &query).await }
    };
    let explanation = match query_first(options, query_node).await {
        Ok(explanation) => explanation,
        Err(error) => return print_refusal(options.output_format, &error),
    };
    if options.output_format == OutputFormat::Json {
        print_line(&json!(explanation).to_string());
    } else {
        print_explanation(args, &explanation);
    }
    if explanation.route.is_some() {
        ExitStatus::Done
    } else {
        ExitStatus::Refused
    }
}

fn print_explanation(args: &Args, explanation: &Explanation) {
    let Some(route) = &explanation.route else {
        print_line(&format!(
            "{} {}: no route: {}",
            args.method, args.path, explanation.reason
        ));
        return;
    };
    print_line(&format!(
        "version {}: {}",
        explanation.version,
        describe_route(route)
    ));
    print_line(&format!("why: {}", explanation.reason));
    for other in &explanation.passed_over {
        print_line(&format!("passed over: {}", describe_route(other)));
    }
    if explanation.endpoints.is_empty() {
        print_line("no endpoint of the service is known to this node");
        return;
    }
    let rows: Vec<_> = explanation.endpoints.iter().map(format_row).collect();
    let column_headers = [
        "ENDPOINT",
        "NODE",
        "DOMAIN",
        "UPSTREAM",
        "SLOTS",
        "TAKES REQUESTS",
        "WHY",
    ];
    print_table(&column_headers, &rows);
}

fn describe_route(route: &RouteView) -> String {
    let can_or_cannot = if route.idempotent { "can" } else { "cannot" };
    format!(
        "{} {} -> {}, rank {}, deadline {} ms, weight {}, {can_or_cannot} be repeated",
        route.method, route.path, route.service, route.rank, route.deadline_ms, route.weight
    )
}

fn format_row(endpoint: &EndpointView) -> Vec<String> {
    vec![
        endpoint.request_address.clone(),
        endpoint.node.clone(),
        endpoint.domain.clone(),
        endpoint.state.clone(),
        endpoint.slots.to_string(),
        if endpoint.takes_requests { "yes" } else { "no" }.to_owned(),
        endpoint.reason.clone(),
    ]
}
