//! Settings like those of a small deployment, as the pages' example and briefs give them.

/// A workload.
pub struct Class {
    pub name: &'static str,
    /// `repeatable`, `by_key` or `once`.
    pub repeat: &'static str,
    pub aim_ms: u32,
    pub deadline_ms: u32,
    pub dedup_window_ms: u32,
    pub in_turn: bool,
    pub threads: u32,
    /// Kinds of engines, by their place in `Settings::kinds`; empty for all.
    pub kinds: &'static [usize],
}

pub struct Settings {
    pub kinds: &'static [&'static str],
    pub classes: Vec<Class>,
    pub drain_grace_ms: u32,
    pub turn_gap_ms: u32,
}

/// A class that may run again.
pub fn repeatable(name: &'static str, deadline_ms: u32, threads: u32) -> Class {
    Class {
        name,
        repeat: "repeatable",
        aim_ms: 1000,
        deadline_ms,
        dedup_window_ms: 0,
        in_turn: false,
        threads,
        kinds: &[],
    }
}

impl Settings {
    fn json(&self) -> String {
        let names = |names: &[&str]| {
            let quoted: Vec<String> = names.iter().map(|name| format!("\"{name}\"")).collect();
            quoted.join(",")
        };
        let each = |value: &dyn Fn(&Class) -> String| {
            let values: Vec<String> = self.classes.iter().map(value).collect();
            values.join(",")
        };
        let classes = each(&|class| {
            let kinds: Vec<String> = class.kinds.iter().map(usize::to_string).collect();
            let kinds = if kinds.is_empty() {
                String::new()
            } else {
                format!(r#","kindsAllowed":[{}]"#, kinds.join(","))
            };
            format!(
                r#"{{"name":"{}","repeat":"{}","aimMs":{},"aimStretch":2.0,"deadlineMs":{},"dedupWindowMs":{},"group":"all","inTurn":{},"lateShare":0.4,"worth":1.0,"stream":false{kinds}}}"#,
                class.name,
                class.repeat,
                class.aim_ms,
                class.deadline_ms,
                class.dedup_window_ms,
                class.in_turn,
            )
        });
        let many = |value: &str| vec![value; self.kinds.len()].join(",");
        format!(
            r#"{{"areas":["here"],"kinds":[{kinds}],"family":"queries","discovery":"automatic","instances":1,"selfIndex":0,"zone":0,"tier":0,"tiers":["query-fleet"],"customers":[],"clientHabits":{{"marksRetry":true}},
"bounds":{{"cancelling":true,"cpuUsPerS":500000,"dialTimeoutMs":250.0,"keepaliveMs":15000.0,"maxRetryAfterMs":500.0,"mostHeld":20000,"mostTries":3,"peers":false,"probes":true,"retryAfter":true,"secondCopies":false,"streamsPerConn":32}},
"extra":{{"classWaits":[{waits}],"costInAnswers":false,"grantsCount":false,"largestShare":0.4,"memoryByKindMb":[{memory}],"parallelism":[{threads}],"sizeCores":[{cores}],"takesPriority":true,"tellsEveryMs":0.0,"whenShort":"cut","writesTables":[{writes}]}},
"report":{{"names":["active","cpu"],"source":"inline"}},
"requestClasses":[{classes}],
"rules":{{"answerSlackMs":20.0,"askWithinMs":10000.0,"budgetSpanMs":10000.0,"coldFrom":0.31,"drainGraceMs":{grace}.0,"fallMs":2000.0,"furtherRatio":0.1,"overloadFactor":4.0,"spareAttempts":3.0,"turnGapMs":{gap}.0,"warmWithinMs":15000.0}}}}"#,
            kinds = names(self.kinds),
            waits = each(&|_| "false".into()),
            writes = each(&|_| "false".into()),
            threads = each(&|class| class.threads.to_string()),
            memory = many("16384.0"),
            cores = many("8"),
            grace = self.drain_grace_ms,
            gap = self.turn_gap_ms,
        )
    }

    /// The configuration of a front, in the form of the deployment page.
    pub fn config(&self, listen: &str, coordinator: Option<&str>, known: &str) -> String {
        let coordinator =
            coordinator.map_or(String::new(), |at| format!(r#""coordinator":"{at}","#));
        format!(
            r#"{{"name":"n1","listen":"{listen}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},{coordinator}"known":{known},"settings":{}}}"#,
            self.json()
        )
    }
}
