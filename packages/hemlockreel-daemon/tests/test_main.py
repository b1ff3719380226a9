"""The command line: settings check, failing start and process exit."""

import json
import subprocess
import sys

import pytest

SETTINGS = {
    "zone": "trondheim-a",
    "region": "midt-norge",
    "listen": {
        "callers": "127.0.0.1:1",
        "operators": "127.0.0.1:2",
        "peers": "127.0.0.1:3",
    },
    "store": "127.0.0.1:4",
    "host_list": "127.0.0.1:5",
}
# Prints if exit handlers run, as NNG's handler would.
PROGRAM = (
    "import atexit; from hemlockreel_daemon import main;"
    "atexit.register(print, 'handler'); main.run()"
)


@pytest.fixture
def check(tmp_path):
    def run(value):
        path = tmp_path / "settings.json"
        path.write_text(json.dumps(value))
        return subprocess.run(
            [sys.executable, "-c", PROGRAM, "--check", "--config", path],
            capture_output=True,
            text=True,
            check=False,
        )

    return run


def test_process_ends_without_exit_handlers(check):
    found = check(SETTINGS)
    assert found.returncode == 0
    assert found.stdout.endswith("settings are valid\n")


FAILING_START = """
import threading, time
from hemlockreel_daemon import main

def fail():
    threading.Thread(target=time.sleep, args=(60,)).start()
    raise RuntimeError("can't start new thread")

main.main = fail
main.run()
"""


def test_process_ends_when_its_start_fails_after_some_threads():
    """Guards against a process that stays alive without its listeners.

    The system may refuse to start a listener's threads after others run.
    """
    done = subprocess.run(
        [sys.executable, "-c", FAILING_START],
        capture_output=True,
        text=True,
        check=False,
        timeout=20,
    )
    assert done.returncode == 1
    assert "hemlockreeld: can't start new thread" in done.stderr


def test_invalid_setting_is_reported_with_its_path(check):
    found = check({**SETTINGS, "store": "store.example:4"})
    assert found.returncode == 1
    assert 'Expected `IP:PORT`, got "store.example:4" - at `$.store`' in (
        found.stderr
    )
    assert "Traceback" not in found.stderr
