//! One TCP connection: a non-blocking socket with its input and output buffers.

use std::cell::RefCell;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use socket2::{Domain, Protocol, Socket, Type};

use crate::events::{LoopEvents, SocketId};

/// Bytes per call of `read`.
const READ_CHUNK_BYTES: usize = 64 << 10;
/// Limit of the unused memory that a connection keeps of its input, and of its output once all of it is sent.
const SPARE_BUFFER_BYTES: usize = 4 << 10;
/// A full input buffer grows by this part of its length at least.
const GROWTH_DIVISOR: usize = 8;
/// Size of the socket's send buffer: some hundred statements. Bytes in it can't be withdrawn any more.
const SEND_BUFFER_BYTES: usize = 64 << 10;
/// Bytes read from one connection before other connections are served.
const MAX_BYTES_PER_ITERATION: usize = 256 << 10;
/// The error code of a pending connect on Linux; `ErrorKind` has no stable variant for it.
const EINPROGRESS: i32 = 115;

thread_local! {
    /// Shared by all connections, so that each holds only the bytes that it has received.
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_CHUNK_BYTES]);
}

/// How a connection broke, as far as this side can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// The peer closed the connection in order.
    Closed,
    /// The peer reset the connection.
    Reset,
    /// The operating system here gave the connection up (no acknowledgements, no route); the peer may not know yet.
    Lost,
}

impl Broken {
    /// Classifies an error of a connection that was up.
    fn from_error(error: &std::io::Error) -> Broken {
        match error.kind() {
            ErrorKind::ConnectionReset | ErrorKind::BrokenPipe | ErrorKind::ConnectionAborted => {
                Broken::Reset
            }
            _ => Broken::Lost,
        }
    }
}

/// The outcome of one read of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadOutcome {
    /// More may be readable: read the connection again without waiting for another readiness event.
    pub has_more: bool,
    /// How the connection broke, if it did; the bytes received before that are in the input.
    pub broken: Option<Broken>,
}

impl ReadOutcome {
    const HAS_MORE: ReadOutcome = ReadOutcome {
        has_more: true,
        broken: None,
    };
    const DRAINED: ReadOutcome = ReadOutcome {
        has_more: false,
        broken: None,
    };

    fn broken(broken: Broken) -> ReadOutcome {
        ReadOutcome {
            has_more: false,
            broken: Some(broken),
        }
    }
}

/// One TCP connection: its socket, the input that was not consumed yet, and the output that was not sent yet.
pub struct Link {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    handle: LoopHandle<'static, LoopEvents>,
    /// Bytes that were received and not consumed yet.
    pub input: Vec<u8>,
    output: Vec<u8>,
    /// The number of bytes at the start of `output` that were sent.
    sent_bytes: usize,
    /// Bytes sent over the connection before the first byte of `output`.
    flushed_bytes: usize,
}

