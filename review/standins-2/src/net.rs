//! Small helpers for loopback sockets.

use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;

/// A listener at a free loopback port.
pub fn listener() -> std::io::Result<TcpListener> {
    TcpListener::bind("127.0.0.1:0")
}

/// A free loopback address for a process that binds it itself.
pub fn free_address() -> std::io::Result<String> {
    Ok(listener()?.local_addr()?.to_string())
}

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, len: u32) -> i32;
}

/// Makes the close of a connection reset it, as the end of a process with unread input does.
pub fn reset_on_close(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    // The descriptor is open and the value has the layout of `struct linger`.
    unsafe {
        setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8);
    }
}
