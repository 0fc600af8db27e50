//! Rereads the settings file on SIGHUP and when its modification time changes, and logs the differences.

use std::path::PathBuf;
use std::time::Duration;
use std::time::SystemTime;

use log::info;
use log::warn;
use tokio::signal::unix::Signal;

use settings::Settings;

/// Interval between checks of the modification time.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Rereads the file on each signal of `hangups` and each change. An invalid file is logged and otherwise
/// ignored.
pub(crate) async fn watch_settings(path: PathBuf, mut running: Settings, mut hangups: Signal) {
    let mut modified = modification_time(&path);
    loop {
        let signalled = tokio::select! {
            received = hangups.recv() => received.is_some(),
            () = tokio::time::sleep(POLL_INTERVAL) => false,
        };
        let now = modification_time(&path);
        if !signalled && now == modified {
            continue;
        }
        modified = now;
        match settings::load(&path) {
            Ok(read) => {
                log_changes(&running, &read);
                running = read;
            }
            Err(error) => warn!(
                event = "settings", result = "refused", error = error.to_string().as_str(),
                signal = signalled;
                "settings refused; the node keeps the current ones"
            ),
        }
    }
}

/// Modification time of the file; `None` if it cannot be read, which loading the file then reports.
fn modification_time(path: &PathBuf) -> Option<SystemTime> {
    std::fs::metadata(path).ok()?.modified().ok()
}

/// Logs the settings that differ. They take effect at the next start, because addresses are bound and
/// plug-ins built when the process starts.
fn log_changes(running: &Settings, read: &Settings) {
    let (before, now) = (settings::to_yaml(running), settings::to_yaml(read));
    let changed: Vec<_> = now
        .lines()
        .filter(|line| !before.lines().any(|known| known == *line))
        .map(str::trim)
        .collect();
    if changed.is_empty() {
        info!(
            event = "settings", result = "unchanged";
            "settings reread; nothing has changed"
        );
    } else {
        info!(
            event = "settings", result = "changed", changed = changed.join("; ").as_str();
            "settings reread; the changes take effect at the next start"
        );
    }
}
