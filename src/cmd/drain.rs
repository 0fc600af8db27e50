//! `drain`: asks a node to leave.

use std::net::SocketAddr;

use argh::FromArgs;
use hyper::Method;
use serde_json::json;

use crate::context::Context;
use crate::fleet::list_members;
use crate::http::call;
use crate::messages::End;
use crate::messages::refused;
use crate::messages::tell;

/// Ask a node to leave: it takes no new requests, finishes those that run, and ends.
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
    /// admin address of the node, or its id as nodes prints it
    target: String,
}

pub(crate) async fn run(context: &Context, args: &Args) -> End {
    let address = match find_address(context, &args.target).await {
        Ok(address) => address,
        Err(error) => return refused(context.output, &error),
    };
    match call(address, Method::POST, "/drain").await {
        Ok(_) => {
            let value = json!({ "admin": address.to_string(), "draining": true });
            tell(context.output, &format!("{address}: draining"), &value);
            End::Done
        }
        Err(error) => refused(context.output, &error),
    }
}

async fn find_address(context: &Context, target: &str) -> Result<SocketAddr, String> {
    if let Ok(address) = target.parse() {
        return Ok(address);
    }
    let members = list_members(context).await?;
    let found = members.into_iter().find(|it| it.node == target);
    let found =
        found.ok_or_else(|| format!("no node has the id {target:?}; see medlarctl nodes"))?;
    let admin = found.admin;
    admin
        .parse()
        .map_err(|_| format!("{admin:?} is not an address"))
}
