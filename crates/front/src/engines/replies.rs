//! Replies of engines: results put together from their pages, progress notes, probes.

use hallmux_native_codec::Decoded;

use super::*;
use crate::link::ReadOutcome;

impl Engines {
    /// A connection has changed; true if there is more for another iteration.
    pub fn read(&mut self, now: Micros, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        if !connection.up {
            match connection.link.is_up() {
                Ok(false) => return false,
                Ok(true) => {
                    connection.up = true;
                    if let Some(engine) = self
                        .engines
                        .get_mut(&connection.place)
                        .filter(|e| e.failing)
                    {
                        engine.failing = false;
                        log::info!("engine {}: reached again", engine.id);
                    }
                    for tag in connection.probes.keys() {
                        engine::write(connection.link.output(), &Command::Probe { tag });
                    }
                }
                Err(e) => {
                    let ending = match e.kind() {
                        ErrorKind::ConnectionRefused => Ending::Refused,
                        // Whoever resets a connection is there.
                        ErrorKind::ConnectionReset | ErrorKind::BrokenPipe => Ending::BrokenNew,
                        _ => Ending::NeverUp,
                    };
                    self.close(now, id, ending);
                    return false;
                }
            }
        }
        let ReadOutcome {
            has_more: more,
            broken,
        } = connection.link.read();
        let input = std::mem::take(&mut connection.link.input);
        let mut at = 0;
        let unreadable = loop {
            match engine::read(&input[at..], &self.report_names) {
                Ok(None) => break None,
                Err(what) => break Some(what),
                Ok(Some(Decoded { len, message })) => {
                    at += len;
                    self.take_line(now, id, message);
                    if !self.connections.contains_key(&id) {
                        return false;
                    }
                }
            }
        };
        if let Some(what) = unreadable {
            log::warn!(
                "engine {}: {what}; its connection is closed",
                self.engine_name(id)
            );
            self.close(now, id, Ending::Unreadable);
        } else if let Some(connection) = self.connections.get_mut(&id) {
            connection.link.input = input;
            connection.link.consume(at);
            let partial = !connection.link.input.is_empty();
            connection.partial_line_since = partial.then(|| {
                connection
                    .partial_line_since
                    .filter(|_| at == 0)
                    .unwrap_or(now)
            });
        }
        if let Some(broken) = broken {
            self.close(now, id, ending_of(broken));
        }
        more
    }

