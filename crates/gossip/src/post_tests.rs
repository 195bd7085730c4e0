//! Unit tests of the `post` module.

use super::*;

#[test]
fn channels_have_their_own_bytes_a_second_and_letters_for_nobody_are_refused() {
    let at = ([127, 0, 0, 1], 9).into();
    let mut post = Post::new();
    for (place, (channel, rate)) in CHANNELS.into_iter().enumerate() {
        assert_eq!(channel as usize, place);
        assert!(post.may_send(0, channel, rate as usize) && !post.may_send(0, channel, 1), "{channel:?}");
        assert!(post.came(7, at, vec![place as u8, 5]));
    }
    assert!(!post.came(7, at, vec![CHANNELS.len() as u8, 5]) && post.came(7, at, Vec::new()));
    let came: Vec<_> = post.take().into_iter().map(|l| (l.channel, l.bytes)).collect();
    assert_eq!(came, CHANNELS.map(|(channel, _)| (channel, vec![5])));
}
