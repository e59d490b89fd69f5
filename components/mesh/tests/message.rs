//! Encoding of datagrams.

use mesh::{Datagram, Evacuations, Hello, Member, Role, decode, encode};
use proptest::prelude::*;

// Guards against a changed encoding of the messages that earlier versions know.
#[test]
fn later_messages_leave_the_encoding_of_earlier_ones_unchanged() {
    let address = "10.0.0.1:7000".parse().expect("an address");
    let from = Member { address, role: Role::Agent, zone: "n".to_owned() };
    let hello = Datagram::Hello(Hello { from, members: Vec::new(), ask: true });
    let state = Evacuations { end: 5, zones: [("n".to_owned(), 4)].into() };

    assert_eq!(encode(&hello), [2, 10, 0, 0, 1, 216, 54, 1, 1, b'n', 0, 1]);
    assert_eq!(encode(&Datagram::Evacuations(state)), [3, 5, 1, 1, b'n', 4]);
    assert_eq!(encode(&Datagram::EvacuationsSeen { end: 5 }), [4, 5]);
    assert_eq!(encode(&Datagram::ConfigRequest { known: Some(5) }), [5, 1, 5]);
}

// Guards against an earlier version that stops at a message which a later one sends.
#[test]
fn messages_of_later_versions_are_rejected() {
    assert!(decode(&[100, 5, 1]).is_err());
}

proptest! {
    #[test]
    fn evacuations_are_decoded_as_they_were_sent(
        end in any::<u64>(),
        zones in prop::collection::btree_map(".{0,20}", any::<u64>(), 0..5),
    ) {
        let datagram = Datagram::Evacuations(Evacuations { end, zones });

        prop_assert_eq!(decode(&encode(&datagram)), Ok(datagram));
    }
}
