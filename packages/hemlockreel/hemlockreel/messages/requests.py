"""Messages between entries and shard owners about requests and their grants.

An entry asks the owner of a shard to admit a request. The owner responds with
a grant, a refusal or a notice that the request is queued. The entry then
reports the progress of the grant, renews it with heartbeats and releases it.
"""

import msgspec

from . import shared


class AdmissionRequest(shared.Message, tag="Ask"):
    """Asks the owner of ``shard`` for a grant at the shard's replicas.

    ``request_id`` and ``attempt`` together identify one attempt to run a
    request. ``deadline_s`` is the time in seconds that is left until the
    first token is due. ``priority_class`` is ``interactive`` or
    ``deferrable``. ``prefixes`` are the hashes of the prompt's prefixes, and
    ``weight`` is the organisation's share under its quota. ``exclude`` lists
    the addresses of replicas that have already failed this request. For a
    plain call the token counts are 0 and ``model`` is empty.
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
    """Admits a request to one or two replicas until the grant is released.

    ``replica`` is the address of the replica that decodes, or that serves a
    plain call. ``prefill`` is the address of the prefill replica and is empty
    for a plain call. ``list_age_s`` is the age of the owner's host list in
    seconds.
    """

    request_id: str
    attempt: int
    grant_id: int
    replica: str
    prefill: str = ""
    list_age_s: float = 0.0


class Refusal(shared.Message):
    """Refuses an admission request.

    ``reason`` is the value of an :class:`outcomes.Reason`.
    """

    request_id: str
    attempt: int
    reason: str
    retry_after_s: float


class Queued(shared.Message):
    """Confirms that the owner has queued an admission request.

    The entry resends the request while it waits, so that an owner that has
    restarted receives it again. The owner drops a queued request that is no
    longer resent.
    """

    request_id: str
    attempt: int


class Withdraw(shared.Message):
    """Cancels an admission request; a grant already made for it is revoked."""

    request_id: str
    attempt: int


class Prefilled(shared.Message):
    """Reports that the prefill of a grant has finished.

    The prefill replica has room for another request from now on.
    ``cached_tokens`` counts the prompt tokens found in the prefix cache.
    """

    grant_id: int
    cached_tokens: int = 0


class FirstToken(shared.Message):
    """Reports that the entry has received the first token of a grant."""

    grant_id: int


class Release(shared.Message):
    """Ends a grant.

    ``clean`` is true if the request no longer runs at any backend server, so
    that nothing has to be cancelled. ``failed`` is true if a replica failed
    the request.
    """

    grant_id: int
    request_id: str
    clean: bool
    failed: bool = False
    output_tokens: int = 0


class Heartbeat(shared.Message):
    """Renews all grants that an entry holds from an owner.

    The set of grants is summarised by its size, ``count``, and ``digest``,
    the XOR of the hashes of its grant ids. The size of the message is
    therefore independent of the number of grants.
    """

    count: int
    digest: int


class HeartbeatMismatch(shared.Message):
    """Reports that the owner's set of grants differs from a heartbeat's.

    The entry responds with a :class:`GrantList`. ``count`` is the number of
    grants that the owner has for this entry.
    """

    count: int


class GrantList(shared.Message):
    """Lists all grants that the sending entry holds from the receiver."""

    grant_ids: list[int]


class Revoked(shared.Message):
    """Reports grants that the owner has revoked for good."""

    grant_ids: list[int]


class HeldGrant(msgspec.Struct, frozen=True, array_like=True):
    """A grant as its entry reports it.

    ``request`` is the admission request without its prefixes. ``moves``
    counts how often the grant has moved from one owner to another.
    """

    request: AdmissionRequest = msgspec.field(name="ask")
    grant_id: int
    replica: str
    prefill: str = ""
    moves: int = 0


class GrantQuery(shared.Message):
    """Asks an entry which of these requests and grants it holds.

    Sent by a daemon that takes itself for the owner of their shard.
    """

    seq: int
    request_ids: list[str] = []
    grant_ids: list[int] = []


class GrantReport(shared.Message):
    """Responds to a :class:`GrantQuery` or registers grants at a new owner.

    The receiver is the owner of ``grants`` from now on. ``elsewhere`` lists
    the ids of requests whose grants belong to another owner. ``seq`` is that
    of the query, or 0 if there was none.
    """

    seq: int
    grants: list[HeldGrant] = []
    elsewhere: list[str] = []


class Moved(shared.Message):
    """Reports grants that have moved to another owner and keep running.

    ``moves`` maps each grant id to its :attr:`HeldGrant.moves` at the other
    owner. The receiver compares it with the count that it has, because a
    message to a paused host may arrive long after the grant has moved back
    to that host.
    """

    moves: dict[int, int]


class NotOwner(shared.Message, tag="AskElsewhere"):
    """Returns a queued admission request: the sender no longer owns the shard.

    The entry sends the request to the present owner.
    """

    request_id: str
    attempt: int


class Abandoned(shared.Message):
    """Reports a request that may still run after its grant was revoked.

    The owner cancels it at ``replicas``.
    """

    request_id: str
    replicas: list[str]
