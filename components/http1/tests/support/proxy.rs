//! A relay of bytes whose open connections can be made silent while new ones work.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

use super::raw::free_address;

/// Connections with a lower number than this hold their bytes back.
type Silent = watch::Receiver<usize>;

pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    /// Connections that were opened.
    pub(crate) opened: Arc<AtomicUsize>,
    silent_requests: watch::Sender<usize>,
    silent_answers: watch::Sender<usize>,
}

impl Proxy {
    /// Relays to `target`.
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let address = free_address();
        let listener = TcpListener::bind(address).await.unwrap();
        let opened = Arc::new(AtomicUsize::new(0));
        let (silent_requests, requests) = watch::channel(0);
        let (silent_answers, answers) = watch::channel(0);
        let counter = Arc::clone(&opened);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = counter.fetch_add(1, Ordering::SeqCst);
                let Ok(other) = TcpStream::connect(target).await else {
                    continue;
                };
                let (from_entry, to_entry) = stream.into_split();
                let (from_owner, to_owner) = other.into_split();
                tokio::spawn(pump(from_entry, to_owner, number, requests.clone()));
                tokio::spawn(pump(from_owner, to_entry, number, answers.clone()));
            }
        });
        Self {
            address,
            opened,
            silent_requests,
            silent_answers,
        }
    }

    /// Holds back what comes on the open connections from now on.
    pub(crate) fn silence(&self, requests: bool, answers: bool) {
        let opened = self.opened.load(Ordering::SeqCst);
        for (sender, wanted) in [
            (&self.silent_requests, requests),
            (&self.silent_answers, answers),
        ] {
            if wanted {
                sender.send_replace(opened);
            }
        }
    }

    /// Lets through what was held back.
    pub(crate) fn resume(&self) {
        self.silent_requests.send_replace(0);
        self.silent_answers.send_replace(0);
    }
}

async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, number: usize, mut silent: Silent) {
    let mut part = vec![0; 65_536];
    while let Ok(read @ 1..) = from.read(&mut part).await {
        let through = silent.wait_for(|first| number >= *first).await.is_ok();
        if !through || to.write_all(&part[..read]).await.is_err() {
            return;
        }
    }
}
