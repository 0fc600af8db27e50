//! Command line of `medlar-node`.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use kernel::plugin::EXTENSION_POINTS;

/// Exit code if the settings are refused, or the node fails to start or to drain.
const EXIT_FAILURE: u8 = 1;
/// Exit code for invalid command-line arguments.
const EXIT_USAGE: u8 = 2;

/// Run a node for the upstream on the same instance. Logs go to standard output as JSON lines;
/// MEDLAR_LOG sets the filter (default: info).
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

/// Parses the command line. On help or invalid usage, prints a text and returns the exit code as the
/// error.
pub(crate) fn parse() -> Result<Cli, ExitCode> {
    let os_arguments = std::env::args_os().skip(1).map(|arg| arg.into_string());
    let Ok(os_arguments) = os_arguments.collect::<Result<Vec<_>, _>>() else {
        eprintln!("medlar-node: arguments are not UTF-8");
        return Err(ExitCode::from(EXIT_USAGE));
    };
    let arguments: Vec<&str> = os_arguments.iter().map(String::as_str).collect();
    Cli::from_args(&["medlar-node"], &arguments).map_err(|exit| {
        if exit.status.is_ok() {
            println!("{}", exit.output.trim_end());
            return ExitCode::SUCCESS;
        }
        // argh::from_env would exit with 1, which here means that the settings were refused.
        eprintln!(
            "{}\nrun medlar-node --help for more",
            exit.output.trim_end()
        );
        ExitCode::from(EXIT_USAGE)
    })
}

/// Carries out the command line and returns the exit code of the process.
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
        return ExitCode::from(EXIT_USAGE);
    };
    let settings = match settings::load(path) {
        Ok(settings) => settings,
        Err(error) => return report_failure(&error),
    };
    if let Err(error) = daemon::check_plugins(&settings) {
        return report_failure(&format!("{}: {error}", path.display()));
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
    let result = daemon::run(path, &settings);
    telemetry::flush_logs();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_failure(&error),
    }
}

fn report_failure(error: &impl std::fmt::Display) -> ExitCode {
    eprintln!("medlar-node: {error}");
    ExitCode::from(EXIT_FAILURE)
}

/// Prints the registered plug-ins, one line for each extension point.
fn list_plugins() {
    let mut extension_points: Vec<_> = EXTENSION_POINTS.iter().collect();
    extension_points.sort_unstable_by_key(|extension_point| extension_point.kind);
    for extension_point in extension_points {
        println!(
            "{}: {}",
            extension_point.kind,
            (extension_point.names)().join(", ")
        );
    }
}
