//! Executions on their way out: the choice of a connection, dials, cancels, probes.

use super::*;

impl EngineConnection {
    /// Whether it is of use for more executions.
    pub(super) fn takes_executions(&self) -> bool {
        !self.retired && self.cancelled.len() + self.finished.len() < MOST_FORMER_IDS
    }
}

impl Engines {
    /// Sends an execution over a connection that has room for it, a new one if need be.
    pub fn send(
        &mut self,
        now: Micros,
        execution_id: ExecutionId,
        place: Place,
        call: Rc<Call>,
        terms: Terms,
    ) {
        let id = match self.choose_connection(now, place, &call.id) {
            Ok(id) => id,
            Err(ending) => return self.report_end(execution_id, ending),
        };
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.open.insert(call.id.clone(), execution_id);
        connection.queue.push_back(execution_id);
        let stage = Stage::Queued;
        let execution = Execution {
            connection: id,
            call,
            terms,
            stage,
            sent_at: now,
            last_reply: now,
            pages: None,
        };
        self.executions.insert(execution_id, execution);
    }

    pub(super) fn choose_connection(
        &mut self,
        now: Micros,
        place: Place,
        id: &str,
    ) -> Result<ConnectionId, Ending> {
        let most = self.allowance.executions_per_connection;
        let engine = self.engines.get(&place).ok_or(Ending::Withdrawn)?;
        let fits = |connection: &&ConnectionId| {
            self.connections.get(connection).is_some_and(|l| {
                let known =
                    l.open.contains_key(id) || l.cancelled.contains(id) || l.finished.contains(id);
                // Where cancelling is not allowed, what was given up runs on there.
                let runs_on = if self.allowance.cancel {
                    0
                } else {
                    l.cancelled.len()
                };
                let room = l.open.len() + l.probes.len() + runs_on < most;
                l.takes_executions() && !known && room
            })
        };
        // Guards against losing many executions with one connection: few share one as far as descriptors go,
        // and those that have some come first, so that the others may end as idle.
        let rank = |connection: &&ConnectionId| {
            let l = &self.connections[connection];
            (
                l.up && l.link.unsent() == 0,
                l.open.len() + l.probes.len(),
                l.idle_since,
            )
        };
        let few = |link: &&ConnectionId| rank(link).1 < MOST_SHARED;
        if let Some(connection) = engine
            .connections
            .iter()
            .filter(fits)
            .filter(few)
            .max_by_key(rank)
        {
            return Ok(*connection);
        }
        let least = engine
            .connections
            .iter()
            .filter(fits)
            .min_by_key(|connection| rank(connection).1)
            .copied();
        match least {
            Some(connection) if !self.may_dial(engine) => Ok(connection),
            // No new connection may be made now: what is there is used, else it stays here.
            _ if !self.dials.borrow_mut().take(now, place) => least.ok_or(Ending::Withdrawn),
            _ => self.dial(now, place).or_else(|ending| least.ok_or(ending)),
        }
    }

    pub(super) fn dial(&mut self, now: Micros, place: Place) -> Result<ConnectionId, Ending> {
        let engine = self.engines.get_mut(&place).ok_or(Ending::Withdrawn)?;
        self.next += 1;
        let id = self.next;
        let link = match Link::dial(engine.at, &self.handle, SocketKind::Engine.id(id)) {
            Ok(link) => link,
            Err(e) => {
                log::warn!("engine {}: no connection can be made: {e}", engine.id);
                return Err(match e.kind() {
                    ErrorKind::ConnectionRefused => Ending::Refused,
                    ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable => Ending::NeverUp,
                    _ => Ending::NoMeans,
                });
            }
        };
        engine.connections.push(id);
        let connection = EngineConnection {
            link,
            place,
            up: false,
            retired: false,
            dial_by: now + self.allowance.dial_timeout,
            last_reply: now,
            partial_line_since: None,
            idle_since: now,
            idle_before: 0,
            resumed_at: now,
            queue: VecDeque::new(),
            writing: None,
            open: HashMap::new(),
            cancelled: HashSet::new(),
            finished: HashSet::new(),
            probes: HashMap::new(),
        };
        self.connections.insert(id, connection);
        Ok(id)
    }

    pub fn set_priority(&mut self, execution_id: ExecutionId, priority: u8) {
        let Some(execution) = self.executions.get_mut(&execution_id) else {
            return;
        };
        execution.terms.priority = priority;
        if execution.stage != Stage::Queued && execution.pages.is_none() {
            if let Some(connection) = self.connections.get_mut(&execution.connection) {
                engine::write(
                    connection.link.output(),
                    &Command::SetPriority {
                        id: &execution.call.id,
                        priority,
                    },
                );
            }
        }
    }

    /// Cancels an execution. It ends with the ending given, or as withdrawn where nothing of it has left.
    pub fn cancel(&mut self, now: Micros, execution_id: ExecutionId, ending: Ending) {
        let Some(execution) = self.executions.get(&execution_id) else {
            return self.end_awaited(execution_id, ending);
        };
        let (id, name) = (execution.connection, execution.call.id.clone());
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        // A connection silent since then, longer than one takes to come up, may be to a machine that is gone.
        connection.retired |= connection.up
            && connection.last_reply < execution.sent_at
            && now - execution.sent_at > self.allowance.dial_timeout;
        // Nor is one of use on which the answer never came.
        connection.retired |=
            execution.stage == Stage::Out && now - execution.last_reply > SILENCE_TIMEOUT;
        match execution.stage {
            Stage::Queued => {
                connection.queue.retain(|other| *other != execution_id);
                self.withdraw(id, execution_id);
            }
            // It would reach its engine whole after its end: rather the connection goes.
            Stage::Writing => self.close(now, id, Ending::ClosedHere),
            Stage::Out => {
                match execution.pages {
                    Some(_) => engine::write(
                        connection.link.output(),
                        &Command::ReleaseResult { id: &name },
                    ),
                    None if self.allowance.cancel => {
                        engine::write(connection.link.output(), &Command::Cancel { id: &name })
                    }
                    None => {}
                }
                connection.idle_since = now;
                connection.open.remove(&name);
                connection.cancelled.insert(name);
                let leaves = (id, connection.link.end_of_output());
                self.end_execution(execution_id, ending, Some(leaves));
            }
        }
    }

    pub fn probe(&mut self, now: Micros, place: Place) {
        self.next += 1;
        let tag = format!("p{}", self.next);
        let connection = match self.choose_connection(now, place, &tag) {
            Err(Ending::Withdrawn) => return, // no new connection may be made now: that says nothing of the engine
            other => other.ok().and_then(|id| self.connections.get_mut(&id)),
        };
        let Some(connection) = connection else {
            return self.events.push(Event::Probed {
                place,
                alive: false,
                report: None,
            });
        };
        if connection.up {
            engine::write(connection.link.output(), &Command::Probe { tag: &tag });
        }
        connection
            .probes
            .insert(tag, now + self.allowance.dial_timeout);
    }
}
