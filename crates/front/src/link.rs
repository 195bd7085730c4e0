//! One connection: a socket that never blocks, what was received over it and what is still to be sent.

use std::cell::RefCell;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use socket2::{Domain, Protocol, Socket, Type};

use crate::events::{LoopEvents, SocketId};

/// Bytes read at once.
const READ_CHUNK_BYTES: usize = 64 << 10;
/// Bytes on their way that can't be read back: some hundred statements.
const SEND_BUFFER_BYTES: usize = 64 << 10;
/// Bytes read from a connection before others are served.
const MAX_BYTES_PER_ITERATION: usize = 256 << 10;
/// EINPROGRESS, which the standard library has no kind for.
const EINPROGRESS: i32 = 115;

thread_local! {
    /// What is read goes through here, so that a connection holds no more than it needs.
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_CHUNK_BYTES]);
}

/// How a connection ended from the other side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    Closed,
    Reset,
    /// This system has given it up (no answers, no route); the other side may not know yet.
    Lost,
}

impl Broken {
    /// What an error of a connection that was up tells of its other side.
    fn from_error(error: &std::io::Error) -> Broken {
        match error.kind() {
            ErrorKind::ConnectionReset | ErrorKind::BrokenPipe | ErrorKind::ConnectionAborted => {
                Broken::Reset
            }
            _ => Broken::Lost,
        }
    }
}

/// What one read of a connection has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadOutcome {
    /// More may be readable: the connection is to be read again without waiting for the event loop.
    pub has_more: bool,
    /// How the other side ended the connection, if it did; what came before that was read.
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

/// One TCP connection: its socket, what was received and not read yet, and what is still to be sent.
pub struct Link {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    handle: LoopHandle<'static, LoopEvents>,
    /// What was received and is not read yet.
    pub input: Vec<u8>,
    output: Vec<u8>,
    /// Bytes of `output` that were sent.
    sent_bytes: usize,
    /// Bytes sent before those of `output`, over the connection's whole life.
    flushed_bytes: usize,
}

impl Link {
    /// Serves a connection that is up or coming up; the event loop reports it under the id given.
    pub fn new(
        stream: TcpStream,
        handle: &LoopHandle<'static, LoopEvents>,
        id: SocketId,
    ) -> std::io::Result<Link> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        // Reported once for each change (edge-triggered), so that a connection that is not read for now costs nothing.
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

    /// Begins a connection to an address; `is_up` says when it has come up.
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

    /// Whether a dialled connection is up by now, or why it never will be.
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

    /// Takes what is readable, up to the bytes of one iteration.
    pub fn read(&mut self) -> ReadOutcome {
        self.read_some(MAX_BYTES_PER_ITERATION)
    }

    /// The same up to so many bytes and one chunk.
    pub fn read_some(&mut self, limit: usize) -> ReadOutcome {
        READ_BUFFER.with_borrow_mut(|chunk| {
            let mut read = 0;
            while read < limit {
                match (&*self.stream).read(chunk) {
                    Ok(0) => return ReadOutcome::broken(Broken::Closed),
                    Ok(n) => {
                        self.input.extend_from_slice(&chunk[..n]);
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

    /// Releases memory that an idle connection does not need.
    pub fn release_memory(&mut self) {
        self.input.shrink_to(self.input.len());
        if self.unsent() == 0 {
            self.output.shrink_to(0);
        }
    }

    /// What is to leave with the next `flush`.
    pub fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// Bytes of the output that were not sent yet.
    pub fn unsent(&self) -> usize {
        self.output.len() - self.sent_bytes
    }

    /// Whether the first bytes of the output were sent, up to the offset given.
    pub fn has_sent(&self, end: usize) -> bool {
        self.unsent() == 0 || self.sent_bytes >= end
    }

    /// Where what is written by now ends among all bytes of the connection, sent or not.
    pub fn end_of_output(&self) -> usize {
        self.flushed_bytes + self.output.len()
    }

    /// Whether all bytes were sent up to an end that `end_of_output` gave. Guards against an end from before
    /// the output was last cleared, which `has_sent` would look for in what was written since.
    pub fn has_sent_up_to(&self, end: usize) -> bool {
        self.flushed_bytes + self.sent_bytes >= end
    }

    /// Sends as much as the network takes.
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
        self.output.shrink_to(READ_CHUNK_BYTES);
        self.sent_bytes = 0;
        Ok(())
    }

    /// Ends what is sent: the other side reads all that has left, then the end.
    pub fn shutdown_write(&self) -> std::io::Result<()> {
        self.stream.shutdown(Shutdown::Write)
    }

    /// Drops the first bytes of the input, which were read.
    pub fn consume(&mut self, len: usize) {
        self.input.drain(..len);
        if self.input.capacity() > self.input.len() + 2 * READ_CHUNK_BYTES {
            self.input.shrink_to(self.input.len() + READ_CHUNK_BYTES);
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.handle.remove(self.token);
    }
}

#[cfg(test)]
#[path = "link_tests.rs"]
mod tests;
