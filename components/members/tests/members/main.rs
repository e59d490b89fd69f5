//! Tests of membership and failure detection.

mod cluster;
mod fixture;
mod spread;
mod view;
