//! Unit tests of the `overload` module.

use super::super::sections::tests::read;
use super::Overload;
use hallmux::interface::{Agreement, EngineBudgets, RetryAllowance};

#[test]
fn limits_are_checked_and_the_spare_budget_is_divided_by_the_fronts() {
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
    let error = overload(",\n overload: { further_percent: 101 }").unwrap_err();
    assert!(
        error
            .to_string()
            .starts_with("line 2: gossip.overload.further_percent"),
        "{error}"
    );
    assert!(overload(", overload: { furthest: 1 }").is_err());
    for (key, value) in [
        ("connections_per_second", "-1"),
        ("probes_per_second", "1000001"),
    ] {
        let error = overload(&format!(",\n overload: {{ {key}: {value} }}")).unwrap_err();
        assert!(
            error.starts_with(&format!("line 2: gossip.overload.{key}: ")),
            "{error}"
        );
    }
    let limits = overload(", overload: { connections_per_second: 30, probes_per_second: 0 }")
        .unwrap()
        .unwrap();
    let mut agreement = Agreement::default();
    limits.apply(&mut agreement);
    let budgets = EngineBudgets {
        connections: 30.0,
        probes: f64::INFINITY,
    };
    assert_eq!(agreement.budgets, Some(budgets));
    Overload {
        connections_per_second: 0,
        ..limits
    }
    .apply(&mut agreement);
    assert_eq!(agreement.budgets, None);
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
    let allowance = agreed.retry_allowance.unwrap();
    assert_eq!(
        (allowance.spare, allowance.ratio, allowance.window),
        (0.5, 0.05, 1)
    );
    agreed.retry_allowance = None;
    Overload::default().apply(&mut agreed);
    assert_eq!(
        agreed.retry_allowance.map(|f| (f.spare, f.ratio)),
        Some((0.0, 0.08))
    );
}
