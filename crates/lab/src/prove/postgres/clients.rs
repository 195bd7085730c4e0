//! Clients that use the `tokio_postgres` library: units of every kind, and transactions.

use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio_postgres::{Client, NoTls};

use super::notes::{Notes, TIMEOUT};
use crate::check::{Outcome, Repeat, StatementRecord, Transaction};

/// Returns the outcome of an answer: that of its rows, the error's code, or `Lost` without one.
pub fn outcome<T>(
    answer: Result<T, tokio_postgres::Error>,
    rows: impl FnOnce(T) -> Outcome,
) -> Outcome {
    match answer {
        Ok(answer) => rows(answer),
        Err(e) => match e.code() {
            Some(code) => Outcome::Error(code.code().to_string()),
            None => Outcome::Lost,
        },
    }
}

/// Returns `Completed` if the rows are those of the statement, in order and unchanged; otherwise
/// `Spoilt`.
fn check_rows(asked: &StatementRecord, rows: &[tokio_postgres::Row]) -> Outcome {
    let has_expected_text = |n: usize, row: &tokio_postgres::Row| {
        row.try_get::<_, &str>(0)
            .is_ok_and(|text| text.starts_with(&format!("{}:{n}:x", asked.id)))
    };
    match rows
        .iter()
        .enumerate()
        .all(|(n, row)| has_expected_text(n, row))
    {
        true => Outcome::Completed { rows: rows.len() },
        false => Outcome::Spoilt,
    }
}

/// Runs clients one after the other, each with its own connection, until the run ends.
pub(super) async fn run_client(seed: u64, port: u16, notes: Arc<Notes>) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let user = "portal";
    while !notes.is_stopping() {
        let at = format!(
            "host=127.0.0.1 port={port} user={user} dbname=x application_name=a{}",
            seed % 3
        );
        let Ok((mut client, connection)) = tokio_postgres::connect(&at, NoTls).await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let connection = tokio::spawn(connection);
        let texts = [
            "select run($1)",
            "select  run($1)",
            "select run($1) as b",
            "/* c */ select run($1)",
        ];
        let mut statements = Vec::new();
        for _ in 0..rng.random_range(20..200) {
            if notes.is_stopping() || client.is_closed() {
                break;
            }
            // Statements are prepared only occasionally, so that units reach engine connections
            // that have not prepared them.
            if statements.len() < texts.len() && rng.random_bool(0.2) {
                if let Ok(statement) = client.prepare(texts[statements.len()]).await {
                    statements.push(statement);
                }
            }
            run_unit(&mut client, &statements, &mut rng, &notes).await;
        }
        drop(client);
        let _ = tokio::time::timeout(Duration::from_secs(1), connection).await;
    }
}

/// Runs a unit of a drawn kind, or a transaction.
async fn run_unit(
    client: &mut Client,
    statements: &[tokio_postgres::Statement],
    rng: &mut Pcg64Mcg,
    notes: &Arc<Notes>,
) {
    let pick = rng.random_range(0..100);
    match pick {
        0..40 if !statements.is_empty() => {
            let statement = &statements[rng.random_range(0..statements.len())];
            let rows = rng.random_range(0..5);
            let asked = StatementRecord {
                rows,
                ..notes.new_statement(Repeat::Idempotent)
            };
            let task = format!(
                "id={},rows={rows},bytes=20,ms={}",
                asked.id,
                rng.random_range(0..4)
            );
            let answer = client.query(statement, &[&task]).await;
            let outcome = outcome(answer, |rows| check_rows(&asked, &rows));
            notes.record(StatementRecord {
                outcome,
                answered: notes.records.now(),
                ..may_fail_to_parse(asked)
            });
        }
        0..55 => {
            simple_query_statement(
                client,
                "",
                notes.new_statement(Repeat::Idempotent),
                rng.random_range(0..4),
                notes,
            )
            .await
        }
        55..60 => {
            let asked = StatementRecord {
                bound: true,
                ..notes.new_statement(Repeat::Idempotent)
            };
            simple_query_statement(
                client,
                "/*hallmux.workload='report'*/ ",
                asked,
                rng.random_range(0..8),
                notes,
            )
            .await;
        }
        60..66 => {
            let key = format!("k{}", rng.random_range(0..40));
            let asked = StatementRecord {
                key: key.clone(),
                ..notes.new_statement(Repeat::Deduplicated)
            };
            let label = format!(
                "/*hallmux.workload='log-load',hallmux.key='{key}',hallmux.dedup_key='d{}'*/ ",
                asked.id
            );
            simple_query_statement(client, &label, asked, rng.random_range(0..6), notes).await;
        }
        66..72 => {
            let asked = notes.new_statement(Repeat::NonIdempotent);
            simple_query_statement(
                client,
                "/*hallmux.workload='pay'*/ ",
                asked,
                rng.random_range(0..4),
                notes,
            )
            .await;
        }
        72..76 => {
            let asked = StatementRecord {
                expected_error: Some("23505"),
                ..notes.new_statement(Repeat::Idempotent)
            };
            simple_query_statement(client, "", asked, 0, notes).await;
        }
        76..80 => {
            // A pipeline: five units in flight at once.
            let units: Vec<StatementRecord> = (0..5)
                .map(|_| notes.new_statement(Repeat::Idempotent))
                .collect();
            let texts: Vec<String> = units.iter().map(|a| text("", a, 1)).collect();
            let answers = texts.iter().map(|text| client.simple_query(text));
            let answers = futures_util::future::join_all(answers).await;
            for (asked, answer) in units.into_iter().zip(answers) {
                let outcome = outcome(answer, |_| Outcome::Completed { rows: asked.rows });
                notes.record(StatementRecord {
                    outcome,
                    answered: notes.records.now(),
                    ..asked
                });
            }
        }
        80..83 => {
            // More than the front buffers: rows are forwarded while the engine still sends.
            let rows = 400;
            let asked = StatementRecord {
                rows,
                may_be_lost: true,
                ..notes.new_statement(Repeat::Idempotent)
            };
            let text = format!("select run('id={},rows={rows},bytes=300')", asked.id);
            let answer = client.query(&text, &[]).await;
            let outcome = outcome(answer, |rows| check_rows(&asked, &rows));
            notes.record(StatementRecord {
                outcome,
                answered: notes.records.now(),
                ..may_fail_to_parse(asked)
            });
        }
        _ => transaction(client, rng, notes).await,
    }
}

