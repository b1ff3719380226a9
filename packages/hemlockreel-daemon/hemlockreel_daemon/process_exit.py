"""Ends the process of a daemon."""

from collections.abc import Callable
import os
import sys
import traceback
from typing import NoReturn

from . import logs


def exit_process(code: int) -> NoReturn:
    """Ends the process without running exit handlers.

    NNG's handler aborts the process if one of its threads is still ending.
    Skipping the handlers is safe, because the daemon stores nothing locally.
    """
    logs.stop()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


def run_and_exit(program: Callable[[], int]) -> NoReturn:
    """Runs ``program`` and ends the process, even if it raises.

    Otherwise threads that were started before the exception, for instance
    before the system refused to start another one, would keep a process alive
    that serves no requests.
    """
    try:
        code = program()
    except Exception as error:
        logs.write("failed", {"trace": traceback.format_exc()})
        print(f"hemlockreeld: {error}", file=sys.stderr)
        code = 1
    exit_process(code)
