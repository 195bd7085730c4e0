//! Unit tests of the `starvation_watch` module.

use super::{cpu_wait_us, thread_cpu_wait};

#[test]
fn a_thread_that_has_to_wait_for_others_is_seen_where_the_kernel_keeps_account() {
    let Some(before) = cpu_wait_us("thread-self") else {
        return;
    };
    assert!(thread_cpu_wait() >= before && cpu_wait_us("no such thread").is_none());
}
