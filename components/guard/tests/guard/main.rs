//! Tests of an agent's decisions.

mod entries;
mod fixture;
mod health;
mod lease;
mod restart;
mod room;
mod starts;
