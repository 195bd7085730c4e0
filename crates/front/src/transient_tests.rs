//! Unit tests of the `transient` module.

use std::io::Error;
use std::time::Duration;

use super::{retry, retry_for, NO_BUFFERS, SYSTEM_DESCRIPTORS};

const ADDRESS_IN_USE: i32 = 98; // EADDRINUSE

#[test]
fn a_call_is_repeated_until_its_error_has_passed() {
    let mut errors = vec![NO_BUFFERS, SYSTEM_DESCRIPTORS];
    let done = retry(|| {
        errors
            .pop()
            .map_or(Ok(7), |number| Err(Error::from_raw_os_error(number)))
    });
    assert_eq!((done.unwrap(), errors.len()), (7, 0));
}

#[test]
fn an_error_that_does_not_pass_is_given_back() {
    let (mut lasting, mut refused) = (0, 0);
    let fails = |number| -> std::io::Result<()> { Err(Error::from_raw_os_error(number)) };
    let why = retry_for(Duration::ZERO, || {
        lasting += 1;
        fails(NO_BUFFERS)
    });
    assert_eq!(
        (why.unwrap_err().raw_os_error(), lasting),
        (Some(NO_BUFFERS), 1)
    );
    let why = retry(|| {
        refused += 1;
        fails(ADDRESS_IN_USE)
    });
    assert_eq!(
        (why.unwrap_err().raw_os_error(), refused),
        (Some(ADDRESS_IN_USE), 1)
    );
}
