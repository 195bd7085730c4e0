//! Runs the lines of a scenario.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};

use crate::engine::Engine;
use crate::{unescape, Scenario, BIG_TEXT_BYTES, WAIT_TIMEOUT};

impl Scenario {
    pub fn run_line(&mut self, line: &str) {
        let words: Vec<&str> = line.split(' ').collect();
        let rest = |n: usize| words[n..].join(" ");
        match words[..] {
            ["agreed", key, ..] => {
                let (path, last) = key.rsplit_once('.').unwrap_or(("", key));
                let mut target = &mut self.settings;
                for step in path.split('.').filter(|step| !step.is_empty()) {
                    target = match step.parse::<usize>() {
                        Ok(index) => &mut target[index],
                        Err(_) => &mut target[step],
                    };
                }
                target[last] = serde_json::from_str(&rest(2)).unwrap();
            }
            ["operator", ..] => {
                let path = self.file("json5");
                let rules = self.rules.as_ref().map(|path| path.display().to_string());
                let text = unescape(&rest(1)).replace("RULES", &rules.unwrap_or_default());
                let text = self.with_sessions(&text);
                std::fs::write(&path, text).unwrap();
                self.operator = Some(path);
            }
            ["rules", ..] => {
                let number = std::sync::atomic::AtomicUsize::fetch_add(
                    &crate::FILES,
                    1,
                    std::sync::atomic::Ordering::SeqCst,
                );
                let name = format!("hallmux-play-{}-{number}-rules.json5", std::process::id());
                let path = self
                    .rules
                    .get_or_insert_with(|| std::env::temp_dir().join(name))
                    .clone();
                std::fs::write(&path, unescape(&rest(1))).unwrap();
                self.files.insert(0, path); // the configuration stays the last file
            }
            ["told", key, ..] => {
                self.configuration_overrides
                    .push((key.to_string(), serde_json::from_str(&rest(2)).unwrap()));
            }
            ["engine", name, ..] => {
                let mut engine =
                    Engine::new(words[2..].contains(&"deaf"), words[2..].contains(&"narrow"));
                if words.get(2) == Some(&"gone") {
                    let free = TcpListener::bind("127.0.0.1:0").unwrap();
                    (engine.address, engine.listener) = (free.local_addr().unwrap(), None);
                }
                self.engines.insert(name.to_string(), engine);
            }
            ["start"] => self.start(),
            ["fails", ..] => {
                let output = self.spawn().wait_with_output().unwrap();
                let output_text = String::from_utf8_lossy(&output.stderr).into_owned();
                assert!(
                    !output.status.success() && output_text.contains(&rest(1)),
                    "{output_text}"
                );
                self.configuration_overrides.clear();
            }
            ["coordinator", "answers", ..] => self.answer_poll(unescape(&rest(2))),
            ["coordinator", "asked"] => self.wait_for_poll(None),
            ["coordinator", "asked", number] => self.wait_for_poll(Some(number.parse().unwrap())),
            ["coordinator", "moves"] => {
                self.update_coordinator(|state| state.moves += 1);
                self.start_coordinator();
            }
            ["reloads"] => {
                self.write_configuration();
                self.configuration_overrides.clear();
                self.signal("-HUP");
            }
            ["logs", ..] => {
                let log = self.log.as_ref().unwrap();
                while !log
                    .recv_timeout(WAIT_TIMEOUT)
                    .expect("no log line in time")
                    .contains(&rest(1))
                {}
            }
            ["stop"] => self.signal("-TERM"),
            ["halt"] => {
                self.signal("-STOP");
                let stat = format!("/proc/{}/stat", self.front.as_ref().unwrap().id());
                while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
                    std::thread::yield_now();
                }
            }
            ["goes", "on"] => self.signal("-CONT"),
            ["passes", ms] => _ = self.advance(ms.parse().unwrap()),
            ["jumps", ms] => self.clock.as_mut().unwrap().jump(ms.parse().unwrap()),
            ["ends"] => self.wait_for_exit(),
            ["many", count, client, engine] => {
                self.run_many(count.parse().unwrap(), client, engine)
            }
            [client, "connects"] => {
                let stream = TcpStream::connect(&self.front_address).unwrap();
                stream.set_nodelay(true).unwrap();
                stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
                self.clients.insert(client.to_string(), stream);
            }
            [client, "closes"] if self.clients.contains_key(client) => {
                self.clients.remove(client);
            }
            [client, "is", "well"] => self.check_health(client, true),
            [client, "is", "unwell"] => self.check_health(client, false),
            [client, "is", "closed"] => {
                let end = self.clients.get_mut(client).unwrap().read(&mut [0; 1]);
                let is_still_open = |e: &std::io::Error| {
                    matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
                };
                assert!(!matches!(&end, Ok(1)) && !end.is_err_and(|e| is_still_open(&e)));
            }
            [client, "asks", "at", "once", which, ..] => {
                let statement = rest(5).replace("BIG", &"x".repeat(BIG_TEXT_BYTES));
                let mut bytes = Vec::new();
                for number in which.split(',') {
                    match number.strip_prefix('!') {
                        Some(number) => bytes.extend(self.forget_message(number)),
                        None => bytes.extend(self.frame(number, &[], &statement)),
                    }
                    self.record_statement(number.trim_start_matches('!'), &[], statement.clone());
                }
                self.clients
                    .get_mut(client)
                    .unwrap()
                    .write_all(&bytes)
                    .unwrap();
            }
            [client, "asks", number, ..] => {
                let is_field = |w: &&&str| w.contains('=') || w.starts_with('-');
                let fields: Vec<&str> = words[3..].iter().take_while(is_field).copied().collect();
                let statement = rest(3 + fields.len());
                let frame = self.frame(number, &fields, &statement);
                self.record_statement(number, &fields, statement);
                self.clients
                    .get_mut(client)
                    .unwrap()
                    .write_all(&frame)
                    .unwrap();
            }
            [client, "forgets", number] => {
                let frame = self.forget_message(number);
                self.clients
                    .get_mut(client)
                    .unwrap()
                    .write_all(&frame)
                    .unwrap();
            }
            [client, "floods"] => self.flood(client),
            [client, "sends", hex] => {
                let byte = |i| u8::from_str_radix(&hex[i..i + 2], 16).unwrap();
                let bytes: Vec<u8> = (0..hex.len()).step_by(2).map(byte).collect();
                self.clients
                    .get_mut(client)
                    .unwrap()
                    .write_all(&bytes)
                    .unwrap();
            }
            [client, "hears", number, kind, ..] if self.clients.contains_key(client) => {
                self.expect_answer(client, number, kind, &rest(4));
            }
            [engine, "hears", command, numbers] if numbers.contains(',') => {
                let mut awaited: Vec<&str> = numbers.split(',').collect();
                while !awaited.is_empty() {
                    let number = self.expect_command(engine, command, &awaited, &[]);
                    awaited.retain(|n| *n != number);
                }
            }
            [engine, "hears", command] => _ = self.expect_command(engine, command, &[], &[]),
            [engine, "hears", command, number, ..] => {
                self.expect_command(engine, command, &[number], &words[4..]);
            }
            [engine, "utters", ..] => {
                let bytes = unescape(&rest(2));
                let latest = self.engines[engine].latest_connection.as_ref().unwrap();
                (&**latest)
                    .write_all(bytes.replace("BIG", &"x".repeat(BIG_TEXT_BYTES)).as_bytes())
                    .unwrap();
            }
            [engine, "says", number, word, fields, ..] => {
                self.send_reply(engine, number, word, fields, &rest(5))
            }
            [engine, "is", "reached", "anew"] => {
                let engine = &self.engines[engine];
                let latest = engine
                    .latest_connection
                    .as_ref()
                    .unwrap()
                    .peer_addr()
                    .unwrap();
                assert!(engine
                    .previous_address
                    .is_some_and(|previous| previous != latest));
            }
            [engine, "is", "reached", "by", count] => {
                let links = self.engines[engine]
                    .statement_connections
                    .values()
                    .map(|link| link.peer_addr().unwrap());
                assert_eq!(
                    links
                        .collect::<std::collections::HashSet<_>>()
                        .len()
                        .to_string(),
                    count
                );
            }
            [engine, "listens"] => {
                *self.engines[engine].read_gate.0.lock().unwrap() = true;
                self.engines[engine].read_gate.1.notify_all();
            }
            [engine, "closes"] => {
                let latest = self
                    .engines
                    .get_mut(engine)
                    .unwrap()
                    .latest_connection
                    .take()
                    .unwrap();
                latest.shutdown(std::net::Shutdown::Both).unwrap();
            }
            _ => assert!(
                self.run_engine_list_line(&words)
                    || self.run_ordering_line(&words)
                    || self.run_resources_line(&words),
                "unknown scenario line"
            ),
        }
    }
}
