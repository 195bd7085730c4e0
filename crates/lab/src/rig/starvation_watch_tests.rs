//! Unit tests of the `starvation_watch` module.

use super::{cpu_wait_us, thread_cpu_wait};

#[test]
fn cpu_waits_are_read_if_the_kernel_keeps_schedstat() {
    let Some(before) = cpu_wait_us("thread-self") else {
        return;
    };
    assert!(thread_cpu_wait() >= before && cpu_wait_us("no such thread").is_none());
}
