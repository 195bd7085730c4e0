//! Several front processes over sites that hold rows and sign summaries of them: which sites are asked, by the engines' own
//! records; rows joined in the order of sites; sites that are missing named; summaries that spread from front to front.

mod portal;
mod process;
mod site;

use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use ed25519_dalek::SigningKey;
use process::{hexadecimal, operator, room, Front};
use site::Site;

const PATIENCE: Duration = Duration::from_secs(20); // for any one wait; a busy machine takes some of it

fn says(held: &[u8], text: &str) -> bool {
    held.windows(text.len()).any(|w| w == text.as_bytes())
}

/// The sites asked since the last look, in order of names.
fn asked(sites: &[Site]) -> Vec<&'static str> {
    sites
        .iter()
        .filter(|site| site.asked() > 0)
        .map(|site| site.name)
        .collect()
}

#[test]
fn only_sites_that_could_have_rows_are_asked_and_their_rows_stand_in_the_order_of_sites() {
    let folder = room("sites");
    let sites = [
        Site::new("ash", &[1, 2, 3, 20]),
        Site::new("elm", &[11, 12]),
        Site::new("oak", &[21, 22, 3]),
    ];
    let summaries = room("sites-summaries");
    sites.iter().for_each(|site| site.writes(&summaries, 1));
    let file = operator(
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
        assert_eq!(asked(&sites), of, "{condition}");
    }
    // Aggregates are put together, also where no site has a row; one site at least tells how it says that.
    let count = "select count(*), sum(id), max(id) from sales_17.orders";
    for (condition, row, of) in [
        ("", "9\t95\t22\n", vec!["ash", "elm", "oak"]),
        (" where id = 3", "2\t6\t3\n", vec!["ash", "oak"]),
        (" where id = 500", "0\t\t\n", vec!["ash"]),
    ] {
        let held = front.asks("acme", &format!("{count}{condition}"));
        assert!(
            says(&held, row),
            "{condition}: {:?}",
            String::from_utf8_lossy(&held)
        );
        assert_eq!(asked(&sites), of, "{condition}");
    }
    // A join is asked where both sides have rows; of two groups only where they lie together.
    let join = "select o.id, o.a, o.b from sales_17.orders o join sales_17.orders p on o.id = p.id";
    assert_eq!(
        front.rows("acme", &format!("{join} where o.id = 3")),
        [3, 3]
    );
    assert_eq!(asked(&sites), ["ash", "oak"]);
    assert!(says(
        &front.asks(
            "acme",
            &join.replace("sales_17.orders p", "sales_18.items p")
        ),
        "scatter.together"
    ));
    // Distinct values are told by sketches, with the error, to a customer that takes it.
    let distinct = "select count(distinct id) from sales_17.orders";
    let held = front.asks("acme", distinct);
    assert!(
        says(&held, "8\t\t\n") && says(&held, "error"),
        "{:?}",
        String::from_utf8_lossy(&held)
    );
    assert!(says(&front.asks("lax", distinct), "DISTINCT"));
    assert_eq!(asked(&sites), Vec::<&str>::new());
    // What parts can't make up is refused with its reason, and nothing is asked.
    let held = front.asks("acme", "select avg(id) from sales_17.orders");
    assert!(held.starts_with(&[12, 0, 1]) && says(&held, "function 'avg'"));
    assert_eq!(asked(&sites), Vec::<&str>::new());
    // A site that fails for good fails the whole, or is named as missing where the customer takes that.
    sites[1].fails();
    let held = front.asks_within("1500", "acme", &format!("{select} where id in (1, 11)"));
    assert!(
        held.starts_with(&[12, 0, 2]) || held.starts_with(&[12, 0, 1]),
        "{held:?}"
    );
    let text = format!("{select} where id in (1, 11)");
    let held = front.asks_within("1500", "lax", &text);
    assert!(
        held.starts_with(&[12, 0, 0]) && says(&held, "missing") && says(&held, "elm"),
        "{held:?}"
    );
}

