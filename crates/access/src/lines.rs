//! Where the values of a file stand.

/// The line on which the value at a path like `rules[2].name` begins.
pub type LineLookup<'a> = &'a dyn Fn(&str) -> Option<usize>;
