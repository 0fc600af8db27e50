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
pub(crate) async fn watch_settings(
    path: PathBuf,
    mut current_settings: Settings,
    mut hangups: Signal,
) {
    let mut modified = modification_time(&path);
    loop {
        let signalled = tokio::select! {
            received = hangups.recv() => received.is_some(),
            () = tokio::time::sleep(POLL_INTERVAL) => false,
        };
        let new_modified = modification_time(&path);
        if !signalled && new_modified == modified {
            continue;
        }
        modified = new_modified;
        match settings::load(&path) {
            Ok(new_settings) => {
                log_changes(&current_settings, &new_settings);
                current_settings = new_settings;
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
fn log_changes(current_settings: &Settings, new_settings: &Settings) {
    let (old_yaml, new_yaml) = (
        settings::to_yaml(current_settings),
        settings::to_yaml(new_settings),
    );
    let changed: Vec<_> = new_yaml
        .lines()
        .filter(|line| !old_yaml.lines().any(|old_line| old_line == *line))
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
