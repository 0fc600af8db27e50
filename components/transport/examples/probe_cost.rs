//! Cost of one membership probe as a UDP datagram and as a tarpc call.
//!
//! Prints processor time and time to answer of each way, several runs interleaved. Run with
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

const PROBES: u32 = 2_000;
const RUNS: u32 = 5;
/// Bytes of a ping with a few member updates.
const DATAGRAM_BYTES: usize = 200;
const LIMIT: Duration = Duration::from_secs(2);
/// Clock ticks a second in /proc.
const TICKS: f64 = 100.0;

#[derive(Clone)]
struct Answer;

impl Peer for Answer {
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

fn processor_seconds() -> f64 {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(") ").next().unwrap_or("").split(' ').collect();
    let ticks = |at: usize| {
        fields
            .get(at)
            .and_then(|it| it.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / TICKS
}

fn report(way: &str, run: u32, cpu_before: f64, started: Instant) {
    let probes = f64::from(PROBES);
    println!(
        "run {run} {way:<22} cpu {:>6.1} us/probe, elapsed {:>6.1} us/probe",
        (processor_seconds() - cpu_before) * 1e6 / probes,
        started.elapsed().as_secs_f64() * 1e6 / probes,
    );
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let tarpc_address: SocketAddr = "127.32.0.1:7101".parse()?;
    let udp_address: SocketAddr = "127.32.0.1:7102".parse()?;
    tokio::spawn(calls::listen(tarpc_address, Answer).await?);
    let echo = UdpSocket::bind(udp_address).await?;
    tokio::spawn(async move {
        let mut buffer = [0; 2_048];
        while let Ok((bytes, from)) = echo.recv_from(&mut buffer).await {
            if echo.send_to(&buffer[..bytes], from).await.is_err() {
                return;
            }
        }
    });
    for run in 1..=RUNS {
        let (cpu, started) = (processor_seconds(), Instant::now());
        let socket = UdpSocket::bind("127.32.0.1:0").await?;
        let mut buffer = [0; 2_048];
        for _ in 0..PROBES {
            socket.send_to(&[0; DATAGRAM_BYTES], udp_address).await?;
            socket.recv_from(&mut buffer).await?;
        }
        report("udp", run, cpu, started);

        let (cpu, started) = (processor_seconds(), Instant::now());
        for _ in 0..PROBES {
            let client = calls::connect(tarpc_address, LIMIT).await?;
            client
                .pull(calls::context_with_timeout(LIMIT), 1, 1)
                .await?;
        }
        report("tarpc, new connection", run, cpu, started);

        let (cpu, started) = (processor_seconds(), Instant::now());
        let client = calls::connect(tarpc_address, LIMIT).await?;
        for _ in 0..PROBES {
            client
                .pull(calls::context_with_timeout(LIMIT), 1, 1)
                .await?;
        }
        report("tarpc, kept connection", run, cpu, started);
    }
    Ok(())
}
