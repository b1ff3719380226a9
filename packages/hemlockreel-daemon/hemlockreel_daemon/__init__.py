"""The daemon: listeners, loop and clients of the outside systems."""
