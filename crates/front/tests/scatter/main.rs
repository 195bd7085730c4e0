//! Several front processes over sites that hold rows and sign summaries of them. The tests check which sites
//! are asked (by the engines' own records), that rows are joined in the order of sites, that missing sites
//! are named, and that summaries spread between fronts.

mod portal;
mod process;
mod site;

use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use ed25519_dalek::SigningKey;
use process::{operator_file, temp_folder, to_hex, Front};
use site::Site;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20); // for one wait, on a busy machine

fn contains(reply: &[u8], text: &str) -> bool {
    reply.windows(text.len()).any(|w| w == text.as_bytes())
}

/// The names of the sites that were asked since the last call, in the order of the list.
fn sites_asked(sites: &[Site]) -> Vec<&'static str> {
    sites
        .iter()
        .filter(|site| site.take_query_count() > 0)
        .map(|site| site.name)
        .collect()
}

#[test]
fn only_sites_that_may_have_rows_are_asked_and_rows_are_joined_in_site_order() {
    let folder = temp_folder("sites");
    let sites = [
        Site::new("ash", &[1, 2, 3, 20]),
        Site::new("elm", &[11, 12]),
        Site::new("oak", &[21, 22, 3]),
    ];
    let summaries = temp_folder("sites-summaries");
    sites
        .iter()
        .for_each(|site| site.write_summary(&summaries, 1));
    let file = operator_file(
        &sites,
        &summaries,
        "loads: 'none', partial: ['lax'], distinct_error: { acme: 0.05 }, at_once: 1",
        "",
    );
    let mut front = Front::start("n1", &folder, &sites, &file);
    let select = "select id, a, b from sales_17.orders";
    for (condition, rows, of) in [
        (" where id = 3", vec![3, 3], vec!["ash", "oak"]),
        (" where id between 11 and 12", vec![11, 12], vec!["elm"]),
        (" where id in (2, 22) and id > 5", vec![22], vec!["oak"]),
        (" where id = 500", vec![], vec![]),
        (" where id + 0 = 11", vec![11], vec!["ash", "elm", "oak"]),
        (" where id > 2 limit 2", vec![3, 20], vec!["ash"]),
        (" where id > 4 limit 2", vec![20, 21], vec!["ash", "oak"]),
        (
            "",
            vec![1, 2, 3, 20, 11, 12, 21, 22, 3],
            vec!["ash", "elm", "oak"],
        ),
    ] {
        assert_eq!(
            front.rows("acme", &format!("{select}{condition}")),
            rows,
            "{condition}"
        );
        assert_eq!(sites_asked(&sites), of, "{condition}");
    }
    // Aggregates are combined even if no site has a row: one site is asked anyway, for the form of the empty
    // answer.
    let count = "select count(*), sum(id), max(id) from sales_17.orders";
    for (condition, row, of) in [
        ("", "9\t95\t22\n", vec!["ash", "elm", "oak"]),
        (" where id = 3", "2\t6\t3\n", vec!["ash", "oak"]),
        (" where id = 500", "0\t\t\n", vec!["ash"]),
    ] {
        let reply = front.query("acme", &format!("{count}{condition}"));
        assert!(
            contains(&reply, row),
            "{condition}: {:?}",
            String::from_utf8_lossy(&reply)
        );
        assert_eq!(sites_asked(&sites), of, "{condition}");
    }
    // A join is sent to the sites where both sides have rows; a join of two table groups only if the settings
    // declare them stored together.
    let join = "select o.id, o.a, o.b from sales_17.orders o join sales_17.orders p on o.id = p.id";
    assert_eq!(
        front.rows("acme", &format!("{join} where o.id = 3")),
        [3, 3]
    );
    assert_eq!(sites_asked(&sites), ["ash", "oak"]);
    assert!(contains(
        &front.query(
            "acme",
            &join.replace("sales_17.orders p", "sales_18.items p")
        ),
        "scatter.together"
    ));
    // Distinct values are answered from sketches, with the error, for a customer that accepts one.
    let distinct = "select count(distinct id) from sales_17.orders";
    let reply = front.query("acme", distinct);
    assert!(
        contains(&reply, "8\t\t\n") && contains(&reply, "error"),
        "{:?}",
        String::from_utf8_lossy(&reply)
    );
    assert!(contains(&front.query("lax", distinct), "DISTINCT"));
    assert_eq!(sites_asked(&sites), Vec::<&str>::new());
    // A statement that cannot be assembled from parts is rejected with the reason, and no site is asked.
    let reply = front.query("acme", "select avg(id) from sales_17.orders");
    assert!(reply.starts_with(&[12, 0, 1]) && contains(&reply, "function 'avg'"));
    assert_eq!(sites_asked(&sites), Vec::<&str>::new());
    // A site that keeps failing fails the parent statement, or is named as missing if the customer accepts
    // partial results.
    sites[1].set_failing();
    let reply = front.query_within("1500", "acme", &format!("{select} where id in (1, 11)"));
    assert!(
        reply.starts_with(&[12, 0, 2]) || reply.starts_with(&[12, 0, 1]),
        "{reply:?}"
    );
    let text = format!("{select} where id in (1, 11)");
    let reply = front.query_within("1500", "lax", &text);
    assert!(
        reply.starts_with(&[12, 0, 0]) && contains(&reply, "missing") && contains(&reply, "elm"),
        "{reply:?}"
    );
}