#[test]
fn what_parts_can_not_make_up_goes_to_the_site_that_has_all_rows() {
    let folder = room("whole");
    let sites = [Site::new("ash", &[1, 2]), Site::new("oak", &[1, 2, 3])];
    let file = operator(
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
    assert_eq!(asked(&sites), ["oak"]);
    // Without summaries every site is asked.
    let file = file.replace(", whole_site: 'oak'", "");
    let mut front = Front::start("n2", &folder, &sites, &file);
    assert_eq!(
        front.rows("acme", "select id, a, b from sales_17.orders where id = 3"),
        [3]
    );
    assert_eq!(asked(&sites), ["ash", "oak"]);
}

/// Three fronts that talk with each other, each with its own directory of summaries; with a ledger where `marked`.
fn fleet(name: &str, sites: &[Site], directories: &[PathBuf], marked: bool) -> Vec<Front> {
    fleet_beside(name, sites, directories, marked, None)
}

/// The same, each with settings of its own.
fn fleet_set(
    name: &str,
    sites: &[Site],
    directories: &[PathBuf],
    set: &dyn Fn(usize) -> String,
) -> Vec<Front> {
    fleet_whole(name, sites, directories, (false, None), set)
}

/// The same with an engine that speaks PostgreSQL, and sessions.
fn fleet_beside(
    name: &str,
    sites: &[Site],
    directories: &[PathBuf],
    marked: bool,
    portal: Option<SocketAddr>,
) -> Vec<Front> {
    fleet_whole(name, sites, directories, (marked, portal), &|_| {
        String::new()
    })
}

fn fleet_whole(
    name: &str,
    sites: &[Site],
    directories: &[PathBuf],
    (marked, portal): (bool, Option<SocketAddr>),
    set: &dyn Fn(usize) -> String,
) -> Vec<Front> {
    let folder = room(name);
    // The ports are the system's: bound once to learn them, then left to the fronts.
    let sockets: Vec<UdpSocket> = (0..3)
        .map(|_| UdpSocket::bind("127.0.0.1:0").unwrap())
        .collect();
    let at: Vec<SocketAddr> = sockets.iter().map(|s| s.local_addr().unwrap()).collect();
    drop(sockets);
    let secret = |n: usize| [n as u8 + 60; 32];
    let public = |n: usize| {
        hexadecimal(
            SigningKey::from_bytes(&secret(n))
                .verifying_key()
                .as_bytes(),
        )
    };
    let peers: Vec<String> = (0..3).map(|n| format!("n{n}: '{}'", public(n))).collect();
    let members: Vec<String> = (0..3)
        .map(|n| format!("n{n}: {{ at: '{}' }}", at[n]))
        .collect();
    let (ledger, loads) = match marked {
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
        std::fs::write(&key, hexadecimal(&secret(n))).unwrap();
        let gossip = format!(
            "gossip: {{ listen: '{}', secret_file: '{}', {ledger} peers: {{ {} }}, seeds: ['{}'] }}",
            at[n],
            key.display(),
            peers.join(", "),
            at[(n + 1) % 3]
        );
        let sessions =
            "postgres: { listen: '127.0.0.1:0', engines: [{ kinds: ['pg'] }], users: { loader: \
                        { trust: true, member: 'acme', workload: 'pay' } } }";
        let more = if portal.is_some() {
            format!("{gossip}, {sessions}")
        } else {
            gossip
        };
        let file = operator(
            sites,
            &directories[n],
            &format!("loads: '{loads}', together: [[17, 18]]{}", set(n)),
            &more,
        );
        Front::start_beside(&format!("n{n}"), &folder, sites, &file, portal)
    };
    (0..3).map(front).collect()
}

const SELECT: &str = "select id, a, b from sales_17.orders where id = ";

/// Asks until only the sites named are asked; the rows are to be right at each try.
fn settles(front: &mut Front, sites: &[Site], id: i64, rows: &[i64], of: &[&str]) {
    let until = Instant::now() + PATIENCE;
    loop {
        assert_eq!(
            front.rows("acme", &format!("{SELECT}{id}")),
            rows,
            "never a row missing"
        );
        let asked = asked(sites);
        if asked == of {
            return;
        }
        assert!(Instant::now() < until, "{asked:?} are asked, not {of:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn summaries_come_from_other_fronts_and_what_is_forged_or_damaged_is_not_used() {
    let sites = [Site::new("ash", &[1, 2]), Site::new("oak", &[21, 22])];
    let directories: Vec<PathBuf> = (0..3).map(|n| room(&format!("forged-{n}"))).collect();
    sites
        .iter()
        .for_each(|site| site.writes(&directories[0], 1));
    // Signed by another than its site, and cut short: in this front's own directory.
    Site::new("ash", &[]).signs_as(9).writes(&directories[1], 7);
    std::fs::write(directories[1].join("short"), [1, 2, 3]).unwrap();
    for front in &mut fleet("forged", &sites, &directories, false) {
        settles(front, &sites, 22, &[22], &["oak"]);
        settles(front, &sites, 1, &[1], &["ash"]);
    }
}

#[test]
fn a_load_at_one_front_is_seen_by_a_scatter_at_another_whatever_summaries_say() {
    let sites = [Site::new("ash", &[1, 2]), Site::new("oak", &[21, 22])];
    let directories = vec![room("loads-summaries"); 3];
    sites
        .iter()
        .for_each(|site| site.writes(&directories[0], 1));
    let mut fronts = fleet("loads", &sites, &directories, true);
    settles(&mut fronts[1], &sites, 22, &[22], &["oak"]);
    let held = fronts[0].loads("insert into sales_17.orders (id) values (500)");
    assert!(held.starts_with(&[12, 0, 0]), "{held:?}");
    let site = sites.iter().position(|site| site.has(500)).unwrap();
    sites.iter().for_each(|site| _ = site.asked());
    // No summary has it; the mark stands at every front, and asks the one site for what the load may have touched.
    for front in &mut fronts {
        assert_eq!(front.rows("acme", &format!("{SELECT}500")), [500]);
        assert_eq!(asked(&sites), [sites[site].name]);
        assert_eq!(front.rows("acme", &format!("{SELECT}600")), [0; 0]);
        assert_eq!(asked(&sites), [""; 0], "the load's keys are known");
        // A join waits for the word on both groups; the one side alone rules the other site out.
        for other in ["sales_17.orders", "sales_18.items"] {
            let join = format!(
                "select o.id, o.a, o.b from sales_17.orders o join {other} p on o.id = p.id"
            );
            assert_eq!(
                front.rows("acme", &format!("{join} where o.id = 500")),
                [500]
            );
            assert_eq!(asked(&sites), [sites[site].name]);
        }
    }
    // Of a load whose keys are not known nothing is proved at its site, until its summary speaks of it.
    let held =
        fronts[2].loads("insert into sales_17.orders select v from sales_17.new -- values (700)");
    assert!(held.starts_with(&[12, 0, 0]), "{held:?}");
    let touched = sites.iter().position(|site| site.has(700)).unwrap();
    sites.iter().for_each(|site| _ = site.asked());
    assert_eq!(fronts[0].rows("acme", &format!("{SELECT}600")), [0; 0]);
    assert_eq!(asked(&sites), [sites[touched].name]);
    sites
        .iter()
        .for_each(|site| site.writes(&directories[0], 2));
    fronts.iter().for_each(|front| front.signal("-HUP"));
    for front in &mut fronts {
        settles(front, &sites, 600, &[], &[]);
        settles(front, &sites, 700, &[700], &[sites[touched].name]);
    }
    // Without a majority there is no word on loads: every site is asked, and no load runs.
    fronts.drain(..2);
    assert_eq!(fronts[0].rows("acme", &format!("{SELECT}600")), [0; 0]);
    assert_eq!(asked(&sites), ["ash", "oak"]);
    let held = fronts[0].loads("insert into sales_17.orders (id) values (800)");
    assert!(held.starts_with(&[12, 0, 1]), "{held:?}");
    assert!(!sites.iter().any(|site| site.has(800)));
}

#[test]
fn loads_through_sessions_are_seen_by_scatters_at_other_fronts() {
    let sites = [Site::new("ash", &[1, 2]), Site::new("oak", &[21, 22])];
    let directories = vec![room("sessions-summaries"); 3];
    sites
        .iter()
        .for_each(|site| site.writes(&directories[0], 1));
    let portal = sites[1].portal();
    let mut fronts = fleet_beside("sessions", &sites, &directories, true, Some(portal));
    settles(&mut fronts[1], &sites, 1, &[1], &["ash"]);
    let mut client = portal::Client::new(fronts[0].sessions);
    // One statement outside of a transaction: its rows are known, and the site hears its number.
    assert!(client.says("insert into sales_17.orders (id) values (500)"));
    assert_eq!(fronts[1].rows("acme", &format!("{SELECT}500")), [500]);
    assert_eq!(asked(&sites), ["oak"]);
    settles(&mut fronts[1], &sites, 600, &[], &[]);
    sites
        .iter()
        .for_each(|site| site.writes(&directories[0], 2));
    fronts.iter().for_each(|front| front.signal("-HUP"));
    settles(&mut fronts[1], &sites, 500, &[500], &["oak"]);
    // A transaction's rows are there from its end on, whatever summaries were made meanwhile.
    for text in ["begin", "insert into sales_17.orders (id) values (700)"] {
        assert!(client.says(text));
    }
    assert_eq!(fronts[1].rows("acme", &format!("{SELECT}700")), [0; 0]);
    assert_eq!(asked(&sites), ["oak"], "what can't be known is asked");
    sites
        .iter()
        .for_each(|site| site.writes(&directories[0], 3));
    fronts.iter().for_each(|front| front.signal("-HUP"));
    settles(&mut fronts[1], &sites, 21, &[21], &["oak"]);
    assert!(client.says("commit"));
    for front in &mut fronts {
        assert_eq!(front.rows("acme", &format!("{SELECT}700")), [700]);
    }
    sites.iter().for_each(|site| _ = site.asked());
    // What passes for a numbered load, and what names tables too late, is turned away.
    assert!(!client.says("/* load 17:9 */ insert into sales_17.orders (id) values (800)"));
    assert!(!client.says_in_parts(
        "insert into sales_17.orders (id) values (1)",
        "delete from sales_18.t"
    ));
    let held = fronts[0].loads("/* load 17:9 */ insert into sales_17.orders (id) values (800)");
    assert!(
        held.starts_with(&[12, 0, 1]) && says(&held, "leave that comment out"),
        "{held:?}"
    );
    // Without a majority no load of a session runs.
    fronts.drain(1..);
    assert!(!client.says("insert into sales_17.orders (id) values (900)"));
    assert!(!sites[1].has(800) && !sites[1].has(900));
}

#[test]
fn a_site_whose_summary_is_false_is_found_by_audits_and_asked_until_its_answers_bear_it_out() {
    let folder = room("audits");
    let sites = [Site::new("ash", &[1, 2]), Site::new("oak", &[21, 22])];
    let summaries = room("audits-summaries");
    sites[0].writes(&summaries, 1);
    // It says nothing of a row that it has.
    Site::new("oak", &[21]).writes(&summaries, 1);
    let file = operator(
        &sites,
        &summaries,
        "loads: 'none', audits: { one_in: 1, a_minute: 60000 }",
        "",
    );
    let mut front = Front::start("n1", &folder, &sites, &file);
    let until = Instant::now() + PATIENCE;
    while front.rows("acme", &format!("{SELECT}22")) != [22] {
        assert!(Instant::now() < until, "an audit is to find it");
    }
    front.logs("site 'oak': its summary, version 1, says that it has no row");
    // From now on it is asked whatever it says, until forty answers have borne it out: it was found twice.
    assert_eq!(front.rows("acme", &format!("{SELECT}22")), [22]);
    sites.iter().for_each(|site| _ = site.asked());
    for _ in 0..45 {
        assert_eq!(front.rows("acme", &format!("{SELECT}1")), [1]);
    }
    front.logs("site 'oak': its summaries count again");
}

#[test]
fn a_false_word_that_one_front_finds_counts_for_nothing_at_the_others() {
    let sites = [Site::new("ash", &[1, 2]), Site::new("oak", &[21, 22])];
    let directories: Vec<PathBuf> = (0..3).map(|n| room(&format!("false-{n}"))).collect();
    sites[0].writes(&directories[0], 1);
    Site::new("oak", &[21]).writes(&directories[0], 1);
    // Only the first one audits at all.
    let set = |n: usize| {
        format!(
            ", audits: {{ one_in: {}, a_minute: 60000 }}",
            if n == 0 { 1 } else { 1_000_000 }
        )
    };
    let mut fronts = fleet_set("false", &sites, &directories, &set);
    let until = Instant::now() + PATIENCE;
    let text = format!("{SELECT}22");
    for (at, rows) in [(1, &[][..]), (2, &[]), (0, &[22])] {
        // The first two come to hold the false summary, then the third finds it out.
        while fronts[at].rows("acme", &text) != rows {
            assert!(Instant::now() < until, "front {at}");
        }
    }
    for at in [1, 2] {
        fronts[at].logs("another front has found its summary of group 17, version 1, false");
        assert_eq!(fronts[at].rows("acme", &format!("{SELECT}22")), [22]);
    }
}

#[test]
fn under_a_budget_a_front_fetches_from_another_what_it_has_found_to_spare_sites() {
    // Neither bounds nor runs tell the two apart, filters do.
    let rows = |odd: i64| (0..400).map(|n| 2 * n + odd).collect::<Vec<i64>>();
    let sites = [Site::new("ash", &rows(0)), Site::new("oak", &rows(1))];
    let directories: Vec<PathBuf> = (0..3).map(|n| room(&format!("keep-{n}"))).collect();
    sites
        .iter()
        .for_each(|site| site.writes_in_sheets(&directories[0], 1));
    let set = |_| ", keep: { memory_kb: 64, bytes_a_second: 10000 }".to_string();
    let mut fronts = fleet_set("keep", &sites, &directories, &set);
    settles(&mut fronts[1], &sites, 5_000, &[], &[]);
    settles(&mut fronts[1], &sites, 633, &[633], &["oak"]);
    settles(&mut fronts[1], &sites, 634, &[634], &["ash"]);
}
