import ast
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parent.parent
CORE = sorted((ROOT / "packages/hemlockreel/hemlockreel").glob("*.py"))
# The core depends on its events only, so it must not import any of these.
FORBIDDEN = {"socket", "threading", "time", "os", "urllib3", "pynng", "queue"}


def imported(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name.split(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.level == 0:
            yield node.module.split(".")[0]


@pytest.mark.parametrize("path", CORE, ids=lambda path: path.name)
def test_core_does_no_input_or_output(path):
    assert not FORBIDDEN & set(imported(path))
