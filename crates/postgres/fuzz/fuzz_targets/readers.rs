#![no_main]

#[path = "../drive.rs"]
mod drive;

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| drive::drive(bytes));
