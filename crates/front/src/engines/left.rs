//! What leaves for engines, and how a connection ends.

use super::*;

impl Engines {
    /// A connection is over: each execution on it ends by how much of it has left.
    pub(super) fn end(&mut self, now: Micros, id: LinkId, ending: Ending) {
        let Some(link) = self.links.remove(&id) else { return };
        let lost = matches!(ending, Ending::Reset | Ending::Closed) && link.up && !link.open.is_empty();
        if lost && link.heard < link.taken_up {
            self.reuse.lost(link.rested, now - link.taken_up);
        }
        if let Some(engine) = self.engines.get_mut(&link.place) {
            engine.links.retain(|other| *other != id);
            if !link.up && (link.old || ending == Ending::BrokenNew) {
                log::debug!("engine {}: connection lost while it came up", engine.id);
            } else if !link.up && !std::mem::replace(&mut engine.failing, true) {
                log::warn!("engine {}: can't be reached: {ending:?}", engine.id);
            } else if link.up && !link.open.is_empty() {
                let count = link.open.len();
                log::warn!("engine {}: connection lost with {count} executions: {ending:?}", engine.id);
            }
        }
        let mut open: Vec<Sent> = link.open.into_values().collect();
        open.sort_unstable();
        for sent in open {
            let ending = match self.executions.get(&sent).map(|x| &x.stage) {
                Some(Stage::Queued) if link.up => Ending::Withdrawn,
                Some(Stage::Leaving) => Ending::HalfWritten,
                Some(_) => ending,
                None => continue,
            };
            self.ends(sent, ending);
        }
        for _ in link.probes {
            self.told.push(Told::Probed { place: link.place, alive: false, report: None });
        }
    }

    /// Sends what is to leave. Of what is queued only as much is begun as the network takes.
    pub fn flush(&mut self, now: Micros) {
        let ids: Vec<LinkId> = self.links.keys().copied().collect();
        for id in ids {
            if self.pump(now, id).is_err() {
                // What its engine had answered before the connection broke still counts.
                self.read(now, id);
                self.end(now, id, Ending::Reset);
            }
        }
        // Counted from when the word has left, not from when it was decided: a front may stand still in between.
        let untold = self.lagging.iter_mut().filter(|(due, ..)| due.is_none());
        untold.for_each(|(due, ..)| *due = Some(now + LAG));
    }

    pub(super) fn pump(&mut self, now: Micros, id: LinkId) -> Result<(), Broken> {
        let Some(link) = self.links.get_mut(&id).filter(|l| l.up) else { return Ok(()) };
        loop {
            let flushed = link.link.flush();
            // It may have run once its last byte has left, whatever becomes of the commands behind it.
            if let Some((sent, _)) = link.leaving.take_if(|(_, end)| link.link.has_left(*end)) {
                self.executions.entry(sent).and_modify(|x| x.stage = Stage::Out);
            }
            flushed?;
            if link.link.unsent() > MOST_UNSENT {
                return Err(Broken::Reset);
            } else if link.link.unsent() > 0 {
                return Ok(());
            }
            let Some(sent) = link.queue.pop_front() else { return Ok(()) };
            let Some(x) = self.executions.get_mut(&sent) else { continue };
            let engine = self.engines.get(&link.place);
            if let Some(why) = stays(now, engine, &x.terms) {
                log::debug!("statement {}: its execution stays here: {why}", x.call.id);
                self.withdraw(id, sent);
                return self.pump(now, id);
            }
            let request = ExecutionRequest {
                id: &x.call.id,
                workload: &x.call.workload,
                dedup_key: x.call.dedup_key.as_deref(),
                wait_ms: ((x.terms.ends - now) / 1000).max(1),
                grant_mb: x.terms.grant_mb,
                priority: x.terms.priority,
                statement: &x.call.statement,
            };
            if link.open.len() == 1 {
                let dialled = link.dial_by - self.allowed.dial_timeout;
                let rested = if link.idle_since > dialled { now - link.idle_since } else { 0 };
                (link.rested, link.taken_up) = (rested, now);
            }
            engine::write(link.link.output(), &Command::Execute(request));
            (x.stage, x.sent) = (Stage::Leaving, now);
            link.leaving = Some((sent, link.link.output().len()));
        }
    }
}

/// Why an execution that has waited for its connection may not leave any more, if so.
fn stays(now: Micros, engine: Option<&Engine>, terms: &Terms) -> Option<&'static str> {
    let Some(_) = engine.filter(|engine| engine.listed) else {
        // It is withdrawn as soon as that is told; if it is found here, a drain would not have been kept.
        log::error!("engine {}: an execution was still queued for it", engine.map_or("?", |e| &e.id));
        return Some("its engine drains or is gone");
    };
    if now >= terms.ends {
        return Some("its client's time is up");
    }
    // Guards against a repeat that comes after its engines have forgotten the first one.
    (now >= terms.leave_by).then_some("engines may not know it for a repeat any more")
}
