//! `drain`: makes a node leave the fleet.

use std::net::SocketAddr;

use argh::FromArgs;
use hyper::Method;
use serde_json::json;

use crate::admin_client::send_request;
use crate::fleet::list_members;
use crate::options::GlobalOptions;
use crate::output::ExitStatus;
use crate::output::print_refusal;
use crate::output::print_result;

/// Make a node leave the fleet: it takes no new requests, finishes those that run, and exits.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "drain",
    example = "$ medlarctl drain 127.33.0.1:7003\n127.33.0.1:7003: draining",
    example = "$ medlarctl --node 127.33.0.2:7003 drain 5c1d2a90b3e4f607\n127.33.0.1:7003: draining"
)]
pub(crate) struct Args {
    #[argh(positional)]
    /// admin address of the node, or its id as printed by nodes
    target: String,
}

pub(crate) async fn run(options: &GlobalOptions, args: &Args) -> ExitStatus {
    let address = match find_address(options, &args.target).await {
        Ok(address) => address,
        Err(error) => return print_refusal(options.output_format, &error),
    };
    match send_request(address, Method::POST, "/drain").await {
        Ok(_) => {
            let value = json!({ "admin": address.to_string(), "draining": true });
            print_result(
                options.output_format,
                &format!("{address}: draining"),
                &value,
            );
            ExitStatus::Done
        }
        Err(error) => print_refusal(options.output_format, &error),
    }
}

/// Parses the target as an admin address, or else looks it up as the id of a member.
async fn find_address(options: &GlobalOptions, target: &str) -> Result<SocketAddr, String> {
    if let Ok(address) = target.parse() {
        return Ok(address);
    }
    let members = list_members(options).await?;
    let found = members.into_iter().find(|it| it.node == target);
    let found =
        found.ok_or_else(|| format!("no node has the id {target:?}; see medlarctl nodes"))?;
    let admin = found.admin;
    admin
        .parse()
        .map_err(|_| format!("{admin:?} is not an address"))
}
