//! Delays, loss and cuts between places.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Zones of a region, as four regions share fourteen zones.
const ZONES_BY_REGION: [usize; 4] = [4, 4, 3, 3];

/// Nodes up to which one region with three zones is simulated, as in the fleets of today.
const ONE_REGION_NODES: usize = 30;

const PORT: u16 = 7_000;

/// Where a node stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Locality {
    /// Region.
    pub region: usize,
    /// Zone, counted over all regions.
    pub zone: usize,
}

/// One frame on its way, or kept for a paused node.
#[derive(Clone, Debug)]
pub struct Datagram {
    /// Sender's place.
    pub from: usize,
    /// Receiver's place.
    pub to: usize,
    /// Kind of frame.
    pub kind: FrameKind,
    /// Encoded frame, length included.
    pub bytes: Vec<u8>,
}

/// What a frame holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FrameKind {
    /// A request or notice.
    Request,
    /// The answer to a request about the configuration.
    Response,
}

/// The network between the places.
#[derive(Debug)]
pub struct Network {
    localities: Vec<Locality>,
    loss_percent: f64,
    cut_region: Option<usize>,
}

impl Network {
    /// `nodes` places spread evenly over zones.
    pub fn new(nodes: usize, loss_percent: f64) -> Self {
        let zones = zones(nodes);
        let localities = (0..nodes).map(|place| zones[place % zones.len()]).collect();
        Self {
            localities,
            loss_percent,
            cut_region: None,
        }
    }

    /// Places.
    pub fn places(&self) -> usize {
        self.localities.len()
    }

    /// Number of regions.
    pub fn regions(&self) -> usize {
        1 + self
            .localities
            .iter()
            .map(|one| one.region)
            .max()
            .unwrap_or(0)
    }

    /// Where a place is.
    pub fn locality(&self, place: usize) -> Locality {
        self.localities[place]
    }

    /// Cuts a region off from the others, or heals the cut.
    pub fn cut(&mut self, region: Option<usize>) {
        self.cut_region = region;
    }

    /// Milliseconds that a frame takes, or `None` when it is lost.
    pub fn delay(&self, from: usize, to: usize, random: &mut ChaCha8Rng) -> Option<u64> {
        let (one, other) = (self.localities[from], self.localities[to]);
        if one.region != other.region
            && [one.region, other.region]
                .iter()
                .any(|region| self.cut_region == Some(*region))
        {
            return None;
        }
        if random.random_bool(self.loss_percent / 100.0) {
            return None;
        }
        let base = if one.region != other.region {
            35 + 10 * one.region.abs_diff(other.region) as u64
        } else if one.zone != other.zone {
            2
        } else {
            1
        };
        Some(base + random.random_range(0..=base / 2 + 1))
    }
}

fn zones(nodes: usize) -> Vec<Locality> {
    let by_region: &[usize] = if nodes <= ONE_REGION_NODES {
        &[3]
    } else {
        &ZONES_BY_REGION
    };
    let mut zones = Vec::new();
    for (region, count) in by_region.iter().enumerate() {
        for _ in 0..*count {
            let zone = zones.len();
            zones.push(Locality { region, zone });
        }
    }
    zones
}

/// Peer address of a place.
pub fn address(place: usize) -> SocketAddr {
    let ip = Ipv4Addr::from(0x0a00_0001 + place as u32);
    SocketAddr::new(IpAddr::V4(ip), PORT)
}

/// Place of a peer address.
pub fn place(address: SocketAddr) -> Option<usize> {
    match address.ip() {
        IpAddr::V4(ip) => u32::from(ip)
            .checked_sub(0x0a00_0001)
            .map(|place| place as usize),
        IpAddr::V6(_) => None,
    }
}
