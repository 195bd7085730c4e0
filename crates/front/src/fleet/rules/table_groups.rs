//! The table groups by which the access rules judge a statement.

use hallmux_native_codec::tables;

use super::session_control;

/// Maximum number of table groups by which a text is checked.
const MAX_TABLE_GROUPS: usize = 16;

/// Returns the table groups that the texts of one statement read. `None` if they cannot be told, for
/// one of the texts or because there is none.
pub fn table_groups<'a>(texts: impl IntoIterator<Item = &'a [u8]>) -> Option<Vec<u32>> {
    let mut texts = texts.into_iter().peekable();
    texts.peek()?;
    let mut all = Vec::new();
    for text in texts {
        let groups = tables::groups(text, MAX_TABLE_GROUPS);
        if groups.is_empty() && !session_control::reads_no_table(text) {
            return None;
        }
        all.extend(groups);
        all.sort_unstable();
        all.dedup();
    }
    Some(all)
}
