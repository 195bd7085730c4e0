//! Unit tests of the `faulty_disk` module.

use super::*;

#[test]
fn disk_is_full_or_slow_while_the_fault_file_requires_it() {
    let directory =
        std::env::temp_dir().join(format!("hallmux-faulty-disk-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let fault_file = directory.join("drill");
    let disk = open(&directory.join("store"), &fault_file.display().to_string()).unwrap();
    disk.set_len(8)
        .and_then(|()| disk.write(0, b"whole"))
        .unwrap();
    std::fs::write(&fault_file, "full\n").unwrap();
    assert_eq!(
        disk.write(0, b"x").unwrap_err().kind(),
        std::io::ErrorKind::StorageFull
    );
    assert!(disk.sync_data().is_err() && disk.set_len(9).is_err());
    let mut bytes = [0; 5];
    disk.read(0, &mut bytes).unwrap();
    assert_eq!((&bytes, disk.len().unwrap()), (b"whole", 8));
    std::fs::write(&fault_file, "slow 30").unwrap();
    let started = std::time::Instant::now();
    disk.sync_data().unwrap();
    assert!(started.elapsed() >= Duration::from_millis(30));
    assert_eq!(
        (
            sync_delay_ms("slow 2000\n"),
            sync_delay_ms("slow x"),
            sync_delay_ms("slow 99999999"),
            sync_delay_ms("")
        ),
        (2000, 0, MAX_SYNC_DELAY_MS, 0)
    );
    let _ = std::fs::remove_dir_all(&directory);
}
