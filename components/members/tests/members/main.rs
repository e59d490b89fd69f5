//! Tests of the membership view.

mod cluster;
mod fixture;
mod spread;
mod view;
