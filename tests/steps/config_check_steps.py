"""Steps on the check of a configuration by the command line."""

from __future__ import annotations

import contextlib
import copy
import io
import json
import tempfile
from pathlib import Path

from behave import then, when
from hypothesis import given as for_any
from hypothesis import strategies as st

from snipemount.queries.config import ConfigCheck
from snipemount.run import main

ROUTE = {"type": "non_idempotent", "timeout_ms": 2000, "target_latency_ms": 400}
SOUND = {
    "version": 7,
    "routes": [
        ROUTE | {"name": "a", "host": "h", "path_prefix": "/a/", "backend": "s0"},
        ROUTE
        | {
            "name": "lookup",
            "host": "H",
            "path_prefix": "/a/b/",
            "weighted_backends": [
                {"backend": "s0", "weight": 1},
                {"backend": "s1", "weight": 2},
            ],
        },
        ROUTE
        | {
            "name": "search",
            "type": "idempotent",
            "max_attempts": 2,
            "host": "other",
            "path_prefix": "/a/",
            "gather": ["s0", "s1"],
            "top_k": 10,
            "min_coverage": 0.5,
        },
    ],
    "backends": [{"name": "s0"}, {"name": "s1", "cold_start_s": 2}],
    "limits": {},
    "tenants": [{"name": "org", "api_keys": ["first-key", "second-key"]}],
}
OLD = SOUND | {"version": 6}


def run_parsed(config, check, new, *in_force):
    """Run the command as parsed; parsing takes most of the time of the properties."""
    ConfigCheck(Path(new), Path(in_force[-1]) if in_force else None)()


def check(new, old=None, run=lambda *arguments: main(list(arguments))):
    """Run the command on two file texts; return its exit status and its output."""
    output = io.StringIO()
    with tempfile.TemporaryDirectory() as folder, contextlib.redirect_stdout(output):
        arguments = ["config", "check", f"{folder}/new.json"]
        if new is not None:
            Path(folder, "new.json").write_text(new, encoding="utf-8")
        if old is not None:
            Path(folder, "old.json").write_text(old, encoding="utf-8")
            arguments += ["--in-force", f"{folder}/old.json"]
        try:
            run(*arguments)
        except SystemExit as stop:
            return stop.code, output.getvalue()
    return 0, output.getvalue()


def check_changed(context, *changes):
    """Check SOUND with values replaced; keep what the command printed as findings."""
    new = copy.deepcopy(SOUND)
    for field, value in changes:
        *parents, last = (int(p) if p.isdigit() else p for p in field.split("."))
        item = new
        for parent in parents:
            item = item[parent]
        item[last] = value
    context.status, output = check(json.dumps(new), json.dumps(OLD))
    lines = output.splitlines()
    context.lines = [x for x in lines if x.startswith(("error:", "warning:"))]


@then("any routes with different hosts or prefixes are checked without a finding")
def step_sound(context):
    segments = st.lists(st.sampled_from("abc"), max_size=3)
    keys = st.tuples(st.sampled_from(["h", "g"]), segments.map(tuple))

    @for_any(st.sets(keys, max_size=12), st.data())
    def holds(routes, data):
        targets = [{k: v for k, v in r.items() if k not in ("name", "host")}
                   for r in SOUND["routes"]]  # fmt: skip
        specs = [
            data.draw(st.sampled_from(targets))
            | {"name": f"r{i}", "host": host}
            | {"path_prefix": "/" + "".join(f"{part}/" for part in parts)}
            for i, (host, parts) in enumerate(routes)
        ]
        assert check(json.dumps(SOUND | {"routes": specs}), run=run_parsed) == (0, "")

    holds()
    assert check(json.dumps(SOUND)) == (0, "")


@when("a sound configuration is checked with {field} set to {value}")
def step_check(context, field, value):
    check_changed(context, (field, json.loads(value)))


@when(
    "a sound configuration is checked with a first route that has host and prefix of "
    "the second"
)
def step_same(context):
    check_changed(context, ("routes.0.path_prefix", "/a/b/"))


@when("a sound configuration is checked with all weights 0")
def step_no_weight(context):
    weights = [f"routes.1.weighted_backends.{part}.weight" for part in (0, 1)]
    check_changed(context, *((weight, 0) for weight in weights))


@then('the check prints only "{line}" and exits with status {status:d}')
def step_line(context, line, status):
    assert (context.lines, context.status) == ([line], status), context.lines


@when("a file with {text} is checked")
def step_file(context, text):
    context.status, context.output = check(None if text == "nothing" else text)


@then('the check prints an error with "{reason}" and exits with status 1')
def step_error(context, reason):
    assert context.status == 1
    assert context.output.startswith("error: ") and reason in context.output
    assert context.output.count("\n") == 1


@when("a changed configuration is checked against the one in force")
def step_changed(context):
    old, new = copy.deepcopy(SOUND), copy.deepcopy(SOUND)
    new["version"] = 8
    new["routes"][0] |= {"name": "b", "path_prefix": "/b/"}
    new["routes"][1] |= {"target_latency_ms": 300}
    new["routes"][2] |= {"gather": ["s1", "s2"], "type": "non_idempotent"}
    new["routes"][2] |= {"max_attempts": 1}
    new["backends"] = [{"name": "s2"}, {"name": "s1"}, {"name": "s0"}]
    new["tenants"][0] |= {"api_keys": ["first-key", "third-key"], "priority": 1}
    context.status, context.output = check(json.dumps(new), json.dumps(old))


@then("the check lists each difference and exits with status 0")
def step_differences(context):
    assert context.status == 0
    assert context.output.splitlines() == [
        "changed: version: 7 -> 8",
        "removed: routes['a']",
        "added: routes['b']",
        "changed: routes['lookup'].target_latency_ms: 400 -> 300",
        "changed: routes['search'].type: 'idempotent' -> not 'idempotent'",
        "changed: routes['search'].max_attempts: 2 -> 1",
        "changed: routes['search'].gather: 2 -> 2 (1 added, 1 removed)",
        "added: backends['s2']",
        "changed: backends['s1'].cold_start_s: 2 -> 0",
        "changed: tenants['org'].api_keys: 2 -> 2 (1 added, 1 removed)",
        "changed: tenants['org'].priority: absent -> 1",
    ], context.output


@then("no report on any organisations, sound or malformed, contains one of their keys")
def step_keys(context):
    key = st.integers(0, 5).map("secret-{}".format)
    keys = st.lists(key, min_size=1, max_size=3)
    # Few names and keys, so that two organisations or configurations share some.
    sound = st.fixed_dictionaries({"name": st.sampled_from("ab"), "api_keys": keys})
    spoilt = st.fixed_dictionaries(
        {"name": st.sampled_from(["c", ""]), "priority": st.integers(-1, 1) | key},
        optional={"api_keys": keys | key | st.lists(key | st.integers())},
    )
    organisations = (
        st.lists(sound, min_size=1, max_size=2, unique_by=lambda item: item["name"])
        | st.lists(spoilt | key, max_size=2)
        | key
    )

    @for_any(organisations, organisations)
    def holds(old, new):
        texts = [json.dumps(SOUND | {"tenants": value}) for value in (new, old)]
        assert "secret" not in check(*texts, run=run_parsed)[1]

    holds()
