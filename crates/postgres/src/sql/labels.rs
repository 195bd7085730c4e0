//! Labels in a statement's leading comments, and parsing of label and setting values.

const MAX_LABEL_BYTES: usize = 4096; // of a leading comment; labels take some hundred

/// The labels of a statement or session; None where one was not given.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Label {
    /// The workload's name.
    pub workload: Option<String>,
    /// The customer's name.
    pub customer: Option<String>,
    /// The order key: statements with equal keys run one after the other.
    pub order_key: Option<String>,
    /// The deduplication key: statements with equal keys take effect once.
    pub dedup_key: Option<String>,
    /// The client's estimate of the work, in milliseconds on one core.
    pub work_ms: Option<String>,
    /// The client's estimate of the memory, in MB.
    pub memory_mb: Option<String>,
    /// The time limit, in the form of the setting `statement_timeout`.
    pub statement_timeout: Option<String>,
}

impl Label {
    /// Sets one label by its name without the prefix `hallmux.`; an empty value removes it. False
    /// if there is no such label.
    pub fn set(&mut self, name: &str, value: &str) -> bool {
        let field = match name {
            "workload" => &mut self.workload,
            "member" => &mut self.customer,
            "key" => &mut self.order_key,
            "dedup_key" => &mut self.dedup_key,
            "work_ms" => &mut self.work_ms,
            "memory_mb" => &mut self.memory_mb,
            "statement_timeout" => &mut self.statement_timeout,
            _ => return false,
        };
        *field = (!value.is_empty()).then(|| value.to_string());
        true
    }

    /// Returns the labels of `other`, and those of `self` where `other` has none.
    pub fn overridden_by(&self, other: &Label) -> Label {
        let overridden = |a: &Option<String>, b: &Option<String>| b.clone().or_else(|| a.clone());
        Label {
            workload: overridden(&self.workload, &other.workload),
            customer: overridden(&self.customer, &other.customer),
            order_key: overridden(&self.order_key, &other.order_key),
            dedup_key: overridden(&self.dedup_key, &other.dedup_key),
            work_ms: overridden(&self.work_ms, &other.work_ms),
            memory_mb: overridden(&self.memory_mb, &other.memory_mb),
            statement_timeout: overridden(&self.statement_timeout, &other.statement_timeout),
        }
    }
}

/// Which of the labels that decide how a unit may run have different values for its texts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Contradictions {
    workload: bool,
    customer: bool,
    order_key: bool,
}

impl Contradictions {
    /// The labels that a further text gives and that a unit with the labels `admitted` does not have.
    pub fn between(admitted: &Label, further: &Label) -> Contradictions {
        let differs = |admitted: &Option<String>, further: &Option<String>| {
            further.is_some() && admitted != further
        };
        Contradictions {
            workload: differs(&admitted.workload, &further.workload),
            customer: differs(&admitted.customer, &further.customer),
            order_key: differs(&admitted.order_key, &further.order_key),
        }
    }

    /// The label of this name, without the prefix `hallmux.`, if it decides how a unit may run.
    pub(crate) fn of(name: &str) -> Contradictions {
        Contradictions {
            workload: name == "workload",
            customer: name == "member",
            order_key: name == "key",
        }
    }

    /// Adds further labels.
    pub(crate) fn add(&mut self, further: Contradictions) {
        self.workload |= further.workload;
        self.customer |= further.customer;
        self.order_key |= further.order_key;
    }

    /// Returns the name of the first such label. `ignores_customer`: that of the customer does not
    /// count.
    pub fn first(self, ignores_customer: bool) -> Option<&'static str> {
        if self.workload {
            Some("hallmux.workload")
        } else if self.customer && !ignores_customer {
            Some("hallmux.member")
        } else if self.order_key {
            Some("hallmux.key")
        } else {
            None
        }
    }
}

/// Parses the labels of the leading comments: `/*hallmux.workload='report',hallmux.key='k%201'*/`,
/// in the format of sqlcommenter: values in quotes, URL-encoded. Unknown names belong to other
/// tools and are ignored.
pub(super) fn leading_labels(text: &[u8]) -> Label {
    let mut label = Label::default();
    let mut rest = text.trim_ascii_start();
    while let Some(inner) = rest.strip_prefix(b"/*") {
        let Some(end) = memchr::memmem::find(inner, b"*/").filter(|end| *end <= MAX_LABEL_BYTES)
        else {
            break;
        };
        let comment = String::from_utf8_lossy(&inner[..end]);
        for pair in comment.split(',') {
            let Some((name, value)) = pair.split_once('=') else {
                continue;
            };
            let Some(name) = url_decoded(name.trim())
                .strip_prefix("hallmux.")
                .map(str::to_string)
            else {
                continue;
            };
            let value = value.trim();
            let value = value
                .strip_prefix('\'')
                .and_then(|v| v.strip_suffix('\''))
                .unwrap_or(value);
            label.set(&name, &url_decoded(value));
        }
        rest = inner[end + 2..].trim_ascii_start();
    }
    label
}

fn url_decoded(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let hex = |c: Option<&u8>| c.and_then(|c| (*c as char).to_digit(16)).map(|d| d as u8);
        match (first, hex(after.first()), hex(after.get(1))) {
            (b'%', Some(high), Some(low)) => {
                bytes.push(high * 16 + low);
                rest = &after[2..];
            }
            (b'\\', ..) if after.first() == Some(&b'\'') => rest = after,
            _ => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Parses a duration as PostgreSQL's settings write it, and returns it in microseconds; a plain
/// number is in milliseconds. None if it has another form.
pub fn parse_duration_us(text: &str) -> Option<i64> {
    let text = text.trim().trim_matches('\'').trim();
    let at = text
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .unwrap_or(text.len());
    let value: f64 = text[..at].parse().ok()?;
    let unit = match text[at..].trim() {
        "" | "ms" => 1e3,
        "us" => 1.0,
        "s" => 1e6,
        "min" => 6e7,
        "h" => 3.6e9,
        "d" => 8.64e10,
        _ => return None,
    };
    Some((value * unit).min(1e15) as i64)
}
