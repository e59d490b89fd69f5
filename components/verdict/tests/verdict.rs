//! Combining and weakening verdicts.

use verdict::{Proof, Reason, Refusal, Verdict};

#[test]
fn joining_not_run_and_may_have_run_gives_may_have_run() {
    let verdict = Verdict::NotRun.join(Verdict::MayHaveRun);

    assert_eq!(verdict, Verdict::MayHaveRun);
}

#[test]
fn joining_may_have_run_and_done_gives_done() {
    assert_eq!(Verdict::MayHaveRun.join(Verdict::Done), Verdict::Done);
}

#[test]
fn weakening_a_refusal_keeps_its_reason() {
    let refusal =
        Refusal::not_run(Proof::id_never_used(), Reason::Overloaded, "The queue is full.");

    let weaker = refusal.weaken();

    assert_eq!((weaker.verdict(), weaker.reason), (Verdict::MayHaveRun, Reason::Overloaded));
}
