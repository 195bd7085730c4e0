//! The laboratory: real fronts among stand-ins, faults on demand, checkers and measurements.
#![allow(dead_code)] // until the checker and the faults are played, with the next change

mod engine;
mod rig;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Proves and measures hallmux on loopback.
#[derive(Parser)]
struct Lab {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Plays one small round and prints what came of it.
    Try,
}

fn main() -> ExitCode {
    match Lab::parse().what {
        What::Try => match try_it() {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("{e}");
                ExitCode::FAILURE
            }
        },
    }
}

fn try_it() -> Result<(), String> {
    let records = engine::Records::new();
    let e = engine::Engine::start(0, records.clone(), true).map_err(|e| e.to_string())?;
    let c = rig::Coordinator::start().map_err(|e| e.to_string())?;
    c.tell(true, &[("e1".to_string(), e.at, "pg", "up")]);
    let settings = serde_json::json!({"instances": 1, "areas": ["here"], "kinds": ["pg"], "rules": {},
        "bounds": {"cancelling": true, "mostTries": 3, "retryAfter": true},
        "extra": {"sizeCores": [8], "memoryByKindMb": [16384]},
        "requestClasses": [{"name": "lookup", "aimMs": 1000, "deadlineMs": 5000, "repeat": "repeatable"}]});
    let operator = "{ postgres: { listen: '127.0.0.1:0', engines: [{ kinds: ['pg'] }],
        users: { portal: { trust: true, workload: 'lookup' } } } }";
    let front = rig::Front::start(&settings, operator, &c, 1024)?;
    let runtime = tokio::runtime::Runtime::new().map_err(|e| e.to_string())?;
    runtime.block_on(async {
        let at = format!("host=127.0.0.1 port={} user=portal dbname=x", front.sessions.port());
        let (mut client, connection) =
            tokio_postgres::connect(&at, tokio_postgres::NoTls).await.map_err(|e| e.to_string())?;
        tokio::spawn(connection);
        let rows =
            client.query("select run($1)", &[&"id=1,rows=3,bytes=5"]).await.map_err(|e| format!("{e:?}"))?;
        println!("{} rows", rows.len());
        client.batch_execute("SET hallmux.workload = 'lookup'").await.map_err(|e| format!("{e:?}"))?;
        let t = client.transaction().await.map_err(|e| format!("{e:?}"))?;
        t.execute("select run($1)", &[&"id=2"]).await.map_err(|e| format!("{e:?}"))?;
        t.commit().await.map_err(|e| format!("{e:?}"))?;
        let e = client.execute("select run('id=3,fail=42P01')", &[]).await;
        println!("{e:?}");
        Ok::<(), String>(())
    })?;
    println!("{:?}", records.deeds.lock().map(|d| d.clone()));
    Ok(())
}