impl Link {
    /// Registers a connected or connecting socket with the event loop, which reports it under the given id.
    pub fn new(
        stream: TcpStream,
        handle: &LoopHandle<'static, LoopEvents>,
        id: SocketId,
    ) -> std::io::Result<Link> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        // Edge-triggered: a connection that is deliberately not read wakes the event loop only once.
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let token = handle
            .insert_source(source, move |_, _, events| {
                events.ready.push(id);
                Ok(PostAction::Continue)
            })
            .map_err(|e| std::io::Error::other(e.error.to_string()))?;
        let handle = handle.clone();
        let (input, output) = (Vec::new(), Vec::new());
        Ok(Link {
            stream,
            token,
            handle,
            input,
            output,
            sent_bytes: 0,
            flushed_bytes: 0,
        })
    }

    /// Starts to connect to an address; `is_up` reports when the connection has come up.
    pub fn dial(
        address: SocketAddr,
        handle: &LoopHandle<'static, LoopEvents>,
        id: SocketId,
    ) -> std::io::Result<Link> {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_nonblocking(true)?;
        socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
        match socket.connect(&address.into()) {
            Err(e)
                if e.raw_os_error() != Some(EINPROGRESS) && e.kind() != ErrorKind::WouldBlock =>
            {
                Err(e)
            }
            _ => Link::new(socket.into(), handle, id),
        }
    }

    /// Whether a dialled connection is up; an error if the attempt has failed.
    pub fn is_up(&self) -> std::io::Result<bool> {
        if let Some(error) = self.stream.take_error()? {
            return Err(error);
        }
        match self.stream.peer_addr() {
            Ok(_) => Ok(true),
            Err(e) if e.kind() == ErrorKind::NotConnected => Ok(false),
            Err(e) => Err(e),
        }
    }

    /// Reads what is available, up to `MAX_BYTES_PER_ITERATION`.
    pub fn read(&mut self) -> ReadOutcome {
        self.read_some(MAX_BYTES_PER_ITERATION)
    }

    /// Reads what is available, up to `limit` bytes.
    pub fn read_some(&mut self, limit: usize) -> ReadOutcome {
        READ_BUFFER.with_borrow_mut(|chunk| {
            let mut read = 0;
            while read < limit {
                let len = chunk.len().min(limit - read);
                match (&*self.stream).read(&mut chunk[..len]) {
                    Ok(0) => return ReadOutcome::broken(Broken::Closed),
                    Ok(n) => {
                        extend_tightly(&mut self.input, &chunk[..n]);
                        read += n;
                    }
                    Err(e) if e.kind() == ErrorKind::WouldBlock => return ReadOutcome::DRAINED,
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(e) => return ReadOutcome::broken(Broken::from_error(&e)),
                }
            }
            ReadOutcome::HAS_MORE
        })
    }

    /// Releases buffer memory that an idle connection does not need.
    pub fn release_memory(&mut self) {
        self.input.shrink_to(self.input.len());
        if self.unsent() == 0 {
            self.output.shrink_to(0);
        }
    }

    /// The output buffer, which `flush` sends.
    pub fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// The number of bytes of the output that were not sent yet.
    pub fn unsent(&self) -> usize {
        self.output.len() - self.sent_bytes
    }

    /// Whether the current output was sent up to the offset `end`.
    pub fn has_sent(&self, end: usize) -> bool {
        self.unsent() == 0 || self.sent_bytes >= end
    }

    /// The end of the output so far, as an offset in all bytes of the connection, sent or not.
    pub fn end_of_output(&self) -> usize {
        self.flushed_bytes + self.output.len()
    }

    /// Whether all bytes were sent up to an offset that `end_of_output` returned. Unlike `has_sent`, the offset stays
    /// valid when the output is cleared after a complete flush.
    pub fn has_sent_up_to(&self, end: usize) -> bool {
        self.flushed_bytes + self.sent_bytes >= end
    }

    /// Sends as much of the output as the socket accepts.
    pub fn flush(&mut self) -> Result<(), Broken> {
        while self.unsent() > 0 {
            match (&*self.stream).write(&self.output[self.sent_bytes..]) {
                Ok(n) => self.sent_bytes += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(Broken::from_error(&e)),
            }
        }
        self.flushed_bytes += self.output.len();
        self.output.clear();
        self.output.shrink_to(SPARE_BUFFER_BYTES);
        self.sent_bytes = 0;
        Ok(())
    }

    /// Shuts down the sending side: the peer reads all bytes that were sent, then the end of the stream.
    pub fn shutdown_write(&self) -> std::io::Result<()> {
        self.stream.shutdown(Shutdown::Write)
    }

    /// Bytes of memory that the input takes.
    pub fn input_memory(&self) -> usize {
        self.input.capacity()
    }

    /// Drops the input and the memory that it takes.
    pub fn drop_input(&mut self) {
        self.input = Vec::new();
    }

    /// Removes the first `len` bytes of the input.
    pub fn consume(&mut self, len: usize) {
        self.input.drain(..len);
        if self.input.is_empty() {
            self.drop_input();
        } else if self.input.capacity() > self.input.len() + 2 * SPARE_BUFFER_BYTES {
            self.input.shrink_to(self.input.len() + SPARE_BUFFER_BYTES);
        }
    }
}

/// Appends to a buffer that takes hardly more memory than its bytes: many connections hold part of a long message.
fn extend_tightly(buffer: &mut Vec<u8>, bytes: &[u8]) {
    if buffer.capacity() - buffer.len() < bytes.len() {
        buffer.reserve_exact(bytes.len().max(buffer.len() / GROWTH_DIVISOR));
    }
    buffer.extend_from_slice(bytes);
}

impl Drop for Link {
    fn drop(&mut self) {
        self.handle.remove(self.token);
    }
}

#[cfg(test)]
#[path = "link_tests.rs"]
mod tests;
