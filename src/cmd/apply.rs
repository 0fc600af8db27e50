//! `apply`: accepts a text as the next version.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use super::open_store;
use super::read_record;
use crate::messages;
use config::Draft;
use ids::Digest;
use ids::Version;
use store::CONFIG_KEY;
use store::Error;
use store::Swap;
use store::encode_record;

/// accept a configuration text as the next version
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct Args {
    /// file with the text
    #[argh(positional)]
    file: PathBuf,
}

pub(crate) async fn run(address: SocketAddr, args: Args) -> ExitCode {
    let text = match fs::read_to_string(&args.file) {
        Ok(text) => text,
        Err(error) => return messages::refused(&format!("{}: {error}", args.file.display())),
    };
    let checked = match Draft::new(&text).check() {
        Ok(checked) => checked,
        Err(faults) => return messages::faults(&args.file.display(), &faults),
    };
    let store = match open_store(address) {
        Ok(store) => store,
        Err(error) => return messages::refused(&error),
    };
    let (before, revision) = match read_record(store.as_ref()).await {
        Ok(read) => read,
        Err(error) => return messages::refused(&error),
    };
    let version = before
        .as_ref()
        .map_or(Version::NONE, |it| it.version)
        .next();
    let parent = before.as_ref().map_or(Digest::default(), |it| it.digest);
    let record = checked.into_record(version, rand::random(), parent);
    match store
        .swap(CONFIG_KEY, revision, encode_record(&record))
        .await
    {
        Ok(Swap::Done) => {
            println!("accepted as version {version}");
            ExitCode::SUCCESS
        }
        Ok(Swap::Conflict(_)) => messages::refused(&"not accepted: another edit came first"),
        Err(error @ Error::Unknown { .. }) => messages::unknown(&error),
        Err(error) => messages::refused(&error),
    }
}
