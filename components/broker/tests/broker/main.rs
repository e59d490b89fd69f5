//! Tests of an entry's decisions.

mod admission;
mod agents;
mod config;
mod fixture;
mod jobs;
mod order;
mod stopping;