#[test]
fn a_statement_that_cannot_be_scattered_runs_at_the_site_with_all_rows() {
    let folder = temp_folder("whole");
    let sites = [Site::new("ash", &[1, 2]), Site::new("oak", &[1, 2, 3])];
    let file = operator_file(
        &sites,
        &folder.join("none"),
        "loads: 'none', whole_site: 'oak'",
        "",
    );
    let mut front = Front::start("n1", &folder, &sites, &file);
    assert_eq!(
        front.rows("acme", "select distinct id, a, b from sales_17.orders"),
        [1, 2, 3]
    );
    assert_eq!(sites_asked(&sites), ["oak"]);
    // Without summaries every site is asked.
    let file = file.replace(", whole_site: 'oak'", "");
    let mut front = Front::start("n2", &folder, &sites, &file);
    assert_eq!(
        front.rows("acme", "select id, a, b from sales_17.orders where id = 3"),
        [3]
    );
    assert_eq!(sites_asked(&sites), ["ash", "oak"]);
}

/// Starts three fronts that gossip, each with its own directory of summaries; `with_ledger` adds a ledger.
fn fleet(name: &str, sites: &[Site], directories: &[PathBuf], with_ledger: bool) -> Vec<Front> {
    fleet_with_portal(name, sites, directories, with_ledger, None)
}

/// Like `fleet` without a ledger, with additional settings for each front.
fn fleet_with_settings(
    name: &str,
    sites: &[Site],
    directories: &[PathBuf],
    set: &dyn Fn(usize) -> String,
) -> Vec<Front> {
    start_fleet(name, sites, directories, (false, None), set)
}

/// Like `fleet`, with PostgreSQL sessions if an engine that speaks PostgreSQL is given.
fn fleet_with_portal(
    name: &str,
    sites: &[Site],
    directories: &[PathBuf],
    with_ledger: bool,
    portal: Option<SocketAddr>,
) -> Vec<Front> {
    start_fleet(name, sites, directories, (with_ledger, portal), &|_| {
        String::new()
    })
}

