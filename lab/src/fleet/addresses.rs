//! Loopback addresses of a run.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;

use crate::Error;

/// Address blocks that runs choose from: one second byte for each failure domain.
const FIRST_BLOCK: u8 = 20;
const LAST_BLOCK: u8 = 220;
const BLOCK_DOMAINS: u8 = 4;
/// Instances that one failure domain of a run can have.
const MAX_INSTANCES: usize = 250;

/// Addresses 127.D.*.* of one run; a listener on one of them keeps other runs off.
#[derive(Debug)]
pub struct AddressBlock {
    base: u8,
    _claim: TcpListener,
}

/// Addresses of one instance.
#[derive(Clone, Copy, Debug)]
pub struct InstanceAddresses {
    pub callers: SocketAddr,
    pub requests: SocketAddr,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
    pub upstream: SocketAddr,
    /// Where callers reach the instance over the link.
    pub callers_link: SocketAddr,
    /// Where the node reaches its upstream over the link.
    pub upstream_link: SocketAddr,
}

fn address(domain: u8, number: u8, host: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, domain, number, host)), port)
}

impl AddressBlock {
    /// Claims a block that no other run uses.
    pub fn claim() -> Result<Self, Error> {
        for base in (FIRST_BLOCK..=LAST_BLOCK).step_by(usize::from(BLOCK_DOMAINS)) {
            if let Ok(claim) = TcpListener::bind(address(base, 0, 1, 7000)) {
                let _claim = claim;
                return Ok(Self { base, _claim });
            }
        }
        Err("no free block of loopback addresses".into())
    }

    /// Address of the store.
    pub fn store(&self) -> SocketAddr {
        address(self.base, 0, 2, 2379)
    }

    /// Address for the store's counts and faults.
    pub fn store_control(&self) -> SocketAddr {
        address(self.base, 0, 2, 2380)
    }

    /// Where nodes reach the store over the link.
    pub fn store_link(&self) -> SocketAddr {
        address(self.base, 0, 4, 2379)
    }

    /// Address for the link's settings.
    pub fn link_control(&self) -> SocketAddr {
        address(self.base, 0, 3, 7001)
    }

    /// Addresses of instance `number` of a domain; all ports lie below the ephemeral ones.
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
