"""Steps on the start of an entry daemon."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

from behave import then, when

SOURCES = Path(__file__).parents[2] / "src"
IMPORT_AND_REPORT = """
import gc, json, sys
sys.path.insert(0, sys.argv[1])
import entry
collections = lambda: sum(generation["collections"] for generation in gc.get_stats())
entry.prepare_imports()
before = collections()
import snipemount.entry_daemon
import aiohttp.connector
stats = aiohttp.connector._SSL_CONTEXT_VERIFIED.cert_store_stats()
print(json.dumps([stats["x509_ca"], collections() - before, list(sys.modules)]))
"""


@when("the modules of an entry daemon are imported as its program does")
def step_import(context):
    ran = subprocess.run(
        [sys.executable, "-c", IMPORT_AND_REPORT, str(SOURCES)],
        capture_output=True,
        check=True,
        text=True,
    )
    report = json.loads(ran.stdout)
    context.certificates, context.collections, context.modules = report


@then("{count:d} certificates are loaded")
def step_certificates(context, count):
    assert context.certificates == count, context.certificates


@then("no collection has run since")
def step_collections(context):
    assert context.collections == 0, context.collections


@then('neither "{one}" nor "{other}" is imported')
def step_not_imported(context, one, other):
    assert not {one, other} & set(context.modules)
