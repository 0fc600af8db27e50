//! `get`: prints the accepted text.

use std::net::SocketAddr;
use std::process::ExitCode;

use argh::FromArgs;

use super::open_store;
use super::read_record;
use crate::messages;

/// print the accepted configuration text
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub(crate) struct Args {}

pub(crate) async fn run(address: SocketAddr, _: Args) -> ExitCode {
    let store = match open_store(address) {
        Ok(store) => store,
        Err(error) => return messages::refused(&error),
    };
    match read_record(store.as_ref()).await {
        Ok((Some(record), _)) => {
            print!("{}", record.text);
            ExitCode::SUCCESS
        }
        Ok((None, _)) => messages::refused(&"no configuration has been accepted"),
        Err(error) => messages::refused(&error),
    }
}
