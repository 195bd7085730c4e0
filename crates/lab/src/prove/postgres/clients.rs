//! Clients of a library: units of every kind, and transactions.

use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio_postgres::{Client, NoTls};

use super::notes::{Notes, TIMEOUT};
use crate::check::{Outcome, Repeat, StatementRecord, Transaction};

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

/// Whether the rows are those of the statement, in order and whole.
fn own_rows(asked: &StatementRecord, rows: &[tokio_postgres::Row]) -> Outcome {
    let mark = |n: usize, row: &tokio_postgres::Row| {
        row.try_get::<_, &str>(0)
            .is_ok_and(|text| text.starts_with(&format!("{}:{n}:x", asked.id)))
    };
    match rows.iter().enumerate().all(|(n, row)| mark(n, row)) {
        true => Outcome::Completed { rows: rows.len() },
        false => Outcome::Spoilt,
    }
}

/// One client after the other with a connection of its own, until the run ends.
pub(super) async fn client(seed: u64, port: u16, notes: Arc<Notes>) {
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let user = "portal";
    while !notes.over() {
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
        for _ in 0..chance.random_range(20..200) {
            if notes.over() || client.is_closed() {
                break;
            }
            // Prepared only now and then, so that units land where theirs is not known.
            if statements.len() < texts.len() && chance.random_bool(0.2) {
                if let Ok(statement) = client.prepare(texts[statements.len()]).await {
                    statements.push(statement);
                }
            }
            unit(&mut client, &statements, &mut chance, &notes).await;
        }
        drop(client);
        let _ = tokio::time::timeout(Duration::from_secs(1), connection).await;
    }
}

async fn unit(
    client: &mut Client,
    statements: &[tokio_postgres::Statement],
    chance: &mut Pcg64Mcg,
    notes: &Arc<Notes>,
) {
    let pick = chance.random_range(0..100);
    match pick {
        0..40 if !statements.is_empty() => {
            let statement = &statements[chance.random_range(0..statements.len())];
            let rows = chance.random_range(0..5);
            let asked = StatementRecord {
                rows,
                ..notes.fresh(Repeat::Idempotent)
            };
            let task = format!(
                "id={},rows={rows},bytes=20,ms={}",
                asked.id,
                chance.random_range(0..4)
            );
            let answer = client.query(statement, &[&task]).await;
            let outcome = outcome(answer, |rows| own_rows(&asked, &rows));
            notes.note(StatementRecord {
                outcome,
                answered: notes.records.now(),
                ..refused_parse(asked)
            });
        }
        0..55 => {
            one(
                client,
                "",
                notes.fresh(Repeat::Idempotent),
                chance.random_range(0..4),
                notes,
            )
            .await
        }
        55..60 => {
            let asked = StatementRecord {
                bound: true,
                ..notes.fresh(Repeat::Idempotent)
            };
            one(
                client,
                "/*hallmux.workload='report'*/ ",
                asked,
                chance.random_range(0..8),
                notes,
            )
            .await;
        }
        60..66 => {
            let key = format!("k{}", chance.random_range(0..40));
            let asked = StatementRecord {
                key: key.clone(),
                ..notes.fresh(Repeat::Deduplicated)
            };
            let label = format!(
                "/*hallmux.workload='log-load',hallmux.key='{key}',hallmux.dedup_key='d{}'*/ ",
                asked.id
            );
            one(client, &label, asked, chance.random_range(0..6), notes).await;
        }
        66..72 => {
            let asked = notes.fresh(Repeat::NonIdempotent);
            one(
                client,
                "/*hallmux.workload='pay'*/ ",
                asked,
                chance.random_range(0..4),
                notes,
            )
            .await;
        }
        72..76 => {
            let asked = StatementRecord {
                expected_error: Some("23505"),
                ..notes.fresh(Repeat::Idempotent)
            };
            one(client, "", asked, 0, notes).await;
        }
        76..80 => {
            // A pipeline: five units on their way at once.
            let units: Vec<StatementRecord> =
                (0..5).map(|_| notes.fresh(Repeat::Idempotent)).collect();
            let texts: Vec<String> = units.iter().map(|a| text("", a, 1)).collect();
            let answers = texts.iter().map(|text| client.simple_query(text));
            let answers = futures_util::future::join_all(answers).await;
            for (asked, answer) in units.into_iter().zip(answers) {
                let outcome = outcome(answer, |_| Outcome::Completed { rows: asked.rows });
                notes.note(StatementRecord {
                    outcome,
                    answered: notes.records.now(),
                    ..asked
                });
            }
        }
        80..83 => {
            // More than the front holds back: rows go on while the engine still sends.
            let rows = 400;
            let asked = StatementRecord {
                rows,
                may_be_lost: true,
                ..notes.fresh(Repeat::Idempotent)
            };
            let text = format!("select run('id={},rows={rows},bytes=300')", asked.id);
            let answer = client.query(&text, &[]).await;
            let outcome = outcome(answer, |rows| own_rows(&asked, &rows));
            notes.note(StatementRecord {
                outcome,
                answered: notes.records.now(),
                ..refused_parse(asked)
            });
        }
        _ => transaction(client, chance, notes).await,
    }
}

