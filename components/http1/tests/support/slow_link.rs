//! A proxy whose responses to all callers share one link, which sends them in the order of their arrival.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::raw::free_address;

/// Bytes of one connection that wait for the link since a time; the channel of the connection that they go to.
type Queued = (Instant, Vec<u8>, mpsc::UnboundedSender<Vec<u8>>);

/// Starts a proxy to `target` with a link of `mbps` towards the callers. It takes all bytes that the target writes,
/// as a kernel does, so that its queue is as long as the target lets it become.
pub(crate) async fn start(target: SocketAddr, mbps: f64) -> SocketAddr {
    let address = free_address();
    let listener = TcpListener::bind(address).await.unwrap();
    let (queue, queued) = mpsc::unbounded_channel();
    tokio::spawn(carry(queued, mbps));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let Ok(target_stream) = TcpStream::connect(target).await else {
                continue;
            };
            for stream in [&stream, &target_stream] {
                stream.set_nodelay(true).unwrap();
            }
            let (mut from_caller, to_caller) = stream.into_split();
            let (from_target, mut to_target) = target_stream.into_split();
            tokio::spawn(async move { tokio::io::copy(&mut from_caller, &mut to_target).await });
            let (carried, to_write) = mpsc::unbounded_channel();
            tokio::spawn(write_all(to_caller, to_write));
            tokio::spawn(read_all(from_target, queue.clone(), carried));
        }
    });
    address
}

/// Passes on what the link has carried, at its rate.
async fn carry(mut queued: mpsc::UnboundedReceiver<Queued>, mbps: f64) {
    let mut free_at = Instant::now();
    while let Some((since, bytes, carried)) = queued.recv().await {
        let time = Duration::from_secs_f64(bytes.len() as f64 * 8.0 / (mbps * 1e6));
        // A timer that fires late does not delay what was queued before.
        free_at = free_at.max(since) + time;
        tokio::time::sleep_until(free_at).await;
        // Fails only if the caller has left.
        let _ = carried.send(bytes);
    }
}

async fn read_all(
    mut from: OwnedReadHalf,
    queue: mpsc::UnboundedSender<Queued>,
    carried: mpsc::UnboundedSender<Vec<u8>>,
) {
    let mut chunk = vec![0; 65_536];
    while let Ok(read @ 1..) = from.read(&mut chunk).await {
        let _ = queue.send((Instant::now(), chunk[..read].to_vec(), carried.clone()));
    }
}

async fn write_all(mut to: OwnedWriteHalf, mut carried: mpsc::UnboundedReceiver<Vec<u8>>) {
    while let Some(bytes) = carried.recv().await {
        if to.write_all(&bytes).await.is_err() {
            return;
        }
    }
}
