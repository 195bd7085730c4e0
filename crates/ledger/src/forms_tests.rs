use super::*;
use crate::records;
use crate::state::{Batch, Command, Keeper, Limits, State};
use crate::words::{self, Base, Born, Letter, Sheet};
use crate::{Act, Entry, Key, Kind, Outcome, Owner};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn batch() -> Batch {
    let command = |number, act| Command {
        owner: Owner { front: 300, incarnation: 1_800_000_000_000 },
        number,
        asked_ms: 1_800_000_000_123,
        key: Key { kind: Kind::Dedup, name: "k".to_string() },
        act,
    };
    let commands = vec![
        command(1, Act::Claim { ends_ms: 7, value: vec![1, 2] }),
        command(2, Act::Put { expects: Some(1), ends_ms: 0, value: vec![3] }),
        command(3, Act::Free),
        command(4, Act::Read),
    ];
    Batch { wall_ms: 1_800_000_000_200, commands, next: Some(vec![keeper()]) }
}

fn keeper() -> Keeper {
    Keeper { front: 300, disk: 5 }
}

/// Every word of the first form, and what is kept, byte by byte as the first build writes it.
fn first_form() -> Vec<(&'static str, Vec<u8>)> {
    let with = vec![Born { keeper: keeper(), incarnation: 9 }];
    let entry = Entry {
        key: Key { kind: Kind::Mark, name: "m".to_string() },
        owner: Owner { front: 1, incarnation: 2 },
        version: 3,
        ends_ms: 0,
        value: vec![8],
    };
    let keepers = vec![keeper()];
    let told = |outcome| Word::Told { incarnation: 1, number: 2, outcome };
    let (whole, after) =
        (Base::Whole { index: 1, state: vec![7] }, Base::After { index: 2, batches: vec![batch()] });
    let of = vec![
        Word::Missed { shard: 1, config: 2 },
        Word::Ask { shard: 1, command: batch().commands[0].clone() },
        told(Outcome::Stands(entry.clone())),
        told(Outcome::Held(entry)),
        told(Outcome::Absent),
        told(Outcome::Unreachable),
        told(Outcome::Full),
        Word::Elsewhere { shard: 1, incarnation: 2, number: 3, owner: Some(4) },
        Word::Here { shard: 1, config: 2, with },
        Word::Members { shard: 1, config: 2, keepers: keepers.clone() },
        Word::Offer { shard: 1 },
        Word::Copy { shard: 1, config: 2, index: 3, state: vec![4] },
        Word::Caught { shard: 1, config: 2, index: 3 },
        Word::Begin { shard: 1, config: 2, keepers: keepers.clone(), base: whole },
        Word::Begin { shard: 1, config: 2, keepers, base: after },
    ];
    let letter = |sheet| Letter { form: 1, fleet: 2, disk: 3, incarnation: 4, wall_ms: 5, sheet };
    let letters = [
        letter(Sheet::Words(vec![vec![1, 2], vec![3]])),
        letter(Sheet::Piece { id: 1, index: 2, count: 3, bytes: vec![4] }),
        letter(Sheet::Again { id: 1, missing: vec![2] }),
        letter(Sheet::Whole { id: 1 }),
    ];
    let mut state = State::new(Limits { entries: 10, bytes: 1_000, apart_ms: 500 });
    state.apply(&Batch { next: None, ..batch() });
    let record = |record: crate::Record| record.bytes.unwrap_or_default();
    let mut all: Vec<(&'static str, Vec<u8>)> = of.iter().map(|word| ("word", words::bytes(word))).collect();
    all.extend(letters.iter().map(|letter| ("letter", words::bytes(letter))));
    all.push(("batch", words::bytes(&batch())));
    all.push(("state", words::bytes(&state)));
    all.push(("mark", record(records::mark(7, 8))));
    all.push(("entry", record(records::entry(3, 4, &batch()))));
    all
}

#[test]
fn what_the_first_build_writes_and_reads_stays_as_it_is() {
    let golden: Vec<&str> = include_str!("form1.txt").lines().collect();
    let now: Vec<String> =
        first_form().iter().map(|(what, bytes)| format!("{what} {}", hex(bytes))).collect();
    if std::env::var_os("PRINT").is_some() {
        println!("{}", now.join("\n"));
    }
    assert_eq!(now, golden);
    // And is read again as what it was.
    for (what, bytes) in first_form() {
        let again = match what {
            "word" => words::read::<Word>(&bytes).map(|word| words::bytes(&word)),
            "letter" => words::read::<Letter>(&bytes).map(|letter| words::bytes(&letter)),
            "batch" => words::read::<Batch>(&bytes).map(|batch| words::bytes(&batch)),
            "state" => words::read::<State>(&bytes).map(|state| words::bytes(&state)),
            _ => continue,
        };
        assert_eq!(again, Some(bytes), "{what}");
    }
}

#[test]
fn a_later_form_is_written_once_its_reader_has_shown_it_and_not_to_its_next_life() {
    let mut forms = Forms::default();
    assert_eq!(forms.of(2, 7), 1);
    let word = forms.introduces(0, 2, 7).unwrap();
    assert!(word.introduced() == Some(2) && forms.introduces(1, 2, 7).is_none());
    forms.heard(7, 5, 1);
    assert_eq!(forms.of(2, 7), 1);
    forms.heard(7, 5, 2);
    assert!(forms.of(2, 7) == 2 && forms.introduces(2 * AGAIN, 2, 7).is_none());
    // A letter of it that was under way changes nothing; a life of an earlier build does.
    forms.heard(7, 5, 1);
    assert_eq!(forms.of(2, 7), 2);
    forms.heard(7, 6, 1);
    assert!(forms.of(2, 7) == 1 && forms.introduces(2 * AGAIN, 2, 7).is_some());
    forms.heard(7, 5, 2);
    assert_eq!(forms.of(2, 7), 1);
}
