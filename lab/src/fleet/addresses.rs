//! Loopback addresses of the processes of a fleet.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;

use crate::Error;

/// Second byte of the addresses of the first block. A block has one second byte for each failure domain.
const FIRST_BLOCK: u8 = 20;
/// Largest second byte with which a block may start.
const LAST_BLOCK: u8 = 220;
/// Number of failure domains of a block.
const BLOCK_DOMAINS: u8 = 4;
/// Maximum number of instances in one failure domain.
const MAX_INSTANCES: usize = 250;

/// The addresses 127.D.*.* of one fleet. A listener on one of them keeps other fleets from claiming the
/// same block.
#[derive(Debug)]
pub struct AddressBlock {
    /// Second byte of the first failure domain's addresses.
    base: u8,
    _claim: TcpListener,
}

/// Addresses of the node and the upstream of one instance.
#[derive(Clone, Copy, Debug)]
pub struct InstanceAddresses {
    pub callers: SocketAddr,
    pub requests: SocketAddr,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
    pub upstream: SocketAddr,
    /// Address at which the link relays connections to `callers`.
    pub callers_link: SocketAddr,
    /// Address at which the link relays connections to `upstream`.
    pub upstream_link: SocketAddr,
}

fn address(second: u8, third: u8, fourth: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, second, third, fourth)), port)
}

impl AddressBlock {
    /// Claims a block that no other fleet on this machine uses.
    pub fn claim() -> Result<Self, Error> {
        for base in (FIRST_BLOCK..=LAST_BLOCK).step_by(usize::from(BLOCK_DOMAINS)) {
            if let Ok(claim) = TcpListener::bind(address(base, 0, 1, 7000)) {
                let _claim = claim;
                return Ok(Self { base, _claim });
            }
        }
        Err("all blocks of loopback addresses are in use".into())
    }

    /// Returns the address at which the store listens.
    pub fn store_address(&self) -> SocketAddr {
        address(self.base, 0, 2, 2379)
    }

    /// Returns the address for reading the store's counters and setting its faults.
    pub fn store_control_address(&self) -> SocketAddr {
        address(self.base, 0, 2, 2380)
    }

    /// Returns the address at which the link relays connections to the store.
    pub fn store_link_address(&self) -> SocketAddr {
        address(self.base, 0, 4, 2379)
    }

    /// Returns the address for setting the relays of the link.
    pub fn link_control_address(&self) -> SocketAddr {
        address(self.base, 0, 3, 7001)
    }

    /// Returns the addresses of instance `number` of a failure domain. All ports are below the ephemeral
    /// range, so that outgoing connections can't occupy them. Fails if the block has no such instance.
    pub fn instance_addresses(
        &self,
        domain: usize,
        number: usize,
    ) -> Result<InstanceAddresses, Error> {
        if domain >= usize::from(BLOCK_DOMAINS) || number >= MAX_INSTANCES {
            return Err(format!("no address for instance {number} of domain {domain}").into());
        }
        let domain = self.base + u8::try_from(domain)?;
        let number = u8::try_from(number + 1)?;
        Ok(InstanceAddresses {
            callers: address(domain, number, 1, 8080),
            requests: address(domain, number, 1, 8081),
            peer: address(domain, number, 1, 8082),
            admin: address(domain, number, 1, 8083),
            upstream: address(domain, number, 2, 9000),
            callers_link: address(domain, number, 3, 8080),
            upstream_link: address(domain, number, 4, 9000),
        })
    }
}
