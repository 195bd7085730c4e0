//! The other protocol of the front, as far as the rig needs it: an engine that speaks lines and writes down
//! what it runs, and a client that asks over Thrift.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crate::check::Outcome;
use crate::engine::{Deed, Kind, Records};

/// Starts an engine that speaks lines; statements are `id=..,key=..,ms=..`.
pub fn engine(number: usize, records: Arc<Records>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let at = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let records = records.clone();
            std::thread::spawn(move || _ = serve(number, stream, &records));
        }
    });
    Ok(at)
}

fn serve(engine: usize, stream: TcpStream, records: &Arc<Records>) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let stream = Arc::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        let ["want", id, _, len] = words[..] else { continue };
        let mut body = vec![0; len.parse::<usize>().unwrap_or(0) + 2];
        reader.read_exact(&mut body)?;
        let statement = String::from_utf8_lossy(&body).trim().to_string();
        let field = |name: &str| {
            let found = statement.split(',').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
            found.unwrap_or_default().to_string()
        };
        let (own, key, ms) = (field("id"), field("key"), field("ms").parse().unwrap_or(0));
        let (id, records, stream) = (id.to_string(), records.clone(), stream.clone());
        std::thread::spawn(move || {
            let note = |kind| {
                if let Ok(mut deeds) = records.deeds.lock() {
                    deeds.push(Deed { at: records.now(), engine, link: 0, kind });
                }
            };
            note(Kind::Began { id: own.clone(), key });
            std::thread::sleep(Duration::from_millis(ms));
            note(Kind::Ended { id: own.clone() });
            note(Kind::Kept { id: own.clone() });
            let row = format!("{own}\t-\t-\n");
            let _ = write!(&*stream, "{id} ACK batches=1 {}\r\n{row}\r\n", row.len());
        });
    }
}

/// Asks over a connection of its own; gives the outcome and whether its rows are the statement's.
pub fn ask(front: SocketAddr, number: u64, fields: &[(&str, &str)], statement: &str) -> Outcome {
    exchange(front, number, fields, statement).unwrap_or(Outcome::Lost)
}

fn exchange(
    front: SocketAddr,
    number: u64,
    fields: &[(&str, &str)],
    statement: &str,
) -> std::io::Result<Outcome> {
    let mut stream = TcpStream::connect(front)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    let id = format!("{number:016x}");
    let all: Vec<(&str, &str)> = fields.iter().copied().chain([("txn", id.as_str())]).collect();
    let text = |out: &mut Vec<u8>, text: &str| {
        out.extend((text.len() as u32).to_be_bytes());
        out.extend(text.as_bytes());
    };
    let mut message = vec![0x80, 1, 0, 1];
    text(&mut message, "serve");
    message.extend(1u32.to_be_bytes());
    message.extend([13, 0, 1, 11, 11]);
    message.extend((all.len() as u32).to_be_bytes());
    for (name, value) in all {
        text(&mut message, name);
        text(&mut message, value);
    }
    message.extend([11, 0, 2]);
    text(&mut message, statement);
    message.push(0);
    let mut frame = (message.len() as u32).to_be_bytes().to_vec();
    frame.extend(message);
    stream.write_all(&frame)?;
    let mut len = [0; 4];
    stream.read_exact(&mut len)?;
    let mut reply = vec![0; u32::from_be_bytes(len) as usize];
    stream.read_exact(&mut reply)?;
    // Behind the head, the name and the number stands the field that tells which kind of answer it is.
    let own = statement.split(',').next().and_then(|pair| pair.strip_prefix("id=")).unwrap_or_default();
    let holds = reply.windows(own.len().max(1)).any(|part| part == own.as_bytes());
    Ok(match reply.get(4 + 4 + 5 + 4..) {
        Some([_, 0, 0, ..]) if holds => Outcome::Completed { rows: 1 },
        Some([_, 0, 0, ..]) => Outcome::Spoilt,
        Some([_, 0, 1, ..]) => Outcome::Error("53000".into()),
        Some([_, 0, 2, ..]) => Outcome::Error("08007".into()),
        _ => Outcome::Spoilt,
    })
}
