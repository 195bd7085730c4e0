//! A front's part in telling what fronts are asked.

use std::net::IpAddr;

use super::*;
use crate::message::Signed;
use crate::shares::{Offered, Share};

/// Microseconds between a front's shares: they reach 300 fronts in some two seconds.
const TOLD_EVERY: Micros = 1_500_000;

impl Node {
    /// From now on shares are told and heard.
    pub fn tells_load(&mut self) {
        self.shares.get_or_insert_default();
    }

    /// What this front was asked lately; it is told where its share counts.
    pub fn offers(&mut self, now: Micros, wall_ms: u64, offered: impl FnOnce() -> Vec<Offered>) {
        let Some(shares) = self.shares.as_mut().filter(|_| now - self.share_told >= TOLD_EVERY) else {
            return;
        };
        shares.fade(now);
        let version = self.share_version + 1;
        if !shares.wants(self.own.id, self.own.life, version) {
            return;
        }
        (self.share_told, self.share_version) = (now, version);
        let (reporter, life) = (self.own.id, self.own.life);
        let share = Share { reporter, life, version, created_ms: wall_ms, offered: offered() };
        let signed = self.own.sign_share(&share);
        shares.merge(now, share, signed, 0);
    }

    /// What the fronts that count were asked.
    pub fn offered(&self, now: Micros) -> impl Iterator<Item = &[Offered]> {
        self.shares.iter().flat_map(move |shares| shares.all(now))
    }

    /// Whether any other front that counts is heard.
    pub fn hears_load(&self, now: Micros) -> bool {
        self.shares.iter().flat_map(|shares| shares.reporters(now)).any(|reporter| reporter != self.own.id)
    }

    pub(super) fn pass_shares(&mut self, now: Micros, wall_ms: u64, to: SocketAddr) -> Option<Datagram> {
        let room = MAX_PAYLOAD - 8; // the count of them
        let shares = self.shares.as_mut()?.pass_on(now, room);
        (!shares.is_empty())
            .then(|| message::bytes(&shares))
            .and_then(|payload| self.channel_datagram(now, wall_ms, to, Channel::Load, &payload))
    }

    pub(super) fn hear_shares(&mut self, now: Micros, wall_ms: u64, from: IpAddr, payload: &[u8]) {
        let Some(shares) = &mut self.shares else { return };
        let Some(all) = message::read::<Vec<Signed>>(payload) else {
            *self.refused.entry(Refused::Form).or_default() += 1;
            return;
        };
        for signed in all {
            let Some(share) = message::read::<Share>(&signed.report) else {
                *self.refused.entry(Refused::Form).or_default() += 1;
                continue;
            };
            // Guards against the cost of what is known already, which is most of what comes.
            if share.reporter == self.own.id || !shares.wants(share.reporter, share.life, share.version) {
                continue;
            }
            match self.peers.holds(now, from, share.reporter, &signed) {
                Ok(()) => {
                    let age = self.peers.age(share.reporter, wall_ms, share.created_ms);
                    age.into_iter().for_each(|age| _ = shares.merge(now, share.clone(), signed.clone(), age));
                }
                Err(why) => *self.refused.entry(why).or_default() += 1,
            }
        }
    }
}
