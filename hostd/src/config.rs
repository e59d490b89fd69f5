//! Current configuration, shared by all connections of a process, and its sources: the store and
//! other entries.

use std::{
    net::SocketAddrV4,
    sync::{Arc, PoisonError, RwLock},
};

use broker::Config;
use mesh::{ConfigPart, Datagram, Evacuations, Uptime};
use peerconfig::{Decision, Order, Received, Requester, Responder, compare};
use platform::{ConfigReader, OperatorUpdate};
use tokio::{sync::watch, time::Instant};

use crate::{
    datagrams::DatagramSocket,
    metrics::{Metrics, Outcome},
};

/// Source of a configuration that was read from the store, for the log.
const STORE_SOURCE: &str = "store";

/// Current configuration; none until the first has been read.
#[derive(Debug, Default)]
pub(crate) struct CurrentConfig {
    config: RwLock<Option<Arc<Config>>>,
}

impl CurrentConfig {
    /// The current configuration, if there is one.
    pub(crate) fn get(&self) -> Option<Arc<Config>> {
        self.config.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a configuration in force if it is newer than the current one.
    fn offer(&self, config: Config, source: &str, metrics: &Metrics) {
        let mut current = self.config.write().unwrap_or_else(PoisonError::into_inner);
        let (version, offset) = (config.version, config.offset);
        match compare(current.as_deref(), &config) {
            Order::Newer => {
                log::info!(
                    version = version, offset = offset, routes = config.routes.len(),
                    source = source;
                    "a configuration is in force"
                );
                metrics.version.set(i64::try_from(version).unwrap_or(i64::MAX));
                *current = Some(Arc::new(config));
            }
            Order::NotNewer => {
                log::debug!(version = version, offset = offset, source = source; "ignoring a configuration that is not newer")
            }
            Order::FallingVersion => {
                let current = current.as_ref().map_or(0, |it| it.version);
                log::error!(
                    version = version, current = current, offset = offset, source = source;
                    "refusing a configuration whose version falls"
                );
            }
        }
    }
}

/// Applies each newer configuration of the store, and passes newer evacuations to `sink`, for as
/// long as the process runs.
pub(crate) async fn follow_config(
    mut reader: ConfigReader,
    current: Arc<CurrentConfig>,
    metrics: Arc<Metrics>,
    mut sink: impl FnMut(Evacuations),
) {
    loop {
        match reader.next().await {
            OperatorUpdate::Config(config) => current.offer(config, STORE_SOURCE, &metrics),
            OperatorUpdate::Evacuations(state) => sink(state),
        }
    }
}

/// Exchange of configurations with other entries.
pub(crate) struct ConfigExchange {
    requester: Requester,
    responder: Responder,
    current: Arc<CurrentConfig>,
    /// Time of the store's last answer.
    store_answered: watch::Receiver<Instant>,
    datagrams: DatagramSocket,
    metrics: Arc<Metrics>,
}

impl ConfigExchange {
    /// Creates an exchange that has asked nobody.
    pub(crate) fn new(
        current: Arc<CurrentConfig>,
        store_answered: watch::Receiver<Instant>,
        datagrams: DatagramSocket,
        metrics: Arc<Metrics>,
    ) -> ConfigExchange {
        let (requester, responder) = (Requester::default(), Responder::default());
        ConfigExchange { requester, responder, current, store_answered, datagrams, metrics }
    }

    /// Asks one of `entries` if a request is due, and sends parts of answers.
    pub(crate) fn tick(&mut self, now: Uptime, entries: &[SocketAddrV4]) {
        let silence = self.store_answered.borrow().elapsed().as_millis();
        let silence = u64::try_from(silence).unwrap_or(u64::MAX);
        let current = self.current.get();
        if let Some((to, known)) = self.requester.tick(now, entries, current.as_deref(), silence) {
            self.count_request("sent");
            self.datagrams.send(to, &Datagram::ConfigRequest { known });
        }
        for (to, part) in self.responder.tick() {
            self.datagrams.send(to, &Datagram::ConfigPart(part));
        }
    }

    /// Handles a request of another entry.
    pub(crate) fn on_request(&mut self, now: Uptime, from: SocketAddrV4, known: Option<u64>) {
        let current = self.current.get();
        let decision = self.responder.on_request(now, from, known, current.as_deref());
        self.count_request(match decision {
            Decision::Answered => "answered",
            Decision::NothingNewer => "nothing_newer",
            Decision::RateLimited => "rate_limited",
            Decision::TooLarge => "too_large",
        });
    }

    /// Handles a part of another entry's configuration.
    pub(crate) fn on_part(&mut self, now: Uptime, from: SocketAddrV4, part: ConfigPart) {
        let current = self.current.get();
        match self.requester.on_part(now, from, part, current.as_deref()) {
            Received::Ignored | Received::Incomplete => {}
            Received::Damaged => self.count_answer("damaged"),
            Received::Complete(config) => {
                self.count_answer("complete");
                self.current.offer(*config, &from.to_string(), &self.metrics);
            }
        }
    }

    fn count_request(&self, outcome: &'static str) {
        self.metrics.config_requests.get_or_create(&Outcome::new(outcome)).inc();
    }

    fn count_answer(&self, outcome: &'static str) {
        self.metrics.config_answers.get_or_create(&Outcome::new(outcome)).inc();
    }
}
