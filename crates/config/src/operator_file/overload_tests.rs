//! Unit tests of the `overload` module.

use super::super::sections::tests::read;
use super::Overload;
use hallmux::interface::{Agreement, EngineBudgets, RetryAllowance};

#[test]
fn the_share_is_read_and_checked_and_the_budget_is_the_fleets() {
    let gossip = |inner: &str| {
        let key = "0f".repeat(32);
        format!("{{ gossip: {{ listen: '127.0.0.1:0', secret_file: 's', peers: {{ a: '{key}' }}{inner} }} }}")
    };
    let overload = |inner: &str| read(&gossip(inner)).map(|read| read.gossip.unwrap().overload);
    assert_eq!(overload("").unwrap(), None);
    assert_eq!(
        overload(", overload: {}").unwrap(),
        Some(Overload::default())
    );
    let why = overload(",\n overload: { further_percent: 101 }").unwrap_err();
    assert!(
        why.to_string()
            .starts_with("line 2: gossip.overload.further_percent"),
        "{why}"
    );
    assert!(overload(", overload: { furthest: 1 }").is_err());
    for (key, value) in [
        ("connections_per_second", "-1"),
        ("probes_per_second", "1000001"),
    ] {
        let why = overload(&format!(",\n overload: {{ {key}: {value} }}")).unwrap_err();
        assert!(
            why.starts_with(&format!("line 2: gossip.overload.{key}: ")),
            "{why}"
        );
    }
    let few = overload(", overload: { connections_per_second: 30, probes_per_second: 0 }")
        .unwrap()
        .unwrap();
    let mut bound = Agreement::default();
    few.apply(&mut bound);
    let budgets = EngineBudgets {
        connections: 30.0,
        probes: f64::INFINITY,
    };
    assert_eq!(bound.budgets, Some(budgets));
    Overload {
        connections_per_second: 0,
        ..few
    }
    .apply(&mut bound);
    assert_eq!(bound.budgets, None);
    let mut agreed = Agreement {
        fronts: 20.0,
        ..Agreement::default()
    };
    agreed.retry_allowance = Some(RetryAllowance {
        spare: 10.0,
        ratio: 0.05,
        window: 1,
    });
    Overload::default().apply(&mut agreed);
    let further = agreed.retry_allowance.unwrap();
    assert_eq!(
        (further.spare, further.ratio, further.window),
        (0.5, 0.05, 1)
    );
    agreed.retry_allowance = None;
    Overload::default().apply(&mut agreed);
    assert_eq!(
        agreed.retry_allowance.map(|f| (f.spare, f.ratio)),
        Some((0.0, 0.08))
    );
}
