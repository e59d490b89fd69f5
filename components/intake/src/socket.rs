//! Sockets of clients, as the kernel sees them.
//!
//! The HTTP library knows what it has read of a connection. Its end may have arrived as well, behind
//! bytes that wait: for the library to ask for them, for a turn, or for a host that stands still. The
//! kernel also knows when the bytes that are read arrived.

use std::{
    io::{self, IoSliceMut},
    os::fd::{AsFd, AsRawFd},
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    task::{Context, Poll, ready},
    time::Duration,
};

use nix::{
    cmsg_space,
    errno::Errno,
    libc,
    poll::{PollFd, PollFlags, PollTimeout, poll},
    sys::{
        socket::{ControlMessageOwned, MsgFlags, Shutdown, recvmsg, shutdown},
        time::TimeSpec,
    },
};
use tokio::{
    io::{Interest, ReadBuf},
    net::TcpStream,
};

use crate::arrival::{ArrivalClock, Clocks, SteadyTime};

/// Converts the stamps of all sockets of the process.
static ARRIVAL_CLOCK: Mutex<ArrivalClock> = Mutex::new(ArrivalClock::new());

/// The client sends nothing more; `nix` has no name for it.
const READ_CLOSED: PollFlags = PollFlags::from_bits_retain(libc::POLLRDHUP);

/// Socket of a client's connection.
#[derive(Debug)]
pub(crate) struct Socket {
    stream: TcpStream,
    times: Mutex<Times>,
}

/// Times of a socket.
#[derive(Debug, Default)]
struct Times {
    /// Arrival of the last bytes that were read.
    arrived: Option<SteadyTime>,
    /// Time at which bytes that are not read yet were noticed.
    noticed: Option<SteadyTime>,
    /// Time of the last read that found no more bytes.
    emptied: SteadyTime,
}

/// Handle to the socket of a client's connection, which does not keep it open; clones share it.
#[derive(Debug, Clone, Default)]
pub struct ClientSocket(Weak<Socket>);

impl ClientSocket {
    /// Whether the client has closed its connection or will send nothing more on it.
    ///
    /// Also true if the connection has ended on this side.
    pub fn has_left(&self) -> bool {
        !ClientSocket::left([((), self)]).is_empty()
    }

    /// Time at which the last bytes that were read of the connection arrived at this host.
    ///
    /// Where the kernel does not tell, it is the time at which they were noticed.
    pub fn arrived(&self) -> SteadyTime {
        let ClientSocket(socket) = self;
        let arrived = socket.upgrade().and_then(|it| it.times().arrived);
        arrived.unwrap_or_else(SteadyTime::now)
    }

    /// Keys of the sockets whose clients have left, as by [`ClientSocket::has_left`], in one system call.
    pub fn left<'a, K>(sockets: impl IntoIterator<Item = (K, &'a ClientSocket)>) -> Vec<K> {
        let mut left = Vec::new();
        let mut open = Vec::new();
        for (key, ClientSocket(socket)) in sockets {
            match socket.upgrade() {
                Some(socket) => open.push((key, socket)),
                None => left.push(key),
            }
        }
        let states = open.iter().map(|(_, it)| PollFd::new(it.stream.as_fd(), READ_CLOSED));
        let mut states: Vec<_> = states.collect();
        if let Err(err) = poll(&mut states, PollTimeout::ZERO) {
            log::debug!(error:% = err; "asking whether clients have left failed");
            return left;
        }
        // Flags without a name show as none.
        let has_left: Vec<_> = states.iter().map(|it| it.any() != Some(false)).collect();
        drop(states);
        let gone = open.into_iter().zip(has_left).filter(|(_, has_left)| *has_left);
        left.extend(gone.map(|((key, _), _)| key));
        left
    }
}

impl Socket {
    /// Takes over a stream; the socket closes once it is dropped.
    pub(crate) fn new(stream: TcpStream) -> Arc<Socket> {
        Arc::new(Socket { stream, times: Mutex::default() })
    }

    pub(crate) fn handle(self: &Arc<Socket>) -> ClientSocket {
        ClientSocket(Arc::downgrade(self))
    }

    /// Waits until there are bytes to read, or the end, and notes when that is noticed.
    pub(crate) fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.stream.poll_read_ready(context))?;
        self.times().noticed.get_or_insert_with(SteadyTime::now);
        Poll::Ready(Ok(()))
    }

    pub(crate) fn poll_read(
        &self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.try_read(buffer.initialize_unfilled()) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result.map(|it| buffer.advance(it))),
            }
        }
    }

    pub(crate) fn poll_write(
        &self,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(context))?;
            match self.stream.try_write(bytes) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    /// Closes the sending half.
    pub(crate) fn close_write(&self) -> io::Result<()> {
        shutdown(self.stream.as_raw_fd(), Shutdown::Write).map_err(io::Error::from)
    }

    /// Reads what has arrived.
    ///
    /// A read that does not fill the buffer has emptied the socket, which is then no longer taken for
    /// readable, so that the next read waits without a turn and without a system call.
    fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        let mut short_read = None;
        let result = self.stream.try_io(Interest::READABLE, || {
            let length = self.receive(buffer)?;
            if length == 0 || length == buffer.len() {
                return Ok(length);
            }
            short_read = Some(length);
            Err(io::ErrorKind::WouldBlock.into())
        });
        short_read.map_or(result, Ok)
    }

    /// Reads from the socket, and notes when the bytes arrived.
    fn receive(&self, buffer: &mut [u8]) -> io::Result<usize> {
        let capacity = buffer.len();
        let mut slices = [IoSliceMut::new(buffer)];
        let mut control = cmsg_space!(TimeSpec);
        let flags = MsgFlags::empty();
        let fd = self.stream.as_raw_fd();
        let result = recvmsg::<()>(fd, &mut slices, Some(&mut control), flags);
        // Read afterwards, so that no stamp lies in the future.
        let now = Clocks::now();
        let message = match result {
            Ok(message) => message,
            Err(Errno::EWOULDBLOCK) => {
                let mut times = self.times();
                (times.emptied, times.noticed) = (now.steady, None);
                return Err(io::ErrorKind::WouldBlock.into());
            }
            Err(err) => return Err(err.into()),
        };
        let length = message.bytes;
        let stamp = message.cmsgs().ok().and_then(|mut it| it.find_map(stamp));
        let stamped = stamp.map(|it| lock(&ARRIVAL_CLOCK).arrival(now, it));
        let mut times = self.times();
        if length > 0 {
            // What arrived before the socket was emptied has been read then.
            let stamped = stamped.map(|it| it.max(times.emptied));
            times.arrived = stamped.or(times.noticed).or(Some(now.steady));
        }
        if length < capacity {
            (times.emptied, times.noticed) = (now.steady, None);
        }
        Ok(length)
    }

    fn times(&self) -> MutexGuard<'_, Times> {
        lock(&self.times)
    }
}

/// Stamp of the kernel, by its wall clock.
fn stamp(message: ControlMessageOwned) -> Option<Duration> {
    match message {
        ControlMessageOwned::ScmTimestampns(time) => Some(time.into()),
        _ => None,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
