"""Lets the tests of KNOWN-RED.txt run without failing the whole run."""

import pathlib

import pytest

LIST = pathlib.Path(__file__).with_name("KNOWN-RED.txt")


def pytest_collection_modifyitems(items):
    """Marks just the tests that are listed; what they do is shown."""
    if not LIST.exists():
        return
    listed = {
        line.partition("|")[0].partition(",")[0].strip()
        for line in LIST.read_text().splitlines()
        if line.strip()
    }
    for item in items:
        if item.nodeid in listed:
            reason = "listed in KNOWN-RED.txt"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))
