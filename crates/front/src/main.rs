//! The front's process: one thread that serves clients, query engines and the coordinator over sockets.

mod clients;
mod clock;
mod coordinator;
mod dial_pacer;
mod engine_protocols;
mod engine_starts;
mod engines;
mod event_loop;
mod events;
mod execution;
mod fleet;
mod input_memory;
mod lingering;
mod link;
mod listed_engine;
mod listener;
mod logger;
mod machine_clock;
mod postgres;
mod read_queue;
mod refusal;
mod reuse;
mod scatter;
mod shutdown;
mod start_error;
mod test_clock;
mod transient;
mod unsent_answers;

use std::collections::HashMap;
use std::ffi::OsString;
use std::net::TcpListener;
use std::process::ExitCode;

use calloop::signals::{Event, Signal, Signals};
use calloop::EventLoop;
use hallmux_config::{NodeConfig, OneLine};

use event_loop::EventLoopState;
use events::LoopEvents;
use start_error::StartError;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hallmux-front: {}", OneLine(error));
            ExitCode::FAILURE
        }
    }
}

/// The environment variables. Guards against a panic on any variable that is not valid UTF-8, whether it is used or not.
fn environment() -> HashMap<String, String> {
    let text = |bytes: OsString| bytes.to_string_lossy().into_owned();
    std::env::vars_os()
        .map(|(name, value)| (text(name), text(value)))
        .collect()
}

/// Starts the front and serves until a graceful shutdown is complete.
fn run() -> Result<(), StartError> {
    let variables = environment();
    let config = NodeConfig::read(&variables)?;
    logger::start(&config.name, config.log_level);
    if let Some(path) = &config.clock_file {
        log::warn!(
            "HALLMUX_CLOCK: the time is read from the test clock {}",
            path.display()
        );
    }
    let known_events = hallmux_native_codec::coordinator::events(config.known_events.as_bytes());
    let known_events =
        known_events.map_err(|error| StartError::known_events(&variables, &error.to_string()))?;
    let mut event_loop = event_loop_with_signals()?;
    let listen_error = |error| StartError::listen(&variables, config.listen, error);
    let listener = transient::retry(|| TcpListener::bind(config.listen)).map_err(listen_error)?;
    let address = listener.local_addr().map_err(listen_error)?;
    let mut front = EventLoopState::new(&config, &known_events, listener, event_loop.handle())?;
    log::info!("takes statements at {address}");
    run_event_loop(&mut event_loop, &mut front, &variables)?;
    log::info!("all is answered");
    Ok(())
}

/// An event loop that reports SIGTERM and SIGHUP.
fn event_loop_with_signals() -> Result<EventLoop<'static, LoopEvents>, StartError> {
    let event_loop = transient::retry(|| Ok(EventLoop::try_new()?)).map_err(polling_error)?;
    let signals = transient::retry(|| Ok(Signals::new(&[Signal::SIGTERM, Signal::SIGHUP])?))
        .map_err(polling_error)?;
    let push_signal =
        |event: Event, _: &mut (), events: &mut LoopEvents| events.signals.push(event.signal());
    event_loop
        .handle()
        .insert_source(signals, push_signal)
        .map_err(|e| polling_error(e.error.into()))?;
    Ok(event_loop)
}

/// Runs the event loop until a graceful shutdown is complete. Each iteration handles signals, then sockets, then the
/// decisions that follow from both.
fn run_event_loop(
    event_loop: &mut EventLoop<'static, LoopEvents>,
    front: &mut EventLoopState,
    variables: &HashMap<String, String>,
) -> Result<(), StartError> {
    let mut events = LoopEvents::default();
    while !front.is_done() {
        let sleep_time = front.prepare_sleep();
        event_loop
            .dispatch(sleep_time, &mut events)
            .map_err(|e| polling_error(e.into()))?;
        for signal in events.signals.drain(..) {
            match signal {
                Signal::SIGHUP => front.reload(NodeConfig::read(variables)),
                _ => front.shut_down(),
            }
        }
        for socket in events.ready.drain(..) {
            front.handle_ready_socket(socket);
        }
        front.run_iteration();
    }
    Ok(())
}

fn polling_error(error: std::io::Error) -> StartError {
    StartError::system("polling", &error)
}
