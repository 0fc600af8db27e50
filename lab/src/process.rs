//! Child processes of the runner, and the binaries they run.

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

/// Clock ticks a second in `/proc`, the same on all Linux systems of this architecture.
const TICKS: f64 = 100.0;
const BUILD_LIMIT: Duration = Duration::from_secs(900);

/// The executables under test, all of one profile.
#[derive(Clone, Debug)]
pub struct Binaries {
    pub node: PathBuf,
    pub control: PathBuf,
    pub lab: PathBuf,
}

impl Binaries {
    /// Finds the executables beside this one; builds them first if `CARGO` is set.
    pub async fn find() -> Result<Self, Error> {
        let own = env::current_exe()?;
        let mut folder = own.parent().ok_or("the executable has no folder")?;
        // Test executables are one folder deeper.
        if folder.ends_with("deps") {
            folder = folder.parent().ok_or("the executable has no folder")?;
        }
        if let Some(cargo) = env::var_os("CARGO") {
            build(Path::new(&cargo), folder).await?;
        }
        let find = |name: &str| {
            let path = folder.join(name);
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
            control: find("medlarctl")?,
            lab: find("medlar-lab")?,
        })
    }
}

/// Builds all binaries into the profile folder. The whole workspace, so that features are the same
/// as in the builds that use the same folder.
async fn build(cargo: &Path, folder: &Path) -> Result<(), Error> {
    let profile = match folder.file_name().and_then(|it| it.to_str()) {
        Some("release") => "release",
        _ => "dev",
    };
    let mut command = Command::new(cargo);
    command.args(["build", "--workspace", "--bins", "--locked", "--quiet"]);
    command.args(["--profile", profile]);
    if let Some(target) = folder.parent() {
        command.arg("--target-dir").arg(target);
    }
    let built = timeout(BUILD_LIMIT, command.kill_on_drop(true).status()).await??;
    if built.success() {
        return Ok(());
    }
    Err(format!("cargo build: {built}").into())
}

/// A folder for the files of one run; removed at its end.
#[derive(Debug)]
pub struct RunDirectory(PathBuf);

impl RunDirectory {
    /// A new folder below the system's folder for temporary files.
    pub fn create() -> io::Result<Self> {
        let stamp = crate::time::wall_clock_us();
        let name = format!("medlar-lab-{}-{stamp}", std::process::id());
        let path = env::temp_dir().join(name);
        fs::create_dir(&path)?;
        Ok(Self(path))
    }

    /// Path of a file in it.
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

/// A running child; killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    pid: u32,
    log: PathBuf,
}

impl Process {
    /// Starts `program` with its output in the file `log`.
    pub fn start(program: &Path, args: &[String], log: &Path) -> Result<Self, Error> {
        let out = File::create(log)?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(out.try_clone()?)
            .stderr(out)
            .env(
                "MEDLAR_LOG",
                env::var("MEDLAR_LOG").unwrap_or("warn".into()),
            )
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| format!("{}: {error}", program.display()))?;
        let pid = child.id().ok_or("the process has ended")?;
        let log = log.to_owned();
        Ok(Self { child, pid, log })
    }

    /// What it has written.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Ends it at once.
    pub async fn kill(mut self) -> Result<(), Error> {
        self.child.start_kill()?;
        self.child.wait().await?;
        Ok(())
    }

    /// Sends a signal by name, such as `TERM`.
    pub async fn signal(&self, name: &str) -> Result<(), Error> {
        let script = format!("kill -{name} {}", self.pid);
        let done = Command::new("sh").args(["-c", &script]).status().await?;
        if done.success() {
            return Ok(());
        }
        Err(format!("signal {name} to process {}: {done}", self.pid).into())
    }

    /// Waits for its end; false if it still runs after `limit`.
    pub async fn wait(&mut self, limit: Duration) -> bool {
        timeout(limit, self.child.wait()).await.is_ok()
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Processor time so far and resident memory.
    pub fn usage(&self) -> Option<ProcessUsage> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.pid)).ok()?;
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid)).ok()?;
        ProcessUsage::parse(&stat, &status)
    }
}

/// What a process has used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessUsage {
    pub cpu_s: f64,
    pub memory_mb: f64,
}

impl ProcessUsage {
    /// Reads `/proc/PID/stat` and `/proc/PID/status`.
    pub fn parse(stat: &str, status: &str) -> Option<Self> {
        // The name in parentheses may hold spaces.
        let (_, rest) = stat.rsplit_once(')')?;
        let mut fields = rest.split_whitespace().skip(11);
        let user: f64 = fields.next()?.parse().ok()?;
        let system: f64 = fields.next()?.parse().ok()?;
        let resident = status.lines().find_map(|it| it.strip_prefix("VmRSS:"))?;
        let kilobytes: f64 = resident.split_whitespace().next()?.parse().ok()?;
        Some(Self {
            cpu_s: (user + system) / TICKS,
            memory_mb: kilobytes / 1_024.0,
        })
    }
}
