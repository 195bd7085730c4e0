//! The work that a statement asks of a stand-in engine that speaks PostgreSQL.

/// What a statement is to do: its id and order key, the number and size of its rows, its duration
/// in milliseconds, and the SQLSTATE to fail with (empty for none).
#[derive(Clone, Default)]
pub(super) struct Task {
    pub(super) id: String,
    pub(super) key: String,
    pub(super) rows: usize,
    pub(super) bytes: usize,
    pub(super) ms: u64,
    pub(super) fail: String,
}

/// Parses the task in `run('...')`; `None` if the text has none.
pub(super) fn parse_task(text: &str) -> Option<Task> {
    let at = text.find("run('")? + 5;
    let inner = &text[at..at + text[at..].find('\'')?];
    Some(task_from_fields(inner))
}

/// Parses `name=value` pairs separated by commas; unknown names are ignored.
pub(super) fn task_from_fields(inner: &str) -> Task {
    let mut task = Task::default();
    for (name, value) in inner.split(',').filter_map(|pair| pair.split_once('=')) {
        match name {
            "id" => task.id = value.into(),
            "key" => task.key = value.into(),
            "rows" => task.rows = value.parse().unwrap_or(0),
            "bytes" => task.bytes = value.parse().unwrap_or(0),
            "ms" => task.ms = value.parse().unwrap_or(0),
            "fail" => task.fail = value.into(),
            _ => {}
        }
    }
    task
}

/// Returns the first parameter of a Bind message as text; `None` if there is none.
pub(super) fn first_parameter(rest: &[u8]) -> Option<&[u8]> {
    let short = |at: usize| {
        rest.get(at..at + 2)
            .map(|n| u16::from_be_bytes([n[0], n[1]]) as usize)
    };
    let at = 2 + 2 * short(0)?;
    (short(at)? > 0).then_some(())?;
    let len = rest
        .get(at + 2..at + 6)
        .map(|n| u32::from_be_bytes([n[0], n[1], n[2], n[3]]) as usize)?;
    rest.get(at + 6..at + 6 + len)
}
