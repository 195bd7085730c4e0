//! A limit of a rule over several fronts, one of which is stopped for longer than its lease: never more executions in
//! any window than the limit, by the records of the engines and the clients alone.

use std::collections::HashMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fronts::fleet;
use crate::{id, Scenario};

const MOST: usize = 20;
const WINDOW: Duration = Duration::from_secs(6);
const EVERY: Duration = Duration::from_millis(60); // between statements of a client
const AFTER: u32 = 40; // statements of each front after it goes on
const PATIENCE: Duration = Duration::from_secs(60);

type Heard = Arc<Mutex<HashMap<String, Vec<Instant>>>>;

/// The front that a statement was asked of.
fn of(id: &str) -> u32 {
    id.parse::<u32>().map_or(0, |number| number / 1_000)
}

/// Asks a front for a statement; when.
fn ask(front: &mut Scenario, number: u32) -> Instant {
    let number = number.to_string();
    let frame = front.frame(&number, &[], &format!("select {number}"));
    let sent = Instant::now();
    front
        .clients
        .get_mut("c")
        .unwrap()
        .write_all(&frame)
        .unwrap();
    sent
}

#[test]
fn never_more_executions_than_a_limit_though_a_front_is_stopped_past_its_lease() {
    let rules = format!(
        "{{ version: 1, default: 'allow', rules: [ {{ name: 'few', customer: 'acme', at_most: {MOST}, in_ms: {} }} ] }}",
        WINDOW.as_millis()
    );
    let mut fleet = fleet(&rules);
    let heard = Heard::default();
    for front in &mut fleet {
        front.line("logs version 1 of the rules is in force");
        front.line("c connects");
        let engines = std::mem::take(&mut front.engines);
        engines
            .into_values()
            .for_each(|engine| engine.answers(heard.clone()));
    }
    let mut sent = HashMap::new();
    let began = Instant::now();
    let by = |front: u32| {
        heard
            .lock()
            .unwrap()
            .keys()
            .filter(|id| of(id) == front)
            .count()
    };
    let (mut n, mut halted, mut goes_on) = (0, false, None);
    while goes_on.is_none_or(|since| n < since + AFTER) {
        let turn = Instant::now();
        n += 1;
        if !halted && by(3) == MOST {
            fleet[2].line("halt");
            halted = true;
        }
        // What it had spent was taken back, and is spent again: now it wakes.
        if goes_on.is_none() && by(1) > 0 && by(2) > 0 {
            fleet[2].line("goes on");
            goes_on = Some(n);
        }
        assert!(
            began.elapsed() < PATIENCE,
            "what a stopped front holds was not taken back"
        );
        for (at, front) in fleet
            .iter_mut()
            .enumerate()
            .filter(|(at, _)| *at == 2 || halted)
        {
            let number = 1_000 * (at as u32 + 1) + n;
            sent.insert(id(&number.to_string()), ask(front, number));
        }
        std::thread::sleep(EVERY.saturating_sub(turn.elapsed()));
    }
    let by = [by(1), by(2), by(3)];
    // Each left between its asking and its being heard: those that surely all left within one window.
    let heard = heard.lock().unwrap().clone();
    let left: Vec<(Instant, Instant)> = heard
        .iter()
        .flat_map(|(id, all)| all.iter().map(|at| (sent[id], *at)))
        .collect();
    let most = left.iter().map(|(from, _)| {
        left.iter()
            .filter(|(sent, heard)| sent >= from && *heard < *from + WINDOW)
            .count()
    });
    let most = most.max().unwrap_or(0);
    println!(
        "{} executions, {by:?} by front, {most} at most in a window",
        left.len()
    );
    assert!(most <= MOST, "{most} executions in one window");
}
