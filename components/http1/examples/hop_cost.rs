//! Latency that nodes add to a call, their processor time and their saturation rate.
//!
//! Calls the upstream directly, through the node that owns it, and through another node, in turn, at
//! 306 calls/s each; each way with nodes of one and of two traffic threads. Run with
//! `cargo run --release -p http1 --example hop_cost`.

#[path = "../tests/support/mod.rs"]
mod support;

use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use support::Node;
use support::raw::Caller;
use support::raw::get;
use support::upstream;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

use control::NodeStage;

type Fallible<T> = Result<T, Box<dyn Error + Send + Sync>>;

const RUNS: u32 = 5;
/// Calls of each kind in one run.
const CALLS: u32 = 3_060;
/// Time between two calls of one kind: 306 calls/s.
const PERIOD: Duration = Duration::from_micros(3_268);
/// Callers that keep asking in the measurement of the saturation rate.
const CALLERS: u32 = 32;
const SATURATION_TIME: Duration = Duration::from_millis(500);
fn start_runtime(name: &'static str, threads: usize) -> Fallible<Runtime> {
    let mut builder = Builder::new_multi_thread();
    Ok(builder
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()?)
}

/// Processor time of the threads with this name, in microseconds.
fn processor_us(name: &str) -> f64 {
    let tasks = fs::read_dir("/proc/self/task")
        .into_iter()
        .flatten()
        .flatten();
    let nanos = tasks.filter_map(|task| {
        let known = fs::read_to_string(task.path().join("comm")).ok()?;
        let stat = fs::read_to_string(task.path().join("schedstat")).ok()?;
        let nanos: f64 = stat.split(' ').next()?.parse().ok()?;
        (known.trim() == name).then_some(nanos)
    });
    nanos.sum::<f64>() / 1e3
}

async fn call(caller: &mut Caller) -> Fallible<Duration> {
    let started = Instant::now();
    let answer = caller.ask(get("/x")).await.ok_or("no answer")?;
    if answer.status() != 200 {
        return Err(answer.head.into());
    }
    Ok(started.elapsed())
}

/// One way to the upstream.
struct Way {
    name: &'static str,
    address: SocketAddr,
    /// Threads of the nodes on the way.
    threads: [&'static str; 2],
}

/// An owner and an entry with as many traffic threads each.
struct Pair {
    _runtimes: [Runtime; 2],
    ways: [Way; 2],
}

fn start_pair(
    upstream: SocketAddr,
    threads: usize,
    names: [&'static str; 2],
    ways: [&'static str; 2],
) -> Fallible<Pair> {
    let plugins = ("ranked", "outcomes");
    let entries = start_runtime(names[0], threads)?;
    let owners = start_runtime(names[1], threads)?;
    let owner = owners.block_on(Node::start_with(upstream, 64, 64, plugins));
    let nowhere = support::raw::free_address();
    let entry = entries.block_on(Node::start_with(nowhere, 1, 1, plugins));
    entry.know(&[(&owner, 64, 64)], NodeStage::Serving);
    let way = |at: usize, node: &Node, threads| Way {
        name: ways[at],
        address: node.callers,
        threads,
    };
    Ok(Pair {
        ways: [
            way(0, &owner, [names[1], ""]),
            way(1, &entry, [names[0], names[1]]),
        ],
        _runtimes: [entries, owners],
    })
}

async fn measure_latency(ways: &[&Way], run: u32) -> Fallible<()> {
    let mut callers = Vec::new();
    for way in ways {
        let latency = Histogram::<u64>::new(3)?;
        callers.push((Caller::connect(way.address).await, latency, 0.0));
    }
    let mut ticks = tokio::time::interval(PERIOD / u32::try_from(ways.len())?);
    for number in 0..CALLS {
        for (way, (caller, latency, cpu)) in ways.iter().zip(&mut callers) {
            ticks.tick().await;
            let before: f64 = way.threads.map(processor_us).iter().sum();
            let taken = call(caller).await?;
            *cpu += way.threads.map(processor_us).iter().sum::<f64>() - before;
            // The first calls open connections.
            if number >= CALLS / 10 {
                latency.record(u64::try_from(taken.as_nanos())?)?;
            }
        }
    }
    let at = |way: usize, quantile| callers[way].1.value_at_quantile(quantile) as f64 / 1e3;
    for (way, it) in ways.iter().enumerate() {
        println!(
            "run {run} | {:<14} p50 {:>4.0} p90 {:>4.0} p99 {:>5.0} us | added {:>4.0} {:>4.0} {:>5.0} us | cpu {:>4.0} us/call",
            it.name,
            at(way, 0.5),
            at(way, 0.9),
            at(way, 0.99),
            at(way, 0.5) - at(0, 0.5),
            at(way, 0.9) - at(0, 0.9),
            at(way, 0.99) - at(0, 0.99),
            callers[way].2 / f64::from(CALLS),
        );
    }
    Ok(())
}

async fn measure_saturation(way: &Way) -> Fallible<()> {
    let before: f64 = way.threads.map(processor_us).iter().sum();
    let end = Instant::now() + SATURATION_TIME;
    let mut asking = Vec::new();
    for _ in 0..CALLERS {
        let address = way.address;
        asking.push(tokio::spawn(async move {
            let mut caller = Caller::connect(address).await;
            let mut count = 0_u32;
            while Instant::now() < end {
                call(&mut caller).await?;
                count += 1;
            }
            Ok::<_, Box<dyn Error + Send + Sync>>(count)
        }));
    }
    let mut calls = 0.0;
    for task in asking {
        calls += f64::from(task.await??);
    }
    let cpu = way.threads.map(processor_us).iter().sum::<f64>() - before;
    println!(
        "saturation | {:<14} {:>6.0} calls/s | cpu {:>4.0} us/call",
        way.name,
        calls / SATURATION_TIME.as_secs_f64(),
        cpu / calls,
    );
    Ok(())
}

fn main() -> Fallible<()> {
    let upstreams = start_runtime("upstream", 2)?;
    let (address, _) = upstreams.block_on(upstream::start());
    let direct = Way {
        name: "direct",
        address,
        threads: ["", ""],
    };
    let one = start_pair(address, 1, ["entry-1", "owner-1"], ["own 1", "forwarded 1"])?;
    let two = start_pair(address, 2, ["entry-2", "owner-2"], ["own 2", "forwarded 2"])?;
    let ways: Vec<&Way> = [&direct]
        .into_iter()
        .chain(&one.ways)
        .chain(&two.ways)
        .collect();
    let callers = start_runtime("caller", 2)?;
    callers.block_on(async {
        for run in 1..=RUNS {
            measure_latency(&ways, run).await?;
        }
        for _ in 0..RUNS {
            for way in &ways {
                measure_saturation(way).await?;
            }
        }
        Ok(())
    })
}
