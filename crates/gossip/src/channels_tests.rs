//! Unit tests of the `channels` module.

use super::*;

#[test]
fn channels_have_separate_rate_limits_and_unknown_channels_are_rejected() {
    let address = ([127, 0, 0, 1], 9).into();
    let mut mailbox = Mailbox::new();
    for (index, channel) in CHANNELS.into_iter().enumerate() {
        let bytes_per_second = channel.bytes_per_second();
        assert_eq!(channel as usize, index);
        assert!(
            mailbox.take_tokens(0, channel, bytes_per_second as usize)
                && !mailbox.take_tokens(0, channel, 1),
            "{channel:?}"
        );
        assert!(mailbox.deliver(7, address, vec![index as u8, 5]));
    }
    assert!(
        !mailbox.deliver(7, address, vec![CHANNELS.len() as u8, 5])
            && mailbox.deliver(7, address, Vec::new())
    );
    let received: Vec<_> = mailbox
        .take()
        .into_iter()
        .map(|message| (message.channel, message.bytes))
        .collect();
    assert_eq!(received, CHANNELS.map(|channel| (channel, vec![5])));
}
