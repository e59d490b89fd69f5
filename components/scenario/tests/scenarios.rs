//! Runs every scenario of `scenarios/`.

use std::{
    fs,
    path::{Path, PathBuf},
};

use scenario::{Report, Script, World};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn scripts() -> Vec<PathBuf> {
    let folder = fs::read_dir(root().join("scenarios")).expect("the folder scenarios exists");
    let mut paths: Vec<PathBuf> = folder.map(|entry| entry.unwrap().path()).collect();
    paths.retain(|path| path.extension().is_some_and(|extension| extension == "scn"));
    paths.sort();
    paths
}

fn play(path: &Path) -> Report {
    let text = fs::read_to_string(path).unwrap();
    let script = Script::parse(&text).unwrap_or_else(|err| panic!("{}:\n{err}", path.display()));
    let local = root().join(format!("scenarios/{}.toml", script.inventory));
    let shared = root().join(format!("inventories/{}.toml", script.inventory));
    let inventory = fs::read_to_string(&local).or_else(|_| fs::read_to_string(&shared));
    World::play(script, &inventory.expect("the inventory exists")).unwrap()
}

/// Scenarios listed in KNOWN-RED.txt, as paths from the root.
fn known_red() -> Vec<String> {
    let text = fs::read_to_string(root().join("KNOWN-RED.txt")).expect("KNOWN-RED.txt exists");
    let words = text.lines().filter_map(|line| line.split([' ', ':']).next());
    words.filter(|word| word.ends_with(".scn")).map(str::to_owned).collect()
}

#[test]
fn every_scenario_holds_except_known_failures() {
    let known = known_red();
    let mut wrong = Vec::new();
    for path in scripts() {
        let name = format!("scenarios/{}", path.file_name().unwrap().to_string_lossy());
        let report = play(&path);
        match (report.holds(), known.contains(&name)) {
            (true, false) => {}
            (false, true) => println!("known failure: {name}\n{report}"),
            (false, false) => wrong.push(format!("{name}\n{report}")),
            (true, true) => wrong.push(format!("{name} holds; remove it from KNOWN-RED.txt")),
        }
    }

    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}
