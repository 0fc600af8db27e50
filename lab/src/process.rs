//! Child processes of a scenario and the executables that they run.

use std::env;
use std::fs;
use std::fs::File;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use tokio::process::Child;
use tokio::process::Command;
use tokio::time::timeout;

use crate::Error;

/// Clock ticks per second of processor times in `/proc`; the same on all Linux systems of this
/// architecture.
const CLOCK_TICKS_PER_S: f64 = 100.0;
/// Timeout of `cargo build`.
const BUILD_TIMEOUT: Duration = Duration::from_secs(900);

/// Paths of the executables that scenarios start, which are all built with the same Cargo profile.
#[derive(Clone, Debug)]
pub struct Binaries {
    pub node: PathBuf,
    pub medlarctl: PathBuf,
    /// Executable of the fakes: store, link and upstream.
    pub lab: PathBuf,
}

impl Binaries {
    /// Finds the executables in the directory of the current one. Builds them first if `CARGO` is set, as
    /// under `cargo test` and `cargo run`.
    pub async fn find() -> Result<Self, Error> {
        let current_exe = env::current_exe()?;
        let mut directory = current_exe
            .parent()
            .ok_or("the path of the executable has no parent directory")?;
        // Cargo puts test executables into the subdirectory `deps`.
        if directory.ends_with("deps") {
            directory = directory
                .parent()
                .ok_or("the path of the executable has no parent directory")?;
        }
        if let Some(cargo) = env::var_os("CARGO") {
            build(Path::new(&cargo), directory).await?;
        }
        let find = |name: &str| {
            let path = directory.join(name);
            if path.exists() {
                return Ok(path);
            }
            Err(format!(
                "{} is missing; build it with cargo build --workspace --bins",
                path.display()
            ))
        };
        Ok(Self {
            node: find("medlar-node")?,
            medlarctl: find("medlarctl")?,
            lab: find("medlar-lab")?,
        })
    }
}

/// Builds all executables of the workspace into `directory`, whose name gives the profile. The whole
/// workspace is built, so that Cargo selects the same features as other workspace builds in that
/// directory.
async fn build(cargo: &Path, directory: &Path) -> Result<(), Error> {
    let profile = match directory.file_name().and_then(|name| name.to_str()) {
        Some("release") => "release",
        _ => "dev",
    };
    let mut command = Command::new(cargo);
    command.args(["build", "--workspace", "--bins", "--locked", "--quiet"]);
    command.args(["--profile", profile]);
    if let Some(target) = directory.parent() {
        command.arg("--target-dir").arg(target);
    }
    let exit_status = timeout(BUILD_TIMEOUT, command.kill_on_drop(true).status()).await??;
    if exit_status.success() {
        return Ok(());
    }
    Err(format!("cargo build: {exit_status}").into())
}

/// A directory for the files of one fleet. Removed when dropped, unless `MEDLAR_LAB_KEEP` is set.
#[derive(Debug)]
pub struct RunDirectory(PathBuf);

impl RunDirectory {
    /// Creates a directory with a new name in the system's directory for temporary files.
    pub fn create() -> io::Result<Self> {
        let stamp = crate::time::wall_clock_us();
        let name = format!("medlar-lab-{}-{stamp}", std::process::id());
        let path = env::temp_dir().join(name);
        fs::create_dir(&path)?;
        Ok(Self(path))
    }

    /// Returns the path of a file in this directory.
    pub fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for RunDirectory {
    fn drop(&mut self) {
        if env::var_os("MEDLAR_LAB_KEEP").is_some() {
            eprintln!("medlar-lab: kept {}", self.0.display());
            return;
        }
        if let Err(error) = fs::remove_dir_all(&self.0) {
            eprintln!("medlar-lab: {}: {error}", self.0.display());
        }
    }
}

/// A child process; killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    pid: u32,
    log_path: PathBuf,
}

impl Process {
    /// Starts `program` with standard output and standard error written to the file `log_path`.
    pub fn start(program: &Path, args: &[String], log_path: &Path) -> Result<Self, Error> {
        let output = File::create(log_path)?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .env(
                "MEDLAR_LOG",
                env::var("MEDLAR_LOG").unwrap_or("warn".into()),
            )
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| format!("{}: {error}", program.display()))?;
        let pid = child
            .id()
            .ok_or("the process ended before its identifier was read")?;
        let log_path = log_path.to_owned();
        Ok(Self {
            child,
            pid,
            log_path,
        })
    }

    /// Returns what the process has written to its log file so far; empty if the file cannot be read.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    /// Sends SIGKILL to the process and waits for its exit.
    pub async fn kill(mut self) -> Result<(), Error> {
        self.child.start_kill()?;
        self.child.wait().await?;
        Ok(())
    }

    /// Sends the process the signal `name`, such as `TERM`.
    pub async fn signal(&self, name: &str) -> Result<(), Error> {
        let script = format!("kill -{name} {}", self.pid);
        let exit_status = Command::new("sh").args(["-c", &script]).status().await?;
        if exit_status.success() {
            return Ok(());
        }
        Err(format!("signal {name} to process {}: {exit_status}", self.pid).into())
    }

    /// Waits for the exit of the process. Returns false if it still runs after `time_limit`.
    pub async fn wait(&mut self, time_limit: Duration) -> bool {
        timeout(time_limit, self.child.wait()).await.is_ok()
    }

    /// Returns whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Reads the processor time that the process has used so far and its resident memory. `None` if the
    /// process has exited.
    pub fn usage(&self) -> Option<ProcessUsage> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.pid)).ok()?;
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid)).ok()?;
        ProcessUsage::parse(&stat, &status)
    }
}

/// Processor time of a process in seconds and its resident memory in megabytes of 2^20 bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessUsage {
    pub cpu_s: f64,
    pub memory_mb: f64,
}

impl ProcessUsage {
    /// Parses the texts of `/proc/PID/stat` and `/proc/PID/status`. `None` if a value is missing.
    pub fn parse(stat: &str, status: &str) -> Option<Self> {
        // The name of the program is in parentheses and may contain spaces.
        let (_, rest) = stat.rsplit_once(')')?;
        let mut fields = rest.split_whitespace().skip(11);
        let user: f64 = fields.next()?.parse().ok()?;
        let system: f64 = fields.next()?.parse().ok()?;
        let resident = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kilobytes: f64 = resident.split_whitespace().next()?.parse().ok()?;
        Some(Self {
            cpu_s: (user + system) / CLOCK_TICKS_PER_S,
            memory_mb: kilobytes / 1_024.0,
        })
    }
}
