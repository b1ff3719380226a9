"""Runs the main function of a case and ends with its exit code."""

import os
import signal
import sys
import traceback

CANNOT_RUN = 2


def run(main):
    """Exits with 1 if the rule was broken, 0 if it held, else with 2."""
    # Sites end their processes on the way out.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    try:
        code = main()
    except (Exception, KeyboardInterrupt, SystemExit):
        traceback.print_exc()
        print("the case couldn't run")
        code = CANNOT_RUN
    sys.stdout.flush()
    # Threads of stand-ins may still wait for their callers.
    os._exit(code)
