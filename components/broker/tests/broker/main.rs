//! Tests of an entry's scheduling decisions.

mod admission;
mod agents;
mod config;
mod fixture;
mod jobs;
mod order;
mod stopping;
