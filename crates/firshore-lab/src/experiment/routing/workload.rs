//! Seeded load: Poisson arrivals of prompts that share prefixes, as callers' templates and survey
//! files do.

use crate::engine_model::Microseconds;
use firshore_types::hash::WORDS_PER_BLOCK;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Distinct shared prefixes; together several times what one engine's cache holds.
const PREFIXES: usize = 400;

/// Exponent of the prefixes' popularity (Zipf).
const PREFIX_SKEW: f64 = 0.9;

/// Tokens of a shared prefix, from and to.
const PREFIX_TOKENS: (u32, u32) = (128, 1_536);

/// Tokens that only one request has, from and to.
const OWN_TOKENS: (u32, u32) = (16, 160);

/// Share of requests that are long and share nothing.
const LONG_SHARE: f64 = 0.05;

/// Tokens of a long request, from and to.
const LONG_TOKENS: (u32, u32) = (1_500, 4_000);

/// Tokens generated, from and to.
const OUTPUT_TOKENS: (u32, u32) = (8, 112);

/// One request of the load.
#[derive(Clone, Debug)]
pub struct Request {
    /// When its caller sends it.
    pub at: Microseconds,
    /// Gateway that takes it.
    pub gateway: usize,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Chained hashes of the prompt's whole blocks.
    pub blocks: Vec<u64>,
    /// Tokens to generate.
    pub output_tokens: u32,
}

/// Generates requests.
pub struct Workload {
    random: ChaCha8Rng,
    cumulative: Vec<f64>,
    prefix_tokens: Vec<u32>,
    gateways: usize,
    unique: u64,
}

impl Workload {
    /// A workload for `gateways` gateways.
    pub fn new(seed: u64, gateways: usize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let weights = (1..=PREFIXES).map(|rank| (rank as f64).powf(-PREFIX_SKEW));
        let mut total = 0.0;
        let cumulative = weights
            .map(|weight| {
                total += weight;
                total
            })
            .collect();
        let prefix_tokens = (0..PREFIXES)
            .map(|_| random.random_range(PREFIX_TOKENS.0..=PREFIX_TOKENS.1))
            .collect();
        Self {
            random,
            cumulative,
            prefix_tokens,
            gateways,
            unique: 0,
        }
    }

    fn prefix(&mut self) -> usize {
        let total = self.cumulative[PREFIXES - 1];
        let drawn = self.random.random::<f64>() * total;
        self.cumulative.partition_point(|sum| *sum < drawn)
    }

    /// The next request, at `at`.
    pub fn next(&mut self, at: Microseconds) -> Request {
        self.unique += 1;
        let long = self.random.random_bool(LONG_SHARE);
        let (prefix, shared, own) = if long {
            (
                0,
                0,
                self.random.random_range(LONG_TOKENS.0..=LONG_TOKENS.1),
            )
        } else {
            let prefix = self.prefix();
            let own = self.random.random_range(OWN_TOKENS.0..=OWN_TOKENS.1);
            (prefix, self.prefix_tokens[prefix], own)
        };
        let prompt_tokens = shared + own;
        let shared_blocks = u64::from(shared) / WORDS_PER_BLOCK as u64;
        let blocks = (0..u64::from(prompt_tokens) / WORDS_PER_BLOCK as u64)
            .map(|block| {
                let owner = if block < shared_blocks {
                    prefix as u64
                } else {
                    (1 << 32) + self.unique
                };
                hash(owner, block)
            })
            .collect();
        Request {
            at,
            gateway: self.random.random_range(0..self.gateways),
            prompt_tokens,
            blocks,
            output_tokens: self.random.random_range(OUTPUT_TOKENS.0..=OUTPUT_TOKENS.1),
        }
    }

    /// Requests at `per_second` over `duration`.
    pub fn poisson(&mut self, per_second: f64, duration: Microseconds) -> Vec<Request> {
        let mut requests = Vec::new();
        let mut at = 0.0;
        loop {
            let uniform: f64 = self.random.random();
            at += -(1.0 - uniform).ln() / per_second * 1e6;
            if at >= duration as f64 {
                return requests;
            }
            requests.push(self.next(at as Microseconds));
        }
    }
}

fn hash(owner: u64, block: u64) -> u64 {
    let mut mixed = owner.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ block.wrapping_add(1);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}
