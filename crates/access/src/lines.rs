//! Maps the values of a rules file to their lines.

/// Returns the line on which the value at a path such as `rules[2].name` begins; `None` if the path
/// is not in the file.
pub type LineLookup<'a> = &'a dyn Fn(&str) -> Option<usize>;
