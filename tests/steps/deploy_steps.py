"""Steps for the file that deploys the program on the operators' platform."""

from __future__ import annotations

import tomllib
from pathlib import Path

from behave import then

DEPLOY_FILE = Path(__file__).parents[2] / "deploy" / "system.toml"


@then('the roles in the deploy file serve "{names}"')
def step_serves(context, names):
    document = tomllib.loads(DEPLOY_FILE.read_text(encoding="utf-8"))
    served = {name for role in document["roles"].values() for name in role["serves"]}
    assert served == set(names.split(", ")), served
