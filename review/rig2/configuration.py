"""Configurations of a small deployment, as the operator writes them."""

from . import site as sites

ENGINE = {
    "slots": 16,
    "kv_capacity_tokens": 114005,
    "stride": 1,
    "handle_ttl_s": 0.5,
    "switch_s": 6.0,
    "hold_ms": 2000.0,
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
ROUTES = (
    {
        "name": "stock",
        "path_prefix": "/stock/",
        "service": "ordrebok",
        "kind": "idempotent",
        "timeout_ms": 1001,
        "target_latency_ms": 200,
        "max_attempts": 2,
        "priority": 2,
    },
    {
        "name": "booking",
        "path_prefix": "/booking/",
        "service": "ordrebok",
        "kind": "non_idempotent",
        "timeout_ms": 1001,
        "target_latency_ms": 200,
        "max_attempts": 1,
        "priority": 2,
    },
    {
        "name": "review",
        "path_prefix": "/review/",
        "service": "lesar",
        "kind": "streaming",
        "timeout_ms": 14004,
        "target_latency_ms": 900,
        "gap_target_ms": 300,
        "max_attempts": 2,
        "priority": 1,
        "sticky_sessions": True,
        "resumable": True,
    },
)


def make(version=3, **changes):
    """Returns a configuration; ``changes`` replace its parts."""
    return {
        "version": version,
        "routes": [{"host": sites.HOST, **each} for each in ROUTES],
        "services": [
            {
                "name": "lesar",
                "health_path": "/health",
                "max_connections": 320,
                "engine": ENGINE,
            },
            {
                "name": "ordrebok",
                "health_path": "/health",
                "max_connections": 192,
            },
        ],
        "limits": LIMITS,
        **changes,
    }
