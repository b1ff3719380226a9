"""Forwards requests along the routes of a platform's deployment.

The protocols of callers, replicas and the store are behind
:mod:`interfaces`.
"""
