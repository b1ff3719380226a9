"""Tests the command line of the soak."""

import pytest

from hemlockreel_standins.soak import __main__ as soak


def test_options_have_defaults():
    options = soak.parse_arguments([])
    assert (options.seeds, options.hosts) == (1, soak.HOSTS)


@pytest.mark.parametrize(
    "arguments",
    [
        ["--seeds", "0"],
        ["--hosts", "-1"],
        ["--seconds", "0.5"],
        ["--callers", "none"],
        ["--days", "40"],
    ],
)
def test_wrong_options_are_named(arguments, capsys):
    with pytest.raises(SystemExit) as ended:
        soak.parse_arguments(arguments)
    assert ended.value.code == 2
    assert arguments[0] in capsys.readouterr().err
