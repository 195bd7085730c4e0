//! Tests of the capacity check and of limit adjustments.

use crate::interface::Agreement;
use crate::load::Load;
use crate::policy::test_support::workload;

use super::{
    AnsweredAttempt, ConcurrencyLimits, EngineUse, LimitOutcome, LimitRequest, LimitScope, Pool,
};

const POOL: Pool = Pool {
    thread_limit: 0.0,
    threads: 0.0,
    memory_limit: 0.0,
    memory: 0.0,
};

/// The limits of one front with one engine of 8 cores; its limit is 16 threads.
fn limits() -> ConcurrencyLimits {
    let mut limits = ConcurrencyLimits::new(&Agreement {
        fronts: 1.0,
        cores: vec![8.0],
        workloads: vec![workload(1.0)],
        ..Agreement::default()
    });
    limits.resize(1);
    limits.init_engine(0, 8.0);
    limits
}

fn load(threads: f64, memory: f64) -> Load {
    Load { threads, memory }
}

fn request(local_load: Load, peer_load: Load, need: Load) -> LimitRequest<'static> {
    LimitRequest {
        at: EngineUse {
            engine: 0,
            size: load(8.0, 1000.0),
            local_load,
        },
        idle: local_load.threads == 0.0,
        peer_load,
        trust: 1.0,
        capacity_share: 1.0,
        fresh_report: false,
        need,
        pool: &POOL,
    }
}

fn capacity(outcome: LimitOutcome) -> Option<f64> {
    match outcome {
        LimitOutcome::Capacity { threads } => Some(threads),
        LimitOutcome::Exhausted => None,
    }
}

#[test]
fn the_limit_starts_at_two_threads_a_core() {
    let limits = limits();
    let nothing = Load::default();
    let need = load(1.0, 0.0);
    let left = |local_load| capacity(limits.check(&request(load(local_load, 0.0), nothing, need)));
    assert_eq!(left(15.0), Some(1.0));
    assert_eq!(left(16.0), None);
}

#[test]
fn all_fronts_together_are_limited_to_three_threads_a_core() {
    let limits = limits();
    let local_load = load(2.0, 0.0);
    let check = |peer_load, need| {
        let request = request(local_load, load(peer_load, 0.0), load(need, 0.0));
        capacity(limits.check(&request))
    };
    assert_eq!(check(20.0, 2.0), Some(2.0));
    assert_eq!(check(21.0, 2.0), None);
}

#[test]
fn memory_limits_an_engine_before_threads_do() {
    let limits = limits();
    let check = |local_load, peer_load, need| {
        let request = request(load(1.0, local_load), load(0.0, peer_load), load(1.0, need));
        capacity(limits.check(&request)).is_some()
    };
    // At the initial limit a front commits nine tenths of the memory.
    assert!(check(800.0, 0.0, 100.0));
    assert!(!check(800.0, 0.0, 101.0));
    assert!(!check(800.0, 110.0, 100.0));
}

#[test]
fn an_idle_engine_has_capacity_for_one_statement() {
    let limits = limits();
    let wide = request(Load::default(), Load::default(), load(99.0, 0.0));
    assert_eq!(
        limits.check(&wide),
        LimitOutcome::Capacity { threads: 16.0 }
    );
}

#[test]
fn quick_answers_raise_the_limit_while_it_is_in_use_and_late_ones_lower_it() {
    let mut limits = limits();
    let answer = |took, local_threads| AnsweredAttempt {
        engine: 0,
        threads: 1.0,
        took,
        slo: 1e6,
        local_threads,
    };
    let limit = |limits: &ConcurrencyLimits| {
        let need = load(0.0, 0.0);
        let nothing = Load::default();
        capacity(limits.check(&request(nothing, nothing, need))).unwrap()
    };
    limits.record_answer(&answer(350_000.0, 13.0), |_| POOL, |_| 8.0);
    assert_eq!(limit(&limits), 16.0, "the limit is not in use");
    limits.record_answer(&answer(360_000.0, 14.0), |_| POOL, |_| 8.0);
    assert_eq!(limit(&limits), 16.0, "neither quick nor late");
    limits.record_answer(&answer(350_000.0, 14.0), |_| POOL, |_| 8.0);
    let raised = limit(&limits);
    assert!(raised > 16.0);
    limits.record_answer(&answer(1_000_001.0, 1.0), |_| POOL, |_| 8.0);
    assert!(limit(&limits) < raised);
}

#[test]
fn a_limit_never_falls_below_its_minimum() {
    let mut limits = limits();
    for _ in 0..1000 {
        limits.shrink(0, 8.0, |_| 8.0);
    }
    let nothing = Load::default();
    let left = capacity(limits.check(&request(nothing, nothing, nothing))).unwrap();
    // 0.06 of the initial 16 threads, about one thread on an engine of eight cores.
    assert!((left - 0.96).abs() < 1e-9, "{left}");
}

#[test]
fn limits_are_pooled_where_a_share_of_one_engine_holds_no_statement() {
    let scope = |fronts| {
        let mut agreement = Agreement {
            fronts,
            cores: vec![8.0, 16.0],
            ..Agreement::default()
        };
        agreement.workloads.push(workload(1.0));
        ConcurrencyLimits::new(&agreement).scope()
    };
    assert_eq!(scope(16.0), LimitScope::PerEngine);
    assert_eq!(scope(17.0), LimitScope::Pooled);
}

#[test]
fn a_pool_limits_a_front_unless_it_is_idle_or_an_engine_reports_idle_cores() {
    let mut agreement = Agreement {
        fronts: 100.0,
        cores: vec![8.0],
        ..Agreement::default()
    };
    agreement.workloads.push(workload(1.0));
    let mut limits = ConcurrencyLimits::new(&agreement);
    limits.resize(1);
    limits.init_engine(0, 8.0);
    let check = |threads, fresh_report, peer_load| {
        let pool = Pool {
            thread_limit: 1.5,
            threads,
            ..POOL
        };
        let mut request = request(load(threads, 0.0), load(peer_load, 0.0), load(1.0, 0.0));
        request.pool = &pool;
        request.fresh_report = fresh_report;
        capacity(limits.check(&request)).is_some()
    };
    assert!(
        check(0.0, false, 0.0),
        "an idle front may send one statement"
    );
    assert!(check(0.5, false, 0.0), "within the pool");
    assert!(!check(1.0, false, 0.0), "beyond the pool");
    assert!(check(1.0, true, 6.0), "a fresh report shows idle cores");
    assert!(
        !check(1.0, true, 6.1),
        "the report shows too few idle cores"
    );
}