fn start_fleet(
    name: &str,
    sites: &[Site],
    directories: &[PathBuf],
    (with_ledger, portal): (bool, Option<SocketAddr>),
    set: &dyn Fn(usize) -> String,
) -> Vec<Front> {
    let folder = temp_folder(name);
    // The system assigns free ports: the sockets are bound to learn them and then released for the fronts.
    let sockets: Vec<UdpSocket> = (0..3)
        .map(|_| UdpSocket::bind("127.0.0.1:0").unwrap())
        .collect();
    let addresses: Vec<SocketAddr> = sockets.iter().map(|s| s.local_addr().unwrap()).collect();
    drop(sockets);
    let secret = |n: usize| [n as u8 + 60; 32];
    let public = |n: usize| {
        to_hex(
            SigningKey::from_bytes(&secret(n))
                .verifying_key()
                .as_bytes(),
        )
    };
    let peers: Vec<String> = (0..3).map(|n| format!("n{n}: '{}'", public(n))).collect();
    let members: Vec<String> = (0..3)
        .map(|n| format!("n{n}: {{ at: '{}' }}", addresses[n]))
        .collect();
    let (ledger, loads) = match with_ledger {
        true => (
            format!(
                "ledger: {{ fleet: 'test', members: {{ {} }} }},",
                members.join(", ")
            ),
            "marked",
        ),
        false => (String::new(), "none"),
    };
    let front = |n: usize| {
        let key = folder.join(format!("secret-{n}"));
        std::fs::write(&key, to_hex(&secret(n))).unwrap();
        let gossip = format!(
            "gossip: {{ listen: '{}', secret_file: '{}', {ledger} peers: {{ {} }}, seeds: ['{}'] }}",
            addresses[n],
            key.display(),
            peers.join(", "),
            addresses[(n + 1) % 3]
        );
        let sessions =
            "postgres: { listen: '127.0.0.1:0', engines: [{ kinds: ['pg'] }], users: { loader: \
                        { trust: true, member: 'acme', workload: 'pay' } } }";
        let more = if portal.is_some() {
            format!("{gossip}, {sessions}")
        } else {
            gossip
        };
        let file = operator_file(
            sites,
            &directories[n],
            &format!("loads: '{loads}', together: [[17, 18]]{}", set(n)),
            &more,
        );
        Front::start_with_portal(&format!("n{n}"), &folder, sites, &file, portal)
    };
    (0..3).map(front).collect()
}

const SELECT: &str = "select id, a, b from sales_17.orders where id = ";

