"""Tests that the docs name every setting, declared field and reason."""

import json
import pathlib

import msgspec
import pytest

from hemlockreel import declared_objects
from hemlockreel import outcomes
from hemlockreel_ctl import manifest
from hemlockreel_daemon import settings

DOCS = pathlib.Path(__file__).parent.parent / "docs"
EXAMPLES = sorted((DOCS / "operators" / "examples").glob("*.json"))


def fields(kind):
    return {field.encode_name for field in msgspec.structs.fields(kind)}


def missing(page, names):
    text = (DOCS / page).read_text()
    return sorted(name for name in names if f"`{name}`" not in text)


def test_settings_are_named():
    names = fields(settings.Settings) - {"listen"}
    names |= {f"listen.{name}" for name in fields(settings.Listen)}
    assert missing("operators/settings.md", names) == []


@pytest.mark.parametrize("kind", declared_objects.DECLARED_KINDS)
def test_declared_fields_are_named(kind):
    names = fields(declared_objects.TYPES[kind]) | {kind}
    assert missing("operators/objects.md", names) == []


def test_reasons_are_named():
    names = {reason.value for reason in outcomes.Reason}
    assert missing("API.md", names) == []


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.name)
def test_examples_are_valid(path):
    assert len(manifest.read(str(path))) == len(json.loads(path.read_text()))