/// An engine may refuse to prepare what it is asked to, here by a code of its own.
fn refused_parse(asked: StatementRecord) -> StatementRecord {
    StatementRecord {
        tolerated_error: Some("42P01"),
        ..asked
    }
}

pub(super) fn text(label: &str, asked: &StatementRecord, ms: u64) -> String {
    let fails = asked.expected_error.unwrap_or_default();
    format!(
        "{label}select run('id={},key={},rows={},ms={ms},fail={fails}')",
        asked.id, asked.key, asked.rows
    )
}

/// One statement in a simple query.
async fn one(client: &Client, label: &str, asked: StatementRecord, ms: u64, notes: &Notes) {
    let answer = client.simple_query(&text(label, &asked, ms)).await;
    let outcome = outcome(answer, |_| Outcome::Completed { rows: asked.rows });
    notes.note(StatementRecord {
        outcome,
        answered: notes.records.now(),
        ..asked
    });
}

/// A transaction of some statements, with a portal in one of three, ended one way or the other.
async fn transaction(client: &mut Client, chance: &mut Pcg64Mcg, notes: &Arc<Notes>) {
    let number = match notes.transactions.lock() {
        Ok(mut all) => {
            all.push(Transaction::default());
            all.len() - 1
        }
        Err(_) => return,
    };
    let control = |outcome: Outcome, asked: StatementRecord| {
        notes.note(StatementRecord {
            outcome,
            answered: notes.records.now(),
            control: true,
            ..asked
        });
    };
    let begins = notes.fresh(Repeat::Idempotent);
    let Ok(transaction) = client.transaction().await else {
        return;
    };
    control(
        Outcome::Completed { rows: 0 },
        StatementRecord {
            id: format!("begin {}", begins.id),
            ..begins
        },
    );
    let mut done = Vec::new();
    let mut failed = false;
    for _ in 0..chance.random_range(1..4) {
        let asked = StatementRecord {
            transaction: Some(number),
            rows: 7,
            ..notes.fresh(Repeat::Idempotent)
        };
        let task = format!(
            "id={},rows=7,bytes=10,ms={}",
            asked.id,
            chance.random_range(0..4)
        );
        let id = asked.id.clone();
        let result;
        if chance.random_bool(0.3) {
            let text = format!("select run('{task}')");
            match transaction.bind(&text, &[]).await {
                Err(e) => result = outcome(Err::<(), _>(e), |()| Outcome::Lost),
                Ok(portal) => {
                    let mut all = Vec::new();
                    loop {
                        match transaction.query_portal(&portal, 3).await {
                            Ok(rows) if rows.is_empty() => {
                                result = own_rows(&asked, &all);
                                break;
                            }
                            Ok(rows) => all.extend(rows),
                            Err(e) => {
                                result = outcome(Err::<(), _>(e), |()| Outcome::Lost);
                                break;
                            }
                        }
                        if all.len() == 7 {
                            result = own_rows(&asked, &all);
                            break;
                        }
                    }
                }
            }
        } else {
            let answer = transaction.query("select run($1)", &[&task]).await;
            result = outcome(answer, |rows| own_rows(&asked, &rows));
        }
        failed |= !matches!(result, Outcome::Completed { .. });
        let timeout = 4 * TIMEOUT; // several units, each with its own
        notes.note(StatementRecord {
            outcome: result,
            answered: notes.records.now(),
            timeout,
            ..refused_parse(asked)
        });
        if failed {
            break;
        }
        done.push(id);
        if chance.random_bool(0.1) {
            tokio::time::sleep(Duration::from_millis(chance.random_range(0..300))).await;
        }
    }
    let commits = !failed && chance.random_bool(0.8);
    let asked = notes.fresh(Repeat::Idempotent);
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
        // What a library does not tell is whether COMMIT was answered with ROLLBACK: then nothing was kept.
        all[number] = Transaction {
            statements: done,
            commit: commits.then_some(result),
        };
    }
}
