//! Compares the cost of one membership probe as a UDP datagram and as a tarpc call.
//!
//! Prints the CPU time and the elapsed time per probe for UDP, for tarpc with a new connection per
//! call and for tarpc with one reused connection. The runs of the three methods alternate. Run with
//! `cargo run --release -p transport --example probe_cost`.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use tarpc::context::Context;
use tokio::net::UdpSocket;

use transport::calls;
use wire::control::Outcome;
use wire::control::OutcomeQuery;
use wire::control::Peer;
use wire::control::PullResponse;
use wire::sync;

/// Number of probes in each run of a method.
const PROBES: u32 = 2_000;
/// Number of runs of each method.
const RUNS: u32 = 5;
/// Length in bytes of a ping that carries a few member updates.
const DATAGRAM_BYTES: usize = 200;
/// Timeout of connecting and of each call.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Clock ticks per second of the CPU times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Server whose responses are empty.
#[derive(Clone)]
struct EmptyResponder;

impl Peer for EmptyResponder {
    async fn pull(self, _: Context, _: u64, _: u64) -> PullResponse {
        PullResponse::UpToDate
    }

    async fn sync(self, _: Context, _: sync::SyncRequest) -> Option<sync::SyncResponse> {
        None
    }

    async fn outcome(self, _: Context, _: OutcomeQuery) -> Outcome {
        Outcome::Unknown
    }
}

/// CPU time that this process has used, in seconds.
fn cpu_seconds() -> f64 {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(") ").next().unwrap_or("").split(' ').collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|field| field.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    // Fields utime and stime of proc_pid_stat(5), counted from the state after the command name.
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// Prints the cost per probe since `started`, when the CPU time of the process was `cpu_before`.
fn print_cost(method: &str, run: u32, cpu_before: f64, started: Instant) {
    let probes = f64::from(PROBES);
    println!(
        "run {run} {method:<22} cpu {:>6.1} us/probe, elapsed {:>6.1} us/probe",
        (cpu_seconds() - cpu_before) * 1e6 / probes,
        started.elapsed().as_secs_f64() * 1e6 / probes,
    );
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let tarpc_address: SocketAddr = "127.32.0.1:7101".parse()?;
    let udp_address: SocketAddr = "127.32.0.1:7102".parse()?;
    tokio::spawn(calls::listen(tarpc_address, EmptyResponder).await?);
    let echo_socket = UdpSocket::bind(udp_address).await?;
    tokio::spawn(async move {
        let mut buffer = [0; 2_048];
        while let Ok((bytes, from)) = echo_socket.recv_from(&mut buffer).await {
            if echo_socket.send_to(&buffer[..bytes], from).await.is_err() {
                return;
            }
        }
    });
    for run in 1..=RUNS {
        let (cpu, started) = (cpu_seconds(), Instant::now());
        let socket = UdpSocket::bind("127.32.0.1:0").await?;
        let mut buffer = [0; 2_048];
        for _ in 0..PROBES {
            socket.send_to(&[0; DATAGRAM_BYTES], udp_address).await?;
            socket.recv_from(&mut buffer).await?;
        }
        print_cost("udp", run, cpu, started);

        let (cpu, started) = (cpu_seconds(), Instant::now());
        for _ in 0..PROBES {
            let client = calls::connect(tarpc_address, TIMEOUT).await?;
            client
                .pull(calls::context_with_timeout(TIMEOUT), 1, 1)
                .await?;
        }
        print_cost("tarpc, new connection", run, cpu, started);

        let (cpu, started) = (cpu_seconds(), Instant::now());
        let client = calls::connect(tarpc_address, TIMEOUT).await?;
        for _ in 0..PROBES {
            client
                .pull(calls::context_with_timeout(TIMEOUT), 1, 1)
                .await?;
        }
        print_cost("tarpc, reused connection", run, cpu, started);
    }
    Ok(())
}
