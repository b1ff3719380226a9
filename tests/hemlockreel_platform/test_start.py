"""A daemon on the platform gets signals from the first moment on."""

import contextlib
import os
import pathlib
import re
import signal
import subprocess
import sys

from hemlockreel_standins import platform_site
from hemlockreel_standins import processes

START = str(platform_site.ROOT / "platform" / "start.py")


def test_a_reload_while_the_process_imports_does_not_end_it(tmp_path):
    """A SIGHUP in the first second of a host ended it without a word."""
    process = subprocess.Popen(
        [sys.executable, "-X", "importtime", START],
        env={**os.environ, "HEMLOCKREEL_NODE_FILE": str(tmp_path / "none")},
        stderr=subprocess.PIPE,
        text=True,
    )
    with process:
        for line in process.stderr:
            if "hemlockreel.actions" in line:
                process.send_signal(signal.SIGHUP)
                break
        rest = process.stderr.read()
    assert "hemlockreeld: " in rest
    assert process.returncode == 1


def blocks_reloads(pid):
    """Returns whether a process keeps a SIGHUP for later."""
    found = pathlib.Path(f"/proc/{pid}/status").read_text()
    mask = re.search(r"SigBlk:\s*(\w+)", found)[1]
    return bool(int(mask, 16) & 1 << signal.SIGHUP - 1)


def test_a_reload_during_the_start_is_made_after_it(tmp_path):
    with contextlib.closing(platform_site.Site(tmp_path)) as site:
        (daemon,) = site.daemons
        processes.await_that(
            lambda: blocks_reloads(daemon.process.pid), 10, "it isn't blocked"
        )
        daemon.process.send_signal(signal.SIGHUP)
        processes.await_that(
            lambda: daemon.lines("reloaded"), 10, "it was not reloaded"
        )


def test_a_host_that_no_operator_calls_loads_no_application_server():
    """CherryPy would take a seventh of the memory of an idle host."""
    shown = subprocess.run(
        [
            sys.executable,
            "-c",
            f"import runpy, sys; runpy.run_path({START!r}); "
            "print('cherrypy' in sys.modules)",
        ],
        capture_output=True,
        text=True,
        check=True,
    )
    assert shown.stdout.strip() == "False"
