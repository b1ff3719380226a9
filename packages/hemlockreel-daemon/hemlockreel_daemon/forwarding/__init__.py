"""Carries requests by the routes of a platform's deployment.

What speaks to callers, replicas and the store is behind :mod:`interfaces`.
"""
