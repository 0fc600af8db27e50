//! Plug-in `udp`: one datagram a message.

use std::net::SocketAddr;
use std::sync::Arc;

use linkme::distributed_slice;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

use crate::MessageHandler;
use crate::OpenFuture;
use crate::Sender;
use crate::TRANSPORT_PLUGINS;
use crate::Transport;
use errors::Reason;
use kernel::Plugin;
use member::Message;
use telemetry::Counters;
use wire::datagram;

/// Bytes of the IP and UDP headers, for the count of control bytes.
const HEADER_BYTES: usize = 28;

#[distributed_slice(TRANSPORT_PLUGINS)]
static PLUGIN: Plugin<dyn Transport> = Plugin {
    name: "udp",
    make: |params| {
        params.check_names(&[])?;
        Ok(Box::new(Udp))
    },
};

#[derive(Clone, Copy, Debug)]
struct Udp;

struct Open {
    socket: Arc<UdpSocket>,
    counters: Arc<Counters>,
    receiver: JoinHandle<()>,
}

impl Transport for Udp {
    fn open(
        &self,
        address: SocketAddr,
        inbox: MessageHandler,
        counters: Arc<Counters>,
    ) -> OpenFuture<'_> {
        Box::pin(async move {
            let socket = Arc::new(UdpSocket::bind(address).await?);
            let receiver = tokio::spawn(receive(Arc::clone(&socket), inbox, Arc::clone(&counters)));
            Ok(Arc::new(Open {
                socket,
                counters,
                receiver,
            }) as Arc<dyn Sender>)
        })
    }
}

async fn receive(socket: Arc<UdpSocket>, inbox: MessageHandler, counters: Arc<Counters>) {
    let mut buffer = vec![0; datagram::MAX_BYTES + 1];
    loop {
        // Errors of a connectionless socket are about one datagram each.
        let Ok((bytes, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        counters.count_control("received", bytes + HEADER_BYTES);
        match datagram::decode(&buffer[..bytes]) {
            Ok(message) => inbox(from, message),
            Err(_) => counters.count_drop(Reason::Malformed),
        }
    }
}

impl Sender for Open {
    fn send(&self, to: SocketAddr, message: &Message) {
        let bytes = datagram::encode(message);
        match self.socket.try_send_to(&bytes, to) {
            Ok(sent) => self.counters.count_control("sent", sent + HEADER_BYTES),
            Err(_) => self.counters.count_drop(Reason::QueueOverflow),
        }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.receiver.abort();
    }
}
