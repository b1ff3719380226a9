"""Soak test: real daemons with stand-ins of the platform, under faults.

A plan generated from a seed determines when each fault begins and ends.
Callers and replicas record each request that they send or run, and
:mod:`promises` checks these records after the run.
"""
