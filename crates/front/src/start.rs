//! Why a front does not start: each text says what is wrong, where, and what an operator can do.

use std::net::SocketAddr;

#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error(transparent)]
    Configuration(#[from] hallmux_agreement::Error),
    #[error("NODE_CONFIG: known: {0}; give the coordinator's events as it words them, or leave the key out")]
    Known(String),
    #[error("listen: {at}: {why}; give the address of a free port of this machine")]
    Listen { at: SocketAddr, why: std::io::Error },
    #[error(transparent)]
    Peers(#[from] crate::fleet::PeersFault),
    #[error(transparent)]
    Rules(#[from] crate::fleet::RulesFault),
    /// What else the operator's file switches on, or a drill's clock: the text names the key.
    #[error("{0}; mend that key or file, or leave it out")]
    Part(String),
    /// The same, where the part itself says what can be done.
    #[error("{0}")]
    Said(String),
    #[error("{what}: {why}; see whether this user may open more files (ulimit -n)")]
    System { what: &'static str, why: String },
}

impl Fault {
    /// Of a part that may have said itself what can be done.
    pub fn part(why: &std::io::Error) -> Fault {
        let said = why.to_string();
        match said.rsplit_once("; ") {
            Some(_) => Fault::Said(said),
            None => Fault::Part(said),
        }
    }

    pub fn system(what: &'static str) -> impl Fn(std::io::Error) -> Fault {
        move |why| Fault::System { what, why: why.to_string() }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_fault_says_where_what_and_what_to_do() {
        let at = SocketAddr::from(([127, 0, 0, 1], 9090));
        let other = |text: &str| std::io::Error::other(text.to_string());
        let missing = hallmux_agreement::Error::Unset { variable: "NODE_CONFIG", meant: "a path" };
        for (fault, place) in [
            (Fault::from(missing), "NODE_CONFIG: "),
            (Fault::Known("invalid type".into()), "NODE_CONFIG: known: "),
            (Fault::Listen { at, why: other("in use") }, "listen: 127.0.0.1:9090: "),
            (Fault::part(&other("gossip: secret_file: s: gone")), "gossip: secret_file: s: "),
            (Fault::part(&other("rules.file: r: gone; name another")), "rules.file: r: "),
            (Fault::system("signals")(other("too many")), "signals: "),
        ] {
            match &fault {
                Fault::Configuration(_) | Fault::Known(_) | Fault::Listen { .. } => {}
                // Each has a test of its own.
                Fault::Peers(_) | Fault::Rules(_) => {}
                Fault::Part(_) | Fault::Said(_) | Fault::System { .. } => {}
            }
            let text = fault.to_string();
            let (wrong, remedy) = text.rsplit_once("; ").unwrap();
            assert!(wrong.starts_with(place) && wrong.len() > place.len() && remedy.len() > 8, "{text}");
            assert!(text.matches("; ").count() == 1 && !text.contains('\n'), "{text}");
        }
    }
}
