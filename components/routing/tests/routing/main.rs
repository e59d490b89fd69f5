//! Tests of the router.

mod choose;
mod fixture;
mod policies;
mod run_time;
mod simulation;
