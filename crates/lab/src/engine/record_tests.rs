//! Unit tests of the `record` module.

use super::*;

#[test]
fn connections_from_one_port_to_two_engines_belong_to_separate_fronts() {
    let (records, at) = (Records::new(), |port: u16| {
        SocketAddr::from(([127, 0, 0, 1], port))
    });
    records.note_connection(at(9), at(1), 3);
    records.note_connection(at(9), at(2), 4);
    assert_eq!(records.front_of(at(9), at(1)), Some(3));
    assert_eq!(
        (
            records.front_of(at(9), at(2)),
            records.front_of(at(9), at(3))
        ),
        (Some(4), None)
    );
}

#[test]
fn a_front_is_killed_only_at_its_step_of_a_statement_received_since() {
    let records = Records::new();
    let mut child = std::process::Command::new("sleep")
        .arg("60")
        .spawn()
        .unwrap();
    let armed = |draw| Armed {
        death: DeathStep::new(Step::Copying, 1, draw),
        pid: child.id(),
    };
    records.arm(Some(armed(1)));
    assert!(
        !records.step_reached(Step::Copying, 1),
        "no statement was sent yet"
    );
    assert!(!records.step_reached(Step::Taken, 0) && !records.step_reached(Step::Taken, 1));
    assert!(!records.step_reached(Step::Copying, 0) && !records.step_reached(Step::Copying, 1));
    assert!(records.step_reached(Step::Copying, 1) && !records.is_armed());
    assert!(!child.wait().unwrap().success());
    assert_eq!(records.steps.lock().unwrap()[0].0, Step::Copying);
}
