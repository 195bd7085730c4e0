//! Unit tests of the `channels` module.

use super::*;

#[test]
fn channels_have_their_own_bytes_a_second_and_letters_for_nobody_are_refused() {
    let at = ([127, 0, 0, 1], 9).into();
    let mut mailbox = Mailbox::new();
    for (place, channel) in CHANNELS.into_iter().enumerate() {
        let rate = channel.rate();
        assert_eq!(channel as usize, place);
        assert!(
            mailbox.may_send(0, channel, rate as usize) && !mailbox.may_send(0, channel, 1),
            "{channel:?}"
        );
        assert!(mailbox.deliver(7, at, vec![place as u8, 5]));
    }
    assert!(
        !mailbox.deliver(7, at, vec![CHANNELS.len() as u8, 5])
            && mailbox.deliver(7, at, Vec::new())
    );
    let came: Vec<_> = mailbox
        .take()
        .into_iter()
        .map(|l| (l.channel, l.bytes))
        .collect();
    assert_eq!(came, CHANNELS.map(|channel| (channel, vec![5])));
}
