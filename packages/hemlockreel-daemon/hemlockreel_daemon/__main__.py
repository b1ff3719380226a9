"""Runs the daemon by `python -m hemlockreel_daemon`."""

from . import main

main.run()