/// An engine may fail to prepare a statement, here with a code of its own.
fn may_fail_to_parse(asked: StatementRecord) -> StatementRecord {
    StatementRecord {
        tolerated_error: Some("42P01"),
        ..asked
    }
}

/// Builds the text of a statement that works for `ms` milliseconds.
pub(super) fn text(label: &str, asked: &StatementRecord, ms: u64) -> String {
    let fails = asked.expected_error.unwrap_or_default();
    format!(
        "{label}select run('id={},key={},rows={},ms={ms},fail={fails}')",
        asked.id, asked.key, asked.rows
    )
}

/// Runs one statement as a simple query.
async fn simple_query_statement(
    client: &Client,
    label: &str,
    asked: StatementRecord,
    ms: u64,
    notes: &Notes,
) {
    let answer = client.simple_query(&text(label, &asked, ms)).await;
    let outcome = outcome(answer, |_| Outcome::Completed { rows: asked.rows });
    notes.record(StatementRecord {
        outcome,
        answered: notes.records.now(),
        ..asked
    });
}

/// Runs a transaction of some statements, three in ten of them through a portal, and commits or
/// rolls it back.
async fn transaction(client: &mut Client, rng: &mut Pcg64Mcg, notes: &Arc<Notes>) {
    let number = match notes.transactions.lock() {
        Ok(mut all) => {
            all.push(Transaction::default());
            all.len() - 1
        }
        Err(_) => return,
    };
    let control = |outcome: Outcome, asked: StatementRecord| {
        notes.record(StatementRecord {
            outcome,
            answered: notes.records.now(),
            control: true,
            ..asked
        });
    };
    let begin = notes.new_statement(Repeat::Idempotent);
    let Ok(transaction) = client.transaction().await else {
        return;
    };
    control(
        Outcome::Completed { rows: 0 },
        StatementRecord {
            id: format!("begin {}", begin.id),
            ..begin
        },
    );
    let mut done = Vec::new();
    let mut failed = false;
    for _ in 0..rng.random_range(1..4) {
        let asked = StatementRecord {
            transaction: Some(number),
            rows: 7,
            ..notes.new_statement(Repeat::Idempotent)
        };
        let task = format!(
            "id={},rows=7,bytes=10,ms={}",
            asked.id,
            rng.random_range(0..4)
        );
        let id = asked.id.clone();
        let result;
        if rng.random_bool(0.3) {
            let text = format!("select run('{task}')");
            match transaction.bind(&text, &[]).await {
                Err(e) => result = outcome(Err::<(), _>(e), |()| Outcome::Lost),
                Ok(portal) => {
                    let mut all = Vec::new();
                    loop {
                        match transaction.query_portal(&portal, 3).await {
                            Ok(rows) if rows.is_empty() => {
                                result = check_rows(&asked, &all);
                                break;
                            }
                            Ok(rows) => all.extend(rows),
                            Err(e) => {
                                result = outcome(Err::<(), _>(e), |()| Outcome::Lost);
                                break;
                            }
                        }
                        if all.len() == 7 {
                            result = check_rows(&asked, &all);
                            break;
                        }
                    }
                }
            }
        } else {
            let answer = transaction.query("select run($1)", &[&task]).await;
            result = outcome(answer, |rows| check_rows(&asked, &rows));
        }
        failed |= !matches!(result, Outcome::Completed { .. });
        let timeout = 4 * TIMEOUT; // several units, each with its own timeout
        notes.record(StatementRecord {
            outcome: result,
            answered: notes.records.now(),
            timeout,
            ..may_fail_to_parse(asked)
        });
        if failed {
            break;
        }
        done.push(id);
        if rng.random_bool(0.1) {
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..300))).await;
        }
    }
    let commits = !failed && rng.random_bool(0.8);
    let asked = notes.new_statement(Repeat::Idempotent);
    let asked = StatementRecord {
        id: format!("end {}", asked.id),
        ..asked
    };
    let answer = if commits {
        transaction.commit().await
    } else {
        transaction.rollback().await
    };
    let result = outcome(answer, |()| Outcome::Completed { rows: 0 });
    control(result.clone(), asked);
    if let Ok(mut all) = notes.transactions.lock() {
        // The library does not report whether COMMIT was answered with ROLLBACK; in that case
        // nothing was kept.
        all[number] = Transaction {
            statements: done,
            commit: commits.then_some(result),
        };
    }
}
