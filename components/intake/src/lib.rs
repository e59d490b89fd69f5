//! Limits on what the clients of a process make it hold.
//!
//! All limits are for the whole process and follow from the memory and the file descriptors in its
//! settings ([`Shares`]). A crowd cannot use a limit up: whoever needs room displaces a client that
//! has sent no whole request for long, or that holds more than itself. Reads have a pace ([`Pace`]),
//! so that a crowd does not keep a process from its other work.
//!
//! What waits to be read grows old: [`ClientSocket`] tells when it arrived, and whether its sender has
//! left since.

mod arrival;
mod bodies;
mod budget;
mod connections;
mod listen;
mod pace;
mod read;
mod shares;
mod socket;
mod stream;

pub use crate::{
    arrival::{ArrivalClock, Clocks, SteadyTime},
    bodies::{Bodies, BodyError, BodyReservation, PartialBody, WholeBody},
    budget::{Budget, Reservation},
    connections::{Activity, AnswerGuard, Connection, Connections},
    listen::listen,
    pace::Pace,
    read::discard,
    shares::{Resources, Shares},
    socket::ClientSocket,
    stream::{ClientStream, Phase, RequestGuard, Timeouts},
};
