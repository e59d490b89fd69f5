//! Answers to requests for a configuration.

use std::{collections::VecDeque, net::SocketAddrV4};

use broker::Config;
use mesh::{ConfigPart, Uptime};

use crate::parts::split;

/// Maximum number of answers in a second; keeps an entry with a fraction of a core free for jobs.
pub const ANSWERS_PER_S: usize = 4;
/// Number of parts that are sent in a tick of 10 ms.
///
/// All parts at once would overflow the receive buffer of the socket (some 200 KB), and two parts
/// take half of a link of 25 Mbit/s.
pub const PARTS_PER_TICK: usize = 2;

/// What is done about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The configuration is sent.
    Answered,
    /// There is no newer configuration here.
    NothingNewer,
    /// Too many requests were answered lately, or one of the same entry is being answered.
    RateLimited,
    /// The configuration is too large to be sent.
    TooLarge,
}

/// Answers requests at a bounded rate.
#[derive(Debug, Default)]
pub struct Responder {
    /// Times of the newest answers.
    answered: VecDeque<Uptime>,
    /// Parts to send, in order.
    queue: VecDeque<(SocketAddrV4, ConfigPart)>,
    /// Offset of the newest configuration that was found to be too large.
    too_large: Option<u64>,
}

impl Responder {
    /// Handles a request of an entry that has the configuration with offset `known`.
    pub fn on_request(
        &mut self,
        now: Uptime,
        from: SocketAddrV4,
        known: Option<u64>,
        current: Option<&Config>,
    ) -> Decision {
        let Some(config) = current.filter(|it| known.is_none_or(|known| it.offset > known)) else {
            return Decision::NothingNewer;
        };
        if self.too_large == Some(config.offset) {
            return Decision::TooLarge;
        }
        while self.answered.front().is_some_and(|at| now.since(*at) >= 1_000) {
            self.answered.pop_front();
        }
        if self.answered.len() >= ANSWERS_PER_S || self.queue.iter().any(|(to, _)| *to == from) {
            log::debug!(from:% = from; "a request for the configuration is not answered: too many lately");
            return Decision::RateLimited;
        }
        match split(config) {
            Ok(parts) => {
                log::info!(
                    to:% = from, offset = config.offset, version = config.version,
                    known:? = known, parts = parts.len();
                    "another entry gets the configuration"
                );
                self.answered.push_back(now);
                self.queue.extend(parts.into_iter().map(|part| (from, part)));
                Decision::Answered
            }
            Err(error) => {
                log::error!(offset = config.offset, error:% = error; "the configuration cannot be sent to other entries");
                self.too_large = Some(config.offset);
                Decision::TooLarge
            }
        }
    }

    /// Parts to send in this tick.
    pub fn tick(&mut self) -> impl Iterator<Item = (SocketAddrV4, ConfigPart)> {
        let count = self.queue.len().min(PARTS_PER_TICK);
        self.queue.drain(..count)
    }
}
