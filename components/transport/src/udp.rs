//! Transport plug-in `udp`: each message is one UDP datagram.

use std::net::SocketAddr;
use std::sync::Arc;

use linkme::distributed_slice;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

use crate::Datagram;
use crate::DatagramHandler;
use crate::OpenFuture;
use crate::Sender;
use crate::TRANSPORT_PLUGINS;
use crate::Transport;
use crate::log_malformed_entries;
use errors::Reason;
use kernel::Plugin;
use telemetry::Metrics;
use wire::Decoded;
use wire::crash_reports;
use wire::datagram;
use wire::freshness;
use wire::rate_limits;
use wire::rollouts;

/// Length of the IPv4 and UDP headers in bytes; they are included in the count of control bytes.
const HEADER_BYTES: usize = 28;

#[distributed_slice(TRANSPORT_PLUGINS)]
static PLUGIN: Plugin<dyn Transport> = Plugin {
    name: "udp",
    make: |params| {
        params.check_names(&[])?;
        Ok(Box::new(UdpTransport))
    },
};

#[derive(Clone, Copy, Debug)]
struct UdpTransport;

/// Sending side of the transport; stops the receiving task when it is dropped.
struct UdpSender {
    socket: Arc<UdpSocket>,
    metrics: Arc<Metrics>,
    receive_task: JoinHandle<()>,
}

impl Transport for UdpTransport {
    fn open(
        &self,
        address: SocketAddr,
        handler: DatagramHandler,
        metrics: Arc<Metrics>,
    ) -> OpenFuture<'_> {
        Box::pin(async move {
            let socket = Arc::new(UdpSocket::bind(address).await?);
            let receive_task =
                tokio::spawn(receive(Arc::clone(&socket), handler, Arc::clone(&metrics)));
            Ok(Arc::new(UdpSender {
                socket,
                metrics,
                receive_task,
            }) as Arc<dyn Sender>)
        })
    }
}

/// Passes each received datagram to `handler`; never returns.
async fn receive(socket: Arc<UdpSocket>, handler: DatagramHandler, metrics: Arc<Metrics>) {
    // One byte more than the maximum, so that a longer datagram is not cut to a valid one.
    let mut buffer = vec![0; datagram::MAX_BYTES + 1];
    loop {
        // An error of a UDP socket concerns a single datagram, so receiving continues.
        let Ok((bytes, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        metrics.count_control_message("received", bytes + HEADER_BYTES);
        match decode(&buffer[..bytes]) {
            Some(Decoded { message, malformed }) => {
                if malformed > 0 {
                    metrics.count_drop(Reason::Malformed);
                    log_malformed_entries("gossip", from, malformed);
                }
                handler(from, message);
            }
            None => metrics.count_drop(Reason::Malformed),
        }
    }
}

fn decode(bytes: &[u8]) -> Option<Decoded<Datagram>> {
    if bytes.first() == Some(&crash_reports::FORMAT) {
        let message = Datagram::CrashReports(crash_reports::decode(bytes)?);
        let malformed = 0;
        return Some(Decoded { message, malformed });
    }
    if bytes.first() == Some(&freshness::FORMAT) {
        let message = Datagram::Freshness(freshness::decode(bytes)?);
        let malformed = 0;
        return Some(Decoded { message, malformed });
    }
    if bytes.first() == Some(&rate_limits::FORMAT) {
        let message = Datagram::RateLimits(rate_limits::decode(bytes)?);
        let malformed = 0;
        return Some(Decoded { message, malformed });
    }
    if bytes.first() == Some(&rollouts::FORMAT) {
        let message = Datagram::Rollout(rollouts::decode(bytes)?);
        let malformed = 0;
        return Some(Decoded { message, malformed });
    }
    let Decoded { message, malformed } = datagram::decode(bytes).ok()?;
    let message = Datagram::Membership(message);
    Some(Decoded { message, malformed })
}

impl Sender for UdpSender {
    fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let bytes = match datagram {
            Datagram::Membership(message) => datagram::encode(message),
            Datagram::CrashReports(reports) => crash_reports::encode(reports),
            Datagram::Freshness(message) => freshness::encode(*message),
            Datagram::RateLimits(message) => rate_limits::encode(message),
            Datagram::Rollout(message) => rollouts::encode(message),
        };
        match self.socket.try_send_to(&bytes, to) {
            Ok(sent) => self
                .metrics
                .count_control_message("sent", sent + HEADER_BYTES),
            Err(_) => self.metrics.count_drop(Reason::QueueOverflow),
        }
    }
}

impl Drop for UdpSender {
    fn drop(&mut self) {
        self.receive_task.abort();
    }
}
