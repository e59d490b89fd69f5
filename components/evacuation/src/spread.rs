//! Which members an entry sends the state to, and when it repeats that.

use std::{collections::BTreeMap, net::SocketAddrV4};

use mesh::Uptime;

/// Interval at which the state is sent again to a member that has not confirmed it, in ms.
pub const RESEND_MS: u64 = 200;
/// Interval once [`SLOW_AFTER_MS`] have passed, in ms; a member of an earlier version never
/// confirms and logs each datagram that it cannot decode.
pub const SLOW_RESEND_MS: u64 = 1_000;
/// Time after which the state is sent less often, in ms.
const SLOW_AFTER_MS: u64 = 2_000;
/// Interval at which all members are checked, in ms.
const CHECK_INTERVAL_MS: u64 = 50;

/// Members that have confirmed the state, and those that are still notified of it.
#[derive(Debug, Clone, Default)]
pub struct Spread {
    peers: BTreeMap<SocketAddrV4, Peer>,
    /// End of the state that was sent last.
    end: u64,
    next_check: Uptime,
}

#[derive(Debug, Clone, Default)]
struct Peer {
    /// Highest end that the member has confirmed or sent, since its last known restart.
    confirmed: Option<u64>,
    /// Incarnation in its last frame.
    incarnation: Option<u64>,
    /// End of the state that was sent last.
    sent: Option<u64>,
    /// Time at which that was sent for the first time.
    sent_since: Uptime,
    next_send: Uptime,
    /// Time of the last check in which it was a member.
    checked_at: Uptime,
}

impl Spread {
    /// Members that are due the state with this end; each counts as sent.
    pub fn due(
        &mut self,
        now: Uptime,
        end: u64,
        members: impl IntoIterator<Item = SocketAddrV4>,
    ) -> Vec<SocketAddrV4> {
        if now < self.next_check && end == self.end {
            return Vec::new();
        }
        self.next_check = now + CHECK_INTERVAL_MS;
        self.end = end;
        let mut due = Vec::new();
        for address in members {
            let peer = self.peers.entry(address).or_default();
            peer.checked_at = now;
            if peer.confirmed.is_some_and(|it| it >= end) {
                continue;
            }
            let is_first = peer.sent != Some(end);
            if is_first {
                peer.sent = Some(end);
                peer.sent_since = now;
            } else if now < peer.next_send {
                continue;
            }
            let is_slow = now.since(peer.sent_since) >= SLOW_AFTER_MS;
            peer.next_send = now + if is_slow { SLOW_RESEND_MS } else { RESEND_MS };
            due.push(address);
        }
        self.peers.retain(|_, it| it.checked_at == now);
        due
    }

    /// Records that a member has a state with this end.
    pub fn confirm(&mut self, address: SocketAddrV4, end: u64) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.confirmed = peer.confirmed.max(Some(end));
        }
    }

    /// Records the incarnation in a frame of a member; another than before is a restart.
    pub fn observe(&mut self, address: SocketAddrV4, incarnation: u64) {
        if let Some(peer) = self.peers.get_mut(&address)
            && peer.incarnation.replace(incarnation).is_some_and(|it| it != incarnation)
        {
            self.recheck(address);
        }
    }

    /// Notifies a member again that may have restarted since it has confirmed.
    pub fn recheck(&mut self, address: SocketAddrV4) {
        if let Some(peer) = self.peers.get_mut(&address)
            && peer.confirmed.take().is_some()
        {
            peer.sent = None;
            self.next_check = Uptime::default();
        }
    }

    /// Forgets all members, as there is nothing to notify them of.
    pub fn clear(&mut self) {
        self.peers.clear();
    }

    /// Number of members that have not confirmed a state with this end.
    pub fn unconfirmed(&self, end: u64) -> usize {
        self.peers
            .values()
            .filter(|it| it.confirmed.is_none_or(|confirmed| confirmed < end))
            .count()
    }
}
