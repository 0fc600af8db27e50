//! Reading of the settings file again, on SIGHUP and when the file has changed without a signal.

use std::path::PathBuf;
use std::time::Duration;
use std::time::SystemTime;

use log::info;
use log::warn;
use tokio::signal::unix::Signal;

use settings::Settings;

/// Time between two looks at the file.
const LOOK_PERIOD: Duration = Duration::from_secs(2);

/// Reads the file again whenever there is a reason. A file that cannot be used changes nothing.
pub(crate) async fn follow(path: PathBuf, mut running: Settings, mut hangups: Signal) {
    let mut modified = read_time(&path);
    loop {
        let asked = tokio::select! {
            received = hangups.recv() => received.is_some(),
            () = tokio::time::sleep(LOOK_PERIOD) => false,
        };
        let now = read_time(&path);
        if !asked && now == modified {
            continue;
        }
        modified = now;
        match settings::load(&path) {
            Ok(read) => {
                report(&running, &read);
                running = read;
            }
            Err(error) => warn!(
                event = "settings", result = "refused", error = error.to_string().as_str(),
                signal = asked;
                "settings refused; the node goes on with those that it has"
            ),
        }
    }
}

/// When the file was written last; `None` if it cannot be looked at, which the next reading reports.
fn read_time(path: &PathBuf) -> Option<SystemTime> {
    std::fs::metadata(path).ok()?.modified().ok()
}

/// Logs what a new file says. Addresses and plug-ins are built at the start of the process, so that
/// changes of them wait for the next one.
fn report(running: &Settings, read: &Settings) {
    let (before, now) = (settings::to_yaml(running), settings::to_yaml(read));
    let changed: Vec<_> = now
        .lines()
        .filter(|line| !before.lines().any(|known| known == *line))
        .map(str::trim)
        .collect();
    if changed.is_empty() {
        info!(
            event = "settings", result = "unchanged";
            "settings read again; nothing that concerns the node has changed"
        );
    } else {
        info!(
            event = "settings", result = "changed", changed = changed.join("; ").as_str();
            "settings read again; the changes take effect at the next start"
        );
    }
}
