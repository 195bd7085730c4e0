//! The memory that the input of sessions takes, and sessions that give up their input.

use hallmux_dispatcher::Micros;
use hallmux_postgres::client_error::ClientError;
use hallmux_postgres::session::IncompleteUnit;

use super::{Sessions, Stage};
use crate::events::SocketKind;
use crate::input_memory::HeldInput;
use crate::postgres::ids::SessionId;

impl Sessions {
    /// The input that connections hold: units that are not complete, and those behind a unit in flight.
    pub fn held_input(&self) -> impl Iterator<Item = HeldInput> + '_ {
        self.connections.iter().map(|(id, connection)| HeldInput {
            socket: SocketKind::Session.id(*id),
            bytes: connection.link.input_memory(),
            since: connection
                .arrivals
                .front()
                .map_or(Micros::MAX, |arrival| arrival.at),
        })
    }

    /// Rejects the unit that a client is sending, as input takes too much memory; what is still to come of it is dropped.
    /// A session whose input waits behind a unit in flight is closed, as answers come in order.
    pub fn shed_input(&mut self, now: Micros, id: SessionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let input = std::mem::take(&mut connection.link.input);
        connection.arrivals.clear();
        self.held_bytes -= input.len();
        connection.last_active = now;
        self.changed.insert(id);
        let Stage::Open(open_session) = &mut connection.stage else {
            log::info!("session {id}: input takes too much memory; its connection is closed");
            connection.closing = true;
            return;
        };
        if open_session.running.is_some() {
            log::info!("session {id}: input takes too much memory; its connection is closed");
            return self.close_with_error(id, &ClientError::OutOfMemory);
        }
        let is_skipping = open_session.skipping_to_sync;
        match open_session.session.give_up_unit(&input, is_skipping) {
            Err(why) => self.close_with_error(id, &why),
            Ok(IncompleteUnit { missing_bytes }) => {
                connection.bytes_to_drop = missing_bytes;
                if !is_skipping {
                    log::info!("session {id}: input takes too much memory; its unit is rejected");
                    let retry_after_ms = None;
                    let why = ClientError::Rejected { retry_after_ms };
                    self.reject_parts(id, &[], &why);
                }
            }
        }
    }
}
