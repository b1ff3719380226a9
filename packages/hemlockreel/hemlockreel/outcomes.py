"""Outcomes of a request: what ran, what did not, and why.

Outcomes are passed as values and never raised. A refusal has a
:class:`Reason` and states whether the request may have run, which decides
whether the caller may safely repeat it.
"""

import enum
from typing import NamedTuple


class Reason(enum.Enum):
    """Why a request got no response.

    The value is part of the callers' interface and must not change.
    """

    BAD_REQUEST = "bad_request"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_KEY = "unknown_key"
    PROMPT_TOO_LONG = "prompt_too_long"
    KEY_REQUIRED = "idempotency_key_required"
    KEY_REUSED = "idempotency_key_reused"
    IN_PROGRESS = "in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    RESPONSE_NOT_KEPT = "answer_not_kept"
    NOT_CONFIGURED = "not_configured"
    DRAINING = "draining"
    OVERLOADED = "overloaded"
    QUOTA = "quota_exceeded"
    FIRST_TOKEN_TOO_LATE = "first_token_target_out_of_reach"
    NO_BACKEND = "no_backend_server"
    OWNER_UNREACHABLE = "owner_unreachable"
    STORE_UNAVAILABLE = "store_unavailable"
    BACKEND_REFUSED = "backend_refused"
    BACKEND_FAILED = "backend_failed"
    BACKEND_SILENT = "backend_silent"
    BACKEND_PAUSED = "backend_paused"
    PROMPT_BLOCKED = "prompt_blocked"
    REQUEST_BLOCKED = "request_blocked"
    STREAM_LOST = "stream_lost"
    REVOKED = "grant_revoked"
    CALLER_GONE = "caller_gone"
    INTERNAL_ERROR = "internal_error"


class Ran(enum.Enum):
    """Whether a refused request ran at a backend server."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Refused(NamedTuple):
    """The outcome of a request that got no response.

    ``ran`` is :attr:`Ran.NOT_RUN` only if it is certain that no byte of the
    request reached a backend server, or if the backend server itself reported
    that the request did not run. ``retry_after_s`` is in seconds; ``None``
    means that a retry will not help.

    >>> Refused(Reason.FIRST_TOKEN_TOO_LATE, Ran.NOT_RUN, 2.0).ran.value
    'not_run'
    """

    reason: Reason
    ran: Ran
    retry_after_s: float | None = None
    detail: str = ""


class Responded(NamedTuple):
    """The complete response of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


def not_run(
    reason: Reason, retry_after_s: float | None = None, detail: str = ""
) -> Refused:
    """Returns the refusal of a request that did not run."""
    return Refused(reason, Ran.NOT_RUN, retry_after_s, detail)


def may_have_run(reason: Reason, detail: str = "") -> Refused:
    """Returns the refusal of a request that may have run.

    It has no ``retry_after_s``, since a retry could run the request twice.
    """
    return Refused(reason, Ran.UNKNOWN, None, detail)
