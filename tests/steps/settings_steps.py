"""Steps for settings files and command line arguments."""

from __future__ import annotations

import contextlib
import io
import tempfile
from pathlib import Path

import cappa
from behave import then, when
from hypothesis import given as given_any
from hypothesis import strategies as st

from snipemount.errors import SettingsError
from snipemount.run import Snipemount, main
from snipemount.settings import Settings, parse_settings

VALID_TABLES = {
    "daemon": {"name": '"a"', "zone": '"z"'},
    "platform": {"url": '"http://127.0.0.1:1"'},
}


def parse(context, text):
    """Parse settings and store the error in the context, or "none"."""
    try:
        parse_settings(text)
    except SettingsError as error:
        context.settings_error = error.detail
    else:
        context.settings_error = "none"


def to_text(tables):
    """Return tables as TOML text."""
    lines = []
    for table, values in tables.items():
        lines.append(f"[{table}]")
        lines += [f"{key} = {value}" for key, value in values.items()]
    return "\n".join(lines)


@when("settings have {change}")
def step_change(context, change):
    tables = {name: dict(values) for name, values in VALID_TABLES.items()}
    top_lines = ""
    if change != "no change":
        key, value = change.split(" = ")
        if "." in key:
            table, name = key.split(".")
            tables.setdefault(table, {})[name] = value
        else:
            top_lines = change + "\n"
    parse(context, top_lines + to_text(tables))


@when("the settings are an empty file")
def step_empty(context):
    parse(context, "")


@then("the settings error starts with {message}")
def step_settings_error(context, message):
    assert context.settings_error.startswith(message), context.settings_error
    assert "\n" not in context.settings_error


@when("snipemount serve is run with a settings file that is not TOML")
def step_run(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "bad.toml"
        path.write_text("[daemon", encoding="utf-8")
        stderr = io.StringIO()
        with contextlib.redirect_stderr(stderr):
            try:
                main(["serve", "--settings", str(path)])
            except SystemExit as exit_error:
                context.exit_status = exit_error.code
        context.printed = stderr.getvalue()


@then("it prints one line that names the file and exits with status 3")
def step_status(context):
    assert context.exit_status == 3
    assert context.printed.count("\n") == 1 and "bad.toml" in context.printed


@then("parsing any text gives either settings or a settings error")
def step_any(context):
    values = st.sampled_from(["1", "-1", '"x"', "true", "[1]", "1.5", "{a=1}", "nan"])
    names = st.sampled_from(
        ["daemon", "platform", "log", "caller", "name", "url", "level", "x"]
    )
    lines = st.builds(lambda n, v: f"{n} = {v}", names, values) | st.builds(
        lambda n: f"[{n}]", names
    )

    @given_any(st.lists(lines, max_size=8).map("\n".join) | st.text(max_size=40))
    def check(text):
        try:
            result = parse_settings(text)
        except SettingsError as error:
            assert error.detail
        else:
            assert isinstance(result, Settings)

    check()


@then('"{line}" is accepted by the command line')
def step_accepted(context, line):
    parsed = cappa.parse(Snipemount, argv=line.split())
    assert parsed.command is not None
