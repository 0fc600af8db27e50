//! Command line of the node.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use kernel::plugin::EXTENSION_POINTS;

/// Exit code of refused settings or a failed start.
const REFUSED: u8 = 1;
/// Exit code of a command line that makes no sense.
const USAGE: u8 = 2;

/// Run the node beside one upstream. Logs go to standard output as JSON lines; MEDLAR_LOG sets the
/// filter (default: info).
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    note = "Exit codes: 0 done, 1 refused or failed, 2 wrong usage.",
    note = "SIGTERM, SIGINT or medlarctl drain make the node leave; a second signal ends it at once.",
    example = "$ medlar-node --settings node.yaml --check\nnode.yaml: settings are valid"
)]
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

/// Reads the command line; the error is the exit code after help or a message was printed.
pub(crate) fn parse() -> Result<Cli, ExitCode> {
    let given = std::env::args_os().skip(1).map(|arg| arg.into_string());
    let Ok(given) = given.collect::<Result<Vec<_>, _>>() else {
        eprintln!("medlar-node: arguments are not UTF-8");
        return Err(ExitCode::from(USAGE));
    };
    let arguments: Vec<&str> = given.iter().map(String::as_str).collect();
    Cli::from_args(&["medlar-node"], &arguments).map_err(|exit| {
        if exit.status.is_ok() {
            println!("{}", exit.output.trim_end());
            return ExitCode::SUCCESS;
        }
        // argh's own entry point ends with 1 here, which means a refusal.
        eprintln!(
            "{}\nrun medlar-node --help for more",
            exit.output.trim_end()
        );
        ExitCode::from(USAGE)
    })
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
    if let Err(error) = daemon::check_plugins(&settings) {
        return refuse(&format!("{}: {error}", path.display()));
    }
    if cli.print_settings {
        print!("{}", settings::to_yaml(&settings));
        return ExitCode::SUCCESS;
    }
    if cli.check {
        println!("{}: settings are valid", path.display());
        return ExitCode::SUCCESS;
    }
    telemetry::init_logs(&settings.instance, &settings.domain);
    let done = daemon::run(path, &settings);
    telemetry::flush_logs();
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => refuse(&error),
    }
}

fn refuse(error: &impl std::fmt::Display) -> ExitCode {
    eprintln!("medlar-node: {error}");
    ExitCode::from(REFUSED)
}

fn list_plugins() {
    let mut extensions: Vec<_> = EXTENSION_POINTS.iter().collect();
    extensions.sort_unstable_by_key(|extension| extension.kind);
    for extension in extensions {
        println!("{}: {}", extension.kind, (extension.names)().join(", "));
    }
}
