//! Golden tests of the decisions and answers in whole scenarios.

use std::{collections::HashMap, fs, path::Path};

use scenario::{Script, World};

/// Trace of a scenario from its time zero on, with ids replaced by stable names.
fn session(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let text = fs::read_to_string(folder.join(format!("{name}.scn"))).expect("the file exists");
    let script = Script::parse(&text).unwrap();
    let inventory = fs::read_to_string(folder.join(format!("{}.toml", script.inventory))).unwrap();
    let report = World::play(script, &inventory).unwrap();
    let trace = report.trace_text();
    let lines = trace.lines().filter(|line| !line.trim_start().starts_with('-'));
    let mut ids = Ids::default();
    lines.map(|line| ids.replace(line) + "\n").collect()
}

/// Numbers of the ids, in order of appearance.
#[derive(Default)]
struct Ids {
    numbers: HashMap<String, usize>,
}

impl Ids {
    fn replace(&mut self, line: &str) -> String {
        let words = line.split(' ').map(|word| match is_id(word) {
            true => self.name(word),
            false => word.to_owned(),
        });
        words.collect::<Vec<String>>().join(" ")
    }

    fn name(&mut self, id: &str) -> String {
        let next = self.numbers.len() + 1;
        let number = *self.numbers.entry(id.to_owned()).or_insert(next);
        format!("id-{number}")
    }
}

fn is_id(word: &str) -> bool {
    word.len() == 36 && word.bytes().filter(|byte| *byte == b'-').count() == 4
}

#[test]
fn serves_every_kind_of_call() {
    insta::assert_snapshot!(session("whole-path"));
}

#[test]
fn replaces_an_owner_whose_host_dies() {
    insta::assert_snapshot!(session("owner-killed"));
}

#[test]
fn answers_a_late_copy_like_the_first() {
    insta::assert_snapshot!(session("late-copy"));
}
