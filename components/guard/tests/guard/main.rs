//! Tests of the agent's core.

mod entries;
mod fixture;
mod health;
mod lease;
mod restart;
mod room;
mod starts;
