//! Unit tests of the `faulty_disk` module.

use super::*;

#[test]
fn a_disk_is_full_or_slow_as_long_as_its_file_says_so() {
    let folder = std::env::temp_dir().join(format!("hallmux-drilled-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let fault_file = folder.join("drill");
    let disk = open(&folder.join("store"), &fault_file.display().to_string()).unwrap();
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
    let began = std::time::Instant::now();
    disk.sync_data().unwrap();
    assert!(began.elapsed() >= Duration::from_millis(30));
    assert_eq!(
        (
            slow_ms("slow 2000\n"),
            slow_ms("slow x"),
            slow_ms("slow 99999999"),
            slow_ms("")
        ),
        (2000, 0, MOST_MS, 0)
    );
    let _ = std::fs::remove_dir_all(&folder);
}
