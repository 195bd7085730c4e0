//! Unit tests of the `starvation_watch` module.

use super::{thread_cpu_wait, waited};

#[test]
fn a_thread_that_has_to_wait_for_others_is_seen_where_the_kernel_keeps_account() {
    let Some(before) = waited("thread-self") else {
        return;
    };
    assert!(thread_cpu_wait() >= before && waited("no such thread").is_none());
}
