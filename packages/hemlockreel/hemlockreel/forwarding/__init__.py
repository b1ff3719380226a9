"""Decisions about requests that are forwarded along the platform's routes.

In this mode each replica accounts for its own memory, so there are no shard
owners and no grants; see docs/design/platform.md.
"""
