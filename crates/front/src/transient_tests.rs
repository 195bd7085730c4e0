//! Unit tests of the `transient` module.

use std::io::Error;
use std::time::Duration;

use super::{retry, retry_for, NO_BUFFERS, SYSTEM_DESCRIPTORS};

const ADDRESS_IN_USE: i32 = 98; // EADDRINUSE, which is not transient

#[test]
fn transient_error_is_retried_until_it_passes() {
    let mut errors = vec![NO_BUFFERS, SYSTEM_DESCRIPTORS];
    let done = retry(|| {
        errors
            .pop()
            .map_or(Ok(7), |number| Err(Error::from_raw_os_error(number)))
    });
    assert_eq!((done.unwrap(), errors.len()), (7, 0));
}

#[test]
fn lasting_error_is_returned() {
    let (mut lasting, mut refused) = (0, 0);
    let fails = |number| -> std::io::Result<()> { Err(Error::from_raw_os_error(number)) };
    let error = retry_for(Duration::ZERO, || {
        lasting += 1;
        fails(NO_BUFFERS)
    });
    assert_eq!(
        (error.unwrap_err().raw_os_error(), lasting),
        (Some(NO_BUFFERS), 1)
    );
    let error = retry(|| {
        refused += 1;
        fails(ADDRESS_IN_USE)
    });
    assert_eq!(
        (error.unwrap_err().raw_os_error(), refused),
        (Some(ADDRESS_IN_USE), 1)
    );
}
