//! Numbers at the ends of their ranges, which overflowed and ended a build with overflow checks.

use guard::{Answer, Rejection};

use crate::fixture::{Fixture, is_start, key};

#[test]
fn raises_its_fencing_token_up_to_the_largest_one() {
    let mut fixture = Fixture::open();
    fixture.order(vec![key(1)], 100);

    for _ in 0..70 {
        fixture.answer(is_start, Answer::Rejected(Rejection::Fence));
    }

    let (_, start) = fixture.unanswered(is_start).remove(0);
    assert_eq!(start.fencing_token, u64::MAX);
}
