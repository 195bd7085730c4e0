//! hallmux on real sockets: one thread that serves clients, query engines and the coordinator.

mod clients;
mod clock;
mod coordinator;
mod doors;
mod drill;
mod engines;
mod entrance;
mod fleet;
mod front;
mod link;
mod logger;
mod postgres;
mod reuse;
mod scatter;
mod shutdown;
mod start;

use std::net::TcpListener;
use std::process::ExitCode;

use calloop::signals::{Event, Signal, Signals};
use calloop::EventLoop;
use hallmux_agreement::NodeConfig;

use doors::Changes;
use front::Front;
use start::Fault;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("hallmux-front: {why}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Fault> {
    let variables = std::env::vars().collect();
    let station = NodeConfig::read(&variables)?;
    logger::start(&station.name, station.log_level);
    if let Some(path) = &station.clock_file {
        log::warn!("HALLMUX_CLOCK: the time is a drill's, from {}", path.display());
    }
    let known = hallmux_codec::coordinator::events(station.known_events.as_bytes());
    let known = known.map_err(|what| Fault::Known(what.to_string()))?;
    let polls = Fault::system("polling");
    let mut event_loop: EventLoop<'static, Changes> = EventLoop::try_new().map_err(|e| polls(e.into()))?;
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGHUP]).map_err(|e| polls(e.into()))?;
    let asked = |event: Event, _: &mut (), changes: &mut Changes| changes.signals.push(event.signal());
    event_loop.handle().insert_source(signals, asked).map_err(|e| polls(e.error.into()))?;
    let unfit = |why| Fault::Listen { at: station.listen, why };
    let listener = TcpListener::bind(station.listen).map_err(unfit)?;
    let address = listener.local_addr().map_err(unfit)?;
    let mut front = Front::new(&station, &known, listener, event_loop.handle())?;
    log::info!("takes statements at {address}");
    let mut changes = Changes::default();
    while !front.is_done() {
        let idle = front.idle();
        event_loop.dispatch(idle, &mut changes).map_err(|e| polls(e.into()))?;
        for signal in changes.signals.drain(..) {
            match signal {
                Signal::SIGHUP => front.reload(NodeConfig::read(&variables)),
                _ => front.end(),
            }
        }
        changes.parties.drain(..).for_each(|party| front.ready(party));
        front.turn();
    }
    log::info!("all is answered");
    Ok(())
}
