"""Outcomes of a request: what ran, what did not, and why.

Outcomes are values that travel through the system; nothing raises them. A
refusal names a :class:`Reason` and says whether the request may have run.
"""

import enum
from typing import NamedTuple


class Reason(enum.Enum):
    """Why a request got no answer, as told to the caller.

    The value is the stable string of the callers' interface.
    """

    BAD_REQUEST = "bad_request"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_ROUTE = "unknown_route"
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
    REVOKED = "grant_revoked"
    CALLER_GONE = "caller_gone"
    INTERNAL_ERROR = "internal_error"


class Ran(enum.Enum):
    """Whether a refused request took effect at a back end."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Refused(NamedTuple):
    """A request that got no answer.

    ``ran`` is :attr:`Ran.NOT_RUN` only where the code that built the value
    knows that no byte of the request reached a backend server, or the backend
    server itself said that it did not run. ``retry_after_s`` is in seconds;
    ``None`` means that asking again will not help.

    >>> Refused(Reason.LATE, Ran.NOT_RUN, 2.0).ran.value
    'not_run'
    """

    reason: Reason
    ran: Ran
    retry_after_s: float | None = None
    detail: str = ""


class Responded(NamedTuple):
    """The whole answer of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


def not_run(
    reason: Reason, retry_after_s: float | None = None, detail: str = ""
) -> Refused:
    """Builds the refusal of a request that reached no backend server."""
    return Refused(reason, Ran.NOT_RUN, retry_after_s, detail)


def may_have_run(reason: Reason, detail: str = "") -> Refused:
    """Builds the refusal of a request that may have run.

    It has no time to come back: a repeat could run a second time.
    """
    return Refused(reason, Ran.UNKNOWN, None, detail)
