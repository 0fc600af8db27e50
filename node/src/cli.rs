//! Command line of the node.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use kernel::plugin::EXTENSIONS;

/// Exit code of refused settings or a failed start.
const REFUSED: u8 = 1;
/// Exit code of a command line that makes no sense.
const USAGE: u8 = 2;

/// Run the node beside one upstream. Logs go to standard error as JSON lines; MEDLAR_LOG sets the
/// filter (default: info).
#[derive(Debug)]
#[derive(FromArgs)]
pub(crate) struct Cli {
    /// settings file in YAML
    #[argh(option)]
    settings: Option<PathBuf>,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
    /// print the settings in effect, defaults included, and exit
    #[argh(switch)]
    print_settings: bool,
    /// list the registered plug-ins and exit
    #[argh(switch)]
    plugins: bool,
    /// print the version and exit
    #[argh(switch)]
    version: bool,
}

/// Does what the command line says.
pub(crate) fn run(cli: &Cli) -> ExitCode {
    if cli.version {
        println!("medlar-node {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if cli.plugins {
        list_plugins();
        return ExitCode::SUCCESS;
    }
    let Some(path) = &cli.settings else {
        eprintln!("medlar-node: --settings FILE is required; see --help");
        return ExitCode::from(USAGE);
    };
    let settings = match settings::load(path) {
        Ok(settings) => settings,
        Err(error) => return refuse(&error),
    };
    if cli.print_settings {
        return match serde_saphyr::to_string(&settings) {
            Ok(text) => {
                print!("{text}");
                ExitCode::SUCCESS
            }
            Err(error) => refuse(&error),
        };
    }
    if cli.check {
        println!("{}: settings are valid", path.display());
        return ExitCode::SUCCESS;
    }
    telemetry::init_logs(&settings.instance, &settings.domain);
    match daemon::run(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => refuse(&error),
    }
}

fn refuse(error: &impl std::fmt::Display) -> ExitCode {
    eprintln!("medlar-node: {error}");
    ExitCode::from(REFUSED)
}

fn list_plugins() {
    let mut extensions: Vec<_> = EXTENSIONS.iter().collect();
    extensions.sort_unstable_by_key(|extension| extension.kind);
    for extension in extensions {
        println!("{}: {}", extension.kind, (extension.names)().join(", "));
    }
}