/// Repeats a statement until exactly the named sites are asked. The rows must be complete at each attempt.
fn wait_until_asked(front: &mut Front, sites: &[Site], id: i64, rows: &[i64], of: &[&str]) {
    let until = Instant::now() + WAIT_TIMEOUT;
    loop {
        assert_eq!(
            front.rows("acme", &format!("{SELECT}{id}")),
            rows,
            "a row is missing"
        );
        let asked = sites_asked(sites);
        if asked == of {
            return;
        }
        assert!(Instant::now() < until, "{asked:?} are asked, not {of:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn summaries_spread_between_fronts_and_forged_or_damaged_ones_are_ignored() {
    let sites = [Site::new("ash", &[1, 2]), Site::new("oak", &[21, 22])];
    let directories: Vec<PathBuf> = (0..3)
        .map(|n| temp_folder(&format!("forged-{n}")))
        .collect();
    sites
        .iter()
        .for_each(|site| site.write_summary(&directories[0], 1));
    // One summary signed with another key than its site's and one that is cut short, in the second front's
    // own directory.
    Site::new("ash", &[])
        .with_signing_key(9)
        .write_summary(&directories[1], 7);
    std::fs::write(directories[1].join("short"), [1, 2, 3]).unwrap();
    for front in &mut fleet("forged", &sites, &directories, false) {
        wait_until_asked(front, &sites, 22, &[22], &["oak"]);
        wait_until_asked(front, &sites, 1, &[1], &["ash"]);
    }
}

#[test]
fn a_load_at_one_front_is_seen_by_a_scatter_at_another_despite_old_summaries() {
    let sites = [Site::new("ash", &[1, 2]), Site::new("oak", &[21, 22])];
    let directories = vec![temp_folder("loads-summaries"); 3];
    sites
        .iter()
        .for_each(|site| site.write_summary(&directories[0], 1));
    let mut fronts = fleet("loads", &sites, &directories, true);
    wait_until_asked(&mut fronts[1], &sites, 22, &[22], &["oak"]);
    let reply = fronts[0].load("insert into sales_17.orders (id) values (500)");
    assert!(reply.starts_with(&[12, 0, 0]), "{reply:?}");
    let site = sites.iter().position(|site| site.has(500)).unwrap();
    sites.iter().for_each(|site| _ = site.take_query_count());
    // No summary covers the load; its load marker at every front makes them ask the one site for keys that
    // the load may have touched.
    for front in &mut fronts {
        assert_eq!(front.rows("acme", &format!("{SELECT}500")), [500]);
        assert_eq!(sites_asked(&sites), [sites[site].name]);
        assert_eq!(front.rows("acme", &format!("{SELECT}600")), [0; 0]);
        assert_eq!(sites_asked(&sites), [""; 0], "the load's keys are known");
        // A join waits for the load markers of both groups; the rows of one side alone exclude the other
        // site.
        for other in ["sales_17.orders", "sales_18.items"] {
            let join = format!(
                "select o.id, o.a, o.b from sales_17.orders o join {other} p on o.id = p.id"
            );
            assert_eq!(
                front.rows("acme", &format!("{join} where o.id = 500")),
                [500]
            );
            assert_eq!(sites_asked(&sites), [sites[site].name]);
        }
    }
    // A load with unknown keys makes its site's summary unusable until a newer summary covers the load.
    let reply =
        fronts[2].load("insert into sales_17.orders select v from sales_17.new -- values (700)");
    assert!(reply.starts_with(&[12, 0, 0]), "{reply:?}");
    let loaded_site = sites.iter().position(|site| site.has(700)).unwrap();
    sites.iter().for_each(|site| _ = site.take_query_count());
    assert_eq!(fronts[0].rows("acme", &format!("{SELECT}600")), [0; 0]);
    assert_eq!(sites_asked(&sites), [sites[loaded_site].name]);
    sites
        .iter()
        .for_each(|site| site.write_summary(&directories[0], 2));
    fronts.iter().for_each(|front| front.signal("-HUP"));
    for front in &mut fronts {
        wait_until_asked(front, &sites, 600, &[], &[]);
        wait_until_asked(front, &sites, 700, &[700], &[sites[loaded_site].name]);
    }
    // Without a majority load markers cannot be checked: every site is asked, and no load runs.
    fronts.drain(..2);
    assert_eq!(fronts[0].rows("acme", &format!("{SELECT}600")), [0; 0]);
    assert_eq!(sites_asked(&sites), ["ash", "oak"]);
    let reply = fronts[0].load("insert into sales_17.orders (id) values (800)");
    assert!(reply.starts_with(&[12, 0, 1]), "{reply:?}");
    assert!(!sites.iter().any(|site| site.has(800)));
}

#[test]
fn loads_through_sessions_are_seen_by_scatters_at_other_fronts() {
    let sites = [Site::new("ash", &[1, 2]), Site::new("oak", &[21, 22])];
    let directories = vec![temp_folder("sessions-summaries"); 3];
    sites
        .iter()
        .for_each(|site| site.write_summary(&directories[0], 1));
    let portal = sites[1].portal();
    let mut fronts = fleet_with_portal("sessions", &sites, &directories, true, Some(portal));
    wait_until_asked(&mut fronts[1], &sites, 1, &[1], &["ash"]);
    let mut client = portal::Client::new(fronts[0].sessions);
    // One statement outside of a transaction: its keys are known, and the site receives its load number.
    assert!(client.query("insert into sales_17.orders (id) values (500)"));
    assert_eq!(fronts[1].rows("acme", &format!("{SELECT}500")), [500]);
    assert_eq!(sites_asked(&sites), ["oak"]);
    wait_until_asked(&mut fronts[1], &sites, 600, &[], &[]);
    sites
        .iter()
        .for_each(|site| site.write_summary(&directories[0], 2));
    fronts.iter().for_each(|front| front.signal("-HUP"));
    wait_until_asked(&mut fronts[1], &sites, 500, &[500], &["oak"]);
    // Rows of a transaction are visible from its commit on, whatever summaries were made in the meantime.
    for text in ["begin", "insert into sales_17.orders (id) values (700)"] {
        assert!(client.query(text));
    }
    assert_eq!(fronts[1].rows("acme", &format!("{SELECT}700")), [0; 0]);
    assert_eq!(
        sites_asked(&sites),
        ["oak"],
        "a site with an unknown load is asked"
    );
    sites
        .iter()
        .for_each(|site| site.write_summary(&directories[0], 3));
    fronts.iter().for_each(|front| front.signal("-HUP"));
    wait_until_asked(&mut fronts[1], &sites, 21, &[21], &["oak"]);
    assert!(client.query("commit"));
    for front in &mut fronts {
        assert_eq!(front.rows("acme", &format!("{SELECT}700")), [700]);
    }
    sites.iter().for_each(|site| _ = site.take_query_count());
    // A statement that imitates a numbered load, and one that names further tables too late, are rejected.
    assert!(!client.query("/* load 17:9 */ insert into sales_17.orders (id) values (800)"));
    assert!(!client.query_in_two_parses(
        "insert into sales_17.orders (id) values (1)",
        "delete from sales_18.t"
    ));
    let reply = fronts[0].load("/* load 17:9 */ insert into sales_17.orders (id) values (800)");
    assert!(
        reply.starts_with(&[12, 0, 1]) && contains(&reply, "leave that comment out"),
        "{reply:?}"
    );
    // Without a majority no load of a session runs.
    fronts.drain(1..);
    assert!(!client.query("insert into sales_17.orders (id) values (900)"));
    assert!(!sites[1].has(800) && !sites[1].has(900));
}

#[test]
fn a_false_summary_is_found_by_audits_and_not_used_until_answers_confirm_it() {
    let folder = temp_folder("audits");
    let sites = [Site::new("ash", &[1, 2]), Site::new("oak", &[21, 22])];
    let summaries = temp_folder("audits-summaries");
    sites[0].write_summary(&summaries, 1);
    // The summary omits row 22, which the site has.
    Site::new("oak", &[21]).write_summary(&summaries, 1);
    let file = operator_file(
        &sites,
        &summaries,
        "loads: 'none', audits: { one_in: 1, a_minute: 60000 }",
        "",
    );
    let mut front = Front::start("n1", &folder, &sites, &file);
    let until = Instant::now() + WAIT_TIMEOUT;
    while front.rows("acme", &format!("{SELECT}22")) != [22] {
        assert!(
            Instant::now() < until,
            "no audit found the false summary in time"
        );
    }
    front.wait_for_log("site 'oak': its summary, version 1, says that it has no row");
    // From now on the site is asked regardless of its summary, until 40 answers confirm its summaries: two
    // false ones were found.
    assert_eq!(front.rows("acme", &format!("{SELECT}22")), [22]);
    sites.iter().for_each(|site| _ = site.take_query_count());
    for _ in 0..45 {
        assert_eq!(front.rows("acme", &format!("{SELECT}1")), [1]);
    }
    front.wait_for_log("site 'oak': its summaries count again");
}

#[test]
fn a_false_summary_found_by_one_front_is_ignored_by_the_others() {
    let sites = [Site::new("ash", &[1, 2]), Site::new("oak", &[21, 22])];
    let directories: Vec<PathBuf> = (0..3).map(|n| temp_folder(&format!("false-{n}"))).collect();
    sites[0].write_summary(&directories[0], 1);
    Site::new("oak", &[21]).write_summary(&directories[0], 1);
    // Only the first front audits.
    let set = |n: usize| {
        format!(
            ", audits: {{ one_in: {}, a_minute: 60000 }}",
            if n == 0 { 1 } else { 1_000_000 }
        )
    };
    let mut fronts = fleet_with_settings("false", &sites, &directories, &set);
    let until = Instant::now() + WAIT_TIMEOUT;
    let text = format!("{SELECT}22");
    for (front, rows) in [(1, &[][..]), (2, &[]), (0, &[22])] {
        // Fronts 1 and 2 first receive the false summary, then front 0 detects it.
        while fronts[front].rows("acme", &text) != rows {
            assert!(Instant::now() < until, "front {front}");
        }
    }
    for front in [1, 2] {
        fronts[front]
            .wait_for_log("another front has found its summary of group 17, version 1, false");
        assert_eq!(fronts[front].rows("acme", &format!("{SELECT}22")), [22]);
    }
}

#[test]
fn under_a_memory_budget_a_front_fetches_useful_filters_from_a_peer() {
    // Value bounds and runs cannot tell the two sites apart, filters can.
    let rows = |odd: i64| (0..400).map(|n| 2 * n + odd).collect::<Vec<i64>>();
    let sites = [Site::new("ash", &rows(0)), Site::new("oak", &rows(1))];
    let directories: Vec<PathBuf> = (0..3).map(|n| temp_folder(&format!("keep-{n}"))).collect();
    sites
        .iter()
        .for_each(|site| site.write_layered_summary(&directories[0], 1));
    let set = |_| ", keep: { memory_kb: 64, bytes_a_second: 10000 }".to_string();
    let mut fronts = fleet_with_settings("keep", &sites, &directories, &set);
    wait_until_asked(&mut fronts[1], &sites, 5_000, &[], &[]);
    wait_until_asked(&mut fronts[1], &sites, 633, &[633], &["oak"]);
    wait_until_asked(&mut fronts[1], &sites, 634, &[634], &["ash"]);
}
