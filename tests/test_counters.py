import ast
import pathlib

import pytest

from hemlockreel_daemon import metrics

ROOT = pathlib.Path(__file__).parent.parent
CORE = sorted((ROOT / "packages/hemlockreel/hemlockreel").glob("*.py"))


def counts(path):
    """Yields the name and the number of labels of each Count action."""
    for node in ast.walk(ast.parse(path.read_text())):
        if (
            isinstance(node, ast.Call)
            and isinstance(node.func, ast.Attribute)
            and node.func.attr == "Count"
            and isinstance(node.args[0], ast.Constant)
        ):
            labels = node.args[2].elts if len(node.args) > 2 else []
            yield node.args[0].value, len(labels)


@pytest.mark.parametrize("path", CORE, ids=lambda path: path.name)
def test_daemon_knows_each_counter_of_the_core(path):
    # An unknown counter would end the daemon's loop.
    known = {
        name: len(labels) for name, (_, labels) in metrics.COUNTERS.items()
    }
    for name, labels in counts(path):
        assert known.get(name) == labels, name
