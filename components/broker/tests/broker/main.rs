//! Tests of an entry's scheduling decisions.

mod admission;
mod agents;
mod arbitrary;
mod config;
mod crashes;
mod evacuation;
mod fixture;
mod jobs;
mod locality;
mod placement;
mod returned;
mod shutdown;
mod watch;
