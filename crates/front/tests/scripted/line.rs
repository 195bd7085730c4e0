//! What each line of a scenario does.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};

use crate::engine::Engine;
use crate::{unescaped, Scenario, BIG, PATIENCE};

impl Scenario {
    pub fn line(&mut self, line: &str) {
        let words: Vec<&str> = line.split(' ').collect();
        let rest = |n: usize| words[n..].join(" ");
        match words[..] {
            ["agreed", key, ..] => {
                let (path, last) = key.rsplit_once('.').unwrap_or(("", key));
                let mut at = &mut self.settings;
                for step in path.split('.').filter(|step| !step.is_empty()) {
                    at = match step.parse::<usize>() {
                        Ok(place) => &mut at[place],
                        Err(_) => &mut at[step],
                    };
                }
                at[last] = serde_json::from_str(&rest(2)).unwrap();
            }
            ["operator", ..] => {
                let path = self.file("json5");
                let rules = self.rules.as_ref().map(|path| path.display().to_string());
                let text = unescaped(&rest(1)).replace("RULES", &rules.unwrap_or_default());
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
                std::fs::write(&path, unescaped(&rest(1))).unwrap();
                self.files.insert(0, path); // the last is the configuration
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
                    (engine.at, engine.listener) = (free.local_addr().unwrap(), None);
                }
                self.engines.insert(name.to_string(), engine);
            }
            ["start"] => self.start(),
            ["fails", ..] => {
                let output = self.spawn().wait_with_output().unwrap();
                let said = String::from_utf8_lossy(&output.stderr).into_owned();
                assert!(
                    !output.status.success() && said.contains(&rest(1)),
                    "{said}"
                );
                self.configuration_overrides.clear();
            }
            ["coordinator", "answers", ..] => self.answers(unescaped(&rest(2))),
            ["coordinator", "asked"] => self.asked(None),
            ["coordinator", "asked", number] => self.asked(Some(number.parse().unwrap())),
            ["coordinator", "moves"] => {
                self.update_coordinator(|state| state.moves += 1);
                self.serve_list();
            }
            ["reloads"] => {
                self.configure();
                self.configuration_overrides.clear();
                self.signal("-HUP");
            }
            ["logs", ..] => {
                let log = self.log.as_ref().unwrap();
                while !log
                    .recv_timeout(PATIENCE)
                    .expect("a line of the log")
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
            ["passes", ms] => _ = self.passes(ms.parse().unwrap()),
            ["jumps", ms] => self.clock.as_mut().unwrap().jumps(ms.parse().unwrap()),
            ["ends"] => self.ends(),
            ["many", count, client, engine] => self.many(count.parse().unwrap(), client, engine),
            [client, "connects"] => {
                let stream = TcpStream::connect(&self.listens).unwrap();
                stream.set_nodelay(true).unwrap();
                stream.set_read_timeout(Some(PATIENCE)).unwrap();
                self.clients.insert(client.to_string(), stream);
            }
            [client, "closes"] if self.clients.contains_key(client) => {
                self.clients.remove(client);
            }
            [client, "is", "well"] => self.well(client, true),
            [client, "is", "unwell"] => self.well(client, false),
            [client, "is", "closed"] => {
                let end = self.clients.get_mut(client).unwrap().read(&mut [0; 1]);
                let open = |e: &std::io::Error| {
                    matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
                };
                assert!(!matches!(&end, Ok(1)) && !end.is_err_and(|e| open(&e)));
            }
            [client, "asks", "at", "once", which, ..] => {
                let statement = rest(5).replace("BIG", &"x".repeat(BIG));
                let mut bytes = Vec::new();
                for number in which.split(',') {
                    match number.strip_prefix('!') {
                        Some(number) => bytes.extend(self.forget(number)),
                        None => bytes.extend(self.frame(number, &[], &statement)),
                    }
                    self.takes_note(number.trim_start_matches('!'), &[], statement.clone());
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
                self.takes_note(number, &fields, statement);
                self.clients
                    .get_mut(client)
                    .unwrap()
                    .write_all(&frame)
                    .unwrap();
            }
            [client, "forgets", number] => {
                let frame = self.forget(number);
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
                self.hears(client, number, kind, &rest(4));
            }
            [engine, "hears", command, numbers] if numbers.contains(',') => {
                let mut awaited: Vec<&str> = numbers.split(',').collect();
                while !awaited.is_empty() {
                    let number = self.engine_hears(engine, command, &awaited, &[]);
                    awaited.retain(|n| *n != number);
                }
            }
            [engine, "hears", command] => _ = self.engine_hears(engine, command, &[], &[]),
            [engine, "hears", command, number, ..] => {
                self.engine_hears(engine, command, &[number], &words[4..]);
            }
            [engine, "utters", ..] => {
                let bytes = unescaped(&rest(2));
                let latest = self.engines[engine].latest.as_ref().unwrap();
                (&**latest)
                    .write_all(bytes.replace("BIG", &"x".repeat(BIG)).as_bytes())
                    .unwrap();
            }
            [engine, "says", number, word, fields, ..] => {
                self.says(engine, number, word, fields, &rest(5))
            }
            [engine, "is", "reached", "anew"] => {
                let engine = &self.engines[engine];
                let latest = engine.latest.as_ref().unwrap().peer_addr().unwrap();
                assert!(engine.before.is_some_and(|before| before != latest));
            }
            [engine, "is", "reached", "by", count] => {
                let links = self.engines[engine]
                    .asked
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
                *self.engines[engine].listens.0.lock().unwrap() = true;
                self.engines[engine].listens.1.notify_all();
            }
            [engine, "closes"] => {
                let latest = self.engines.get_mut(engine).unwrap().latest.take().unwrap();
                latest.shutdown(std::net::Shutdown::Both).unwrap();
            }
            _ => assert!(
                self.engine_list_line(&words)
                    || self.ordered_line(&words)
                    || self.resources_line(&words),
                "a line that means nothing"
            ),
        }
    }
}
