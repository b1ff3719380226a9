"""The daemon: HTTP interfaces, event loop and clients of other systems."""
