"""Places for requests, between entries and owners."""

import msgspec

from . import shared


class AdmissionRequest(shared.Message, tag="Ask"):
    """Asks the owner of ``shard`` for a place at its replicas.

    ``deadline_s`` is the time left until the first token must be there;
    ``klass`` is ``interactive`` or ``deferrable``. For a plain call
    the token counts are 0 and ``model`` is empty. ``exclude`` names replicas
    that failed this request before.
    """

    request_id: str
    attempt: int
    shard: str
    organisation: str
    model: str = ""
    priority_class: str = msgspec.field(default="interactive", name="klass")
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefixes: list[int] = []
    deadline_s: float = 0.0
    weight: float = 1.0
    exclude: list[str] = []
    traceparent: str = ""


class Grant(shared.Message):
    """A place at one or two replicas, held until its release.

    ``prefill`` is empty for a plain call. ``list_age_s`` is the age of the
    owner's view of the host list.
    """

    request_id: str
    attempt: int
    grant_id: int
    replica: str
    prefill: str = ""
    list_age_s: float = 0.0


class Refusal(shared.Message):
    """The owner has no place; ``reason`` is a ``Reason`` value."""

    request_id: str
    attempt: int
    reason: str
    retry_after_s: float


class Queued(shared.Message):
    """The owner has the ask and will answer it later.

    The entry repeats its ask while it waits, so that an owner that restarts
    learns of it, and an ask that is not repeated lapses.
    """

    request_id: str
    attempt: int


class Withdraw(shared.Message):
    """The entry no longer wants a place that it asked for."""

    request_id: str
    attempt: int


class Prefilled(shared.Message):
    """The prefill of a grant has ended, so its prefill place is free."""

    grant_id: int
    cached_tokens: int = 0


class FirstToken(shared.Message):
    """The first token of a grant has come."""

    grant_id: int


class Release(shared.Message):
    """The entry is done with a grant.

    ``clean`` says that the backend server itself ended the request, so that
    nothing has to be cancelled. ``failed`` says that the replica did not do
    its part.
    """

    grant_id: int
    request_id: str
    clean: bool
    failed: bool = False
    output_tokens: int = 0


class Heartbeat(shared.Message):
    """Keeps the grants of an entry at an owner.

    ``count`` and ``digest`` (xor of the grant ids' hashes) stand for the set
    of grants, so that the size does not grow with it.
    """

    count: int
    digest: int


class HeartbeatMismatch(shared.Message):
    """The owner's grants differ; asks for a :class:`GrantList`."""

    count: int


class GrantList(shared.Message):
    """All grants that an entry holds from the receiver."""

    grant_ids: list[int]


class Revoked(shared.Message):
    """Grants that the owner has taken back; they never come alive again."""

    grant_ids: list[int]


class HeldGrant(msgspec.Struct, frozen=True, array_like=True):
    """A grant as its entry knows it; the ask comes without its prefixes.

    ``moves`` counts the owners that held it before the present one.
    """

    request: AdmissionRequest = msgspec.field(name="ask")
    grant_id: int
    replica: str
    prefill: str = ""
    moves: int = 0


class GrantQuery(shared.Message):
    """Asks an entry which of these requests and grants it holds.

    The sender believes that it owns their shard.
    """

    seq: int
    request_ids: list[str] = []
    grant_ids: list[int] = []


class GrantReport(shared.Message):
    """Answers a :class:`GrantQuery`, or registers grants at a new owner.

    ``grants`` are held from the receiver from now on. ``elsewhere`` names
    requests that are held from another owner. ``seq`` is 0 without a query.
    """

    seq: int
    grants: list[HeldGrant] = []
    elsewhere: list[str] = []


class Moved(shared.Message):
    """Grants that another owner has taken over; nothing is cancelled.

    ``moves`` maps each grant to its :attr:`HeldGrant.moves` at the other
    owner. What was sent to a host that stood still may come long after the
    grant has moved back to it.
    """

    moves: dict[int, int]


class NotOwner(shared.Message, tag="AskElsewhere"):
    """The sender keeps an ask no longer, since it does not own the shard."""

    request_id: str
    attempt: int


class Abandoned(shared.Message):
    """A request that was under a revoked grant may still be at replicas."""

    request_id: str
    replicas: list[str]
