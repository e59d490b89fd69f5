//! Tests of how requests are matched to routes.

use std::sync::Arc;

use broker::{Config, Route};

fn config(prefixes: &[(&str, &str)]) -> Config {
    let route = |(host, prefix): &(&str, &str)| {
        Arc::new(Route {
            name: (*prefix).to_owned(),
            host: (*host).to_owned(),
            prefix: (*prefix).to_owned(),
            ..Route::default()
        })
    };
    let mut config = Config { routes: prefixes.iter().map(route).collect(), ..Config::default() };
    config.sort();
    config
}

#[test]
fn finds_the_longest_prefix_of_the_host() {
    let config = config(&[("a.example", "/x/"), ("a.example", "/x/y/"), ("b.example", "/x/y/z/")]);

    let (route, rest) = config.route("A.example", "/x/y/z/1").expect("a route");

    assert_eq!((route.name.as_str(), rest), ("/x/y/", "z/1"));
}

#[test]
fn finds_no_route_for_another_host() {
    let config = config(&[("a.example", "/x/")]);

    assert!(config.route("c.example", "/x/1").is_none());
}
