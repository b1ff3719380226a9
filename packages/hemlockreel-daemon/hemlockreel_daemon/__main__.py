"""Runs the daemon by `python -m hemlockreel_daemon`."""

import sys

from . import main

sys.exit(main.main())