    pub(super) fn take_line(&mut self, now: Micros, id: ConnectionId, line: Reply) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.last_reply = now;
        if let ReplyKind::ProbeAnswer { healthy } = line.kind {
            if connection.probes.remove(line.id).is_some() {
                self.events.push(Event::Probed {
                    place: connection.place,
                    alive: healthy,
                    report: line.report,
                });
            }
            return;
        }
        // What is said of an execution that was given up or is unknown means nothing any more.
        let Some(&execution_id) = connection.open.get(line.id) else {
            let over = matches!(
                line.kind,
                ReplyKind::FirstPage { .. }
                    | ReplyKind::Rejected
                    | ReplyKind::Failed
                    | ReplyKind::Stale
            );
            if over && !self.allowance.cancel && connection.cancelled.remove(line.id) {
                connection.idle_since = now;
                engine::write(
                    connection.link.output(),
                    &Command::ReleaseResult { id: line.id },
                );
            }
            return;
        };
        let Some(execution) = self
            .executions
            .get_mut(&execution_id)
            .filter(|execution| execution.stage == Stage::Out)
        else {
            return;
        };
        execution.last_reply = now;
        let ending = match line.kind {
            ReplyKind::FirstPage { pages } if execution.pages.is_none() && pages <= MOST_PAGES => {
                let report = line.report.clone();
                let mut first = Pages {
                    missing: pages,
                    report,
                    last_page: now,
                    ..Pages::default()
                };
                first.bytes.resize(pages, None);
                execution.pages = Some(first);
                for page in 1..pages {
                    engine::write(
                        connection.link.output(),
                        &Command::FetchPage { id: line.id, page },
                    );
                }
                execution.take_page(now, 0, line.bytes)
            }
            ReplyKind::FirstPage { pages }
                if execution
                    .pages
                    .as_ref()
                    .is_some_and(|p| p.bytes.len() == pages) =>
            {
                execution.take_page(now, 0, line.bytes)
            }
            ReplyKind::FirstPage { .. } => Some(Ending::Unreadable),
            ReplyKind::Page { number } => execution.take_page(now, number, line.bytes),
            ReplyKind::Rejected if execution.pages.is_none() => Some(Ending::TurnedAway),
            ReplyKind::Stale if execution.pages.is_none() => Some(Ending::Stale),
            ReplyKind::Failed if execution.pages.is_none() => Some(Ending::EngineFailed),
            ReplyKind::Rejected | ReplyKind::Stale | ReplyKind::Failed => Some(Ending::PageLost),
            ReplyKind::ShareDone(share) => return self.note(execution_id, Note::ShareDone(share)),
            ReplyKind::SpillsMb(mb) => return self.note(execution_id, Note::SpillsMb(mb)),
            ReplyKind::WaitsForMemory => return self.note(execution_id, Note::WaitsForMemory),
            ReplyKind::WaitsForData => return self.note(execution_id, Note::WaitsForData),
            ReplyKind::OtherNote | ReplyKind::ProbeAnswer { .. } => None,
        };
        let Some(ending) = ending else { return };
        if ending == Ending::Unreadable {
            log::warn!(
                "engine {}: a spoilt result; its connection is closed",
                self.engine_name(id)
            );
            return self.close(now, id, ending);
        }
        connection.open.remove(line.id);
        connection.idle_since = now;
        let pages = self
            .executions
            .remove(&execution_id)
            .and_then(|execution| execution.pages)
            .unwrap_or_default();
        if ending == Ending::PageLost {
            engine::write(
                connection.link.output(),
                &Command::ReleaseResult { id: line.id },
            );
        }
        if ending != Ending::Answered {
            let over = if self.allowance.cancel {
                &mut connection.cancelled
            } else {
                &mut connection.finished
            };
            over.insert(line.id.to_string());
        }
        if ending == Ending::Answered {
            self.reuse.answered();
        }
        log::debug!(
            "statement {}: execution {} ended: {ending:?}",
            execution_id.ticket,
            execution_id.number
        );
        let report = line.report.or(pages.report);
        let result = match ending {
            Ending::Answered => pages.bytes.into_iter().flatten().flatten().collect(),
            _ => Vec::new(),
        };
        self.events.push(Event::Ended {
            execution_id,
            ending,
            report,
            result,
        });
    }

    pub(super) fn note(&mut self, execution_id: ExecutionId, note: Note) {
        self.events.push(Event::Noted { execution_id, note });
    }
}

/// How executions end that are out on a connection which broke. One that this system gave up is closed from here: its
/// engine may run them until it has read so.
pub(super) fn ending_of(broken: Broken) -> Ending {
    match broken {
        Broken::Closed => Ending::Closed,
        Broken::Reset => Ending::Reset,
        Broken::Lost => Ending::ClosedHere,
    }
}

impl Execution {
    /// Takes a page; the last one missing answers the execution. A second copy is passed over. What is not
    /// agreed, or other than the first copy, spoils the whole: never a part or a wrong one for the whole.
    fn take_page(&mut self, now: Micros, number: usize, bytes: &[u8]) -> Option<Ending> {
        let pages = self.pages.as_mut()?; // else nobody asked for it
        match pages.bytes.get_mut(number) {
            Some(Some(known)) if known == bytes => return None,
            Some(page @ None)
                if engine::are_rows(bytes) && pages.held + bytes.len() <= LONGEST_RESULT =>
            {
                *page = Some(bytes.to_vec());
            }
            _ => return Some(Ending::Unreadable),
        }
        pages.held += bytes.len();
        pages.last_page = now;
        pages.missing -= 1;
        (pages.missing == 0).then_some(Ending::Answered)
    }
}
