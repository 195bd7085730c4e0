//! Unit tests of the `tables` module.

use super::{group, groups};

#[test]
fn schemas_in_strings_and_comments_are_ignored() {
    for (statement, found) in [
        ("select * from sales_17.orders", Some(17)),
        ("select 'it''s a_1.b' from s_2.t", Some(2)),
        ("-- a_1.b\nselect 1 from x_3.y", Some(3)),
        ("/* a_1.b /* c_2.d */ e_5.f */ select 1 from x_4.y", Some(4)),
        (
            "insert into staging.t select * from staging_9.u join us_er_6.v",
            Some(6),
        ),
        ("select x from \"s_8\".\"t\"", Some(8)),
        ("select a_1, 7.5 from t", None),
        ("select 'a_1.b", None),
        ("/* a_1.b", None),
        ("select * from s_99999999999.t", None),
        ("", None),
    ] {
        assert_eq!(group(statement.as_bytes()), found, "{statement}");
    }
    let all = groups(
        b"insert into b_9.t select 'c_3.d' from a_1.u join b_9.v, \"e_4\".w -- f_5.x",
        16,
    );
    assert_eq!(all, [9, 1, 4]);
}

#[test]
fn each_group_is_returned_once_up_to_the_limit() {
    let joined =
        b"select * from s_2.t join \"s_8\".u using (k) where s_2.t.x = 's_9.y' union select 1 from s_5.t";
    assert_eq!(groups(joined, 16), [2, 8, 5]);
    assert_eq!(groups(joined, 1), [2, 8]);
    assert_eq!(groups(b"select 1", 16), [] as [u32; 0]);
}
