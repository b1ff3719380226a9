"""Replicated documents, of which every daemon of a region holds a copy.

A daemon that publishes or receives a newer version pushes the difference to a
few random peers at once. Periodic offers repair what the pushes missed: each
daemon sends the versions that it has to a random peer, and whichever of the
two is behind gets the difference. A copy is only replaced by a higher version.
A budget of bytes bounds the pushes; the offers deliver what it held back.
"""

from collections.abc import Iterable
import functools
from typing import Any

from . import actions
from . import board as boards
from . import documents
from . import events
from . import membership
from . import messages

PUSH_FANOUT = 4  # peers that receive each push
OFFER_PERIOD_S = 0.7
OFFER_JITTER = 0.2  # share of the period
# Unconfirmed for this long, a document that belongs to one daemon is dropped.
COPY_RETENTION_S = 60.0
PUSH_BYTES_PER_S = 1500.0
PUSH_BURST_BYTES = 16384.0
MAX_PUSH_BYTES = 4096  # larger differences are left to the offers


class DocumentCopy:
    """This daemon's copy of one document.

    ``confirmed_at`` is the latest time (on the core's clock) at which the
    source is known to have agreed with the copy, ``None`` if it is unknown.
    ``pushed_version`` is the version that was last pushed.
    """

    def __init__(self, confirmed_at: float | None = None):
        self.document = documents.EMPTY
        self.confirmed_at = confirmed_at
        self.pushed_version = 0


class State:
    """The copies by the names of their documents.

    ``started_at`` is the time of the first tick, ``heard_from`` the peers
    that have sent an offer or an update since then. ``budget_bytes`` is what
    may be pushed at ``budget_updated_at``.
    """

    def __init__(self):
        self.copies: dict[str, DocumentCopy] = {}
        self.started_at: float | None = None
        self.heard_from: set[str] = set()
        self.next_offer = 0.0
        self.budget_bytes = PUSH_BURST_BYTES
        self.budget_updated_at = 0.0


def get_document(board: boards.Board, name: str) -> documents.Document:
    """Returns the document ``name``, an empty one if there is no copy."""
    copy = board.state(State).copies.get(name)
    return documents.EMPTY if copy is None else copy.document


def document_age_s(board: boards.Board, name: str, now: float) -> float:
    """Returns the time in seconds since the source agreed with a document.

    If that is unknown, it is the time since the start of this daemon.
    """
    state = board.state(State)
    copy = state.copies.get(name)
    if copy is None or copy.confirmed_at is None:
        return now - state.started_at if state.started_at else 0.0
    return now - copy.confirmed_at


def find_copies(board: boards.Board, prefix: str) -> dict[str, DocumentCopy]:
    """Returns the copies of documents whose names begin with ``prefix``."""
    copies = board.state(State).copies
    return {name: copies[name] for name in copies if name.startswith(prefix)}


def publish(
    board: boards.Board,
    name: str,
    document: documents.Document,
    now: float,
    confirmed_at: float | None = None,
) -> Iterable[actions.Action]:
    """Stores a document that was read from its source, and pushes it.

    A version that is not higher than the known one only updates the time at
    which the source agreed.
    """
    copy = _get_or_create(board.state(State), name, confirmed_at)
    if confirmed_at is not None:
        copy.confirmed_at = confirmed_at
    if document.version > copy.document.version:
        copy.document = document
        yield from _push(board, name, now)


def confirm(board: boards.Board, name: str, now: float) -> None:
    """Records that the source agrees with the copy at ``now``."""
    _confirm(_get_or_create(board.state(State), name, now), 0.0, now)


def send_version(
    board: boards.Board, name: str, peers: Iterable[str], now: float
) -> Iterable[actions.Action]:
    """Sends the version and age of one document to ``peers``."""
    copy = board.state(State).copies[name]
    head = messages.DocumentVersion(
        name, copy.document.version, _copy_age_s(copy, now)
    )
    offer = messages.DocumentOffer(
        **board.sender_fields,
        heads=[head],
        partial=True,
    )
    for peer in peers:
        yield actions.Send(peer, offer)


def _get_or_create(
    state: State, name: str, confirmed_at: float | None
) -> DocumentCopy:
    copy = state.copies.get(name)
    if copy is None:
        copy = state.copies[name] = DocumentCopy(confirmed_at)
    return copy


def _is_expired(name: str, age_s: float | None) -> bool:
    """Returns whether the copy of document ``name`` is to be dropped.

    A document named ``topic/source`` belongs to one daemon and expires after
    that daemon is gone. Other documents are shared and never expire.
    """
    return "/" in name and age_s is not None and age_s > COPY_RETENTION_S


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles the events of replication; ignores all others."""
    return ()


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    if state.started_at is None:
        state.started_at = now
    for name, copy in list(state.copies.items()):
        if _is_expired(name, _copy_age_s(copy, now)):
            del state.copies[name]
        elif copy.pushed_version < copy.document.version:
            yield from _push(board, name, now)
    if now < state.next_offer:
        return
    jitter = OFFER_JITTER * (2 * board.rng.random() - 1)
    state.next_offer = now + OFFER_PERIOD_S * (1 + jitter)
    for peer in _peers(board, 1) or list(board.seeds[:1]):
        yield _offer(board, peer, now)


def _peers(board: boards.Board, count: int, excluded: str = "") -> list[str]:
    """Returns up to ``count`` random reachable members."""
    others = [
        member.host
        for member in membership.reachable_members(board)
        if member.host not in (board.identity.host, excluded)
    ]
    return board.rng.sample(others, min(count, len(others)))


def _offer(
    board: boards.Board, peer: str, now: float, answer: bool = False
) -> actions.Send:
    heads = [
        messages.DocumentVersion(
            name, copy.document.version, _copy_age_s(copy, now)
        )
        for name, copy in board.state(State).copies.items()
    ]
    offer = messages.DocumentOffer(
        **board.sender_fields,
        heads=heads,
        answer=answer,
    )
    return actions.Send(peer, offer)


def _copy_age_s(copy: DocumentCopy, now: float) -> float | None:
    return (
        None
        if copy.confirmed_at is None
        else round(now - copy.confirmed_at, 2)
    )


@handle.register
def _offer_received(
    event: messages.DocumentOffer, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    state.heard_from.add(event.sender)
    theirs = {head.document_name: head for head in event.heads}
    behind = False
    for name, head in theirs.items():
        if _is_expired(name, head.age_s):
            continue
        known = state.copies.get(name)
        version = 0 if known is None else known.document.version
        behind = behind or head.version > version
        if known is not None and head.version == version:
            _confirm(known, head.age_s, now)
    for name, copy in state.copies.items():
        if event.partial and name not in theirs:
            continue
        version = theirs[name].version if name in theirs else 0
        if copy.document.version > version:
            yield _update(board, event.sender, name, version, now)
    if behind and not event.answer:
        yield _offer(board, event.sender, now, answer=True)


def _confirm(copy: DocumentCopy, age_s: float | None, now: float) -> None:
    if age_s is not None:
        copy.confirmed_at = max(copy.confirmed_at or 0.0, now - age_s)


def _update(
    board: boards.Board, peer: str, name: str, above: int, now: float
) -> actions.Send:
    copy = board.state(State).copies[name]
    update = messages.DocumentUpdate(
        **board.sender_fields,
        document_name=name,
        difference=documents.difference_since(copy.document, above),
        age_s=_copy_age_s(copy, now),
    )
    return actions.Send(peer, update)


@handle.register
def _update_received(
    event: messages.DocumentUpdate, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    state.heard_from.add(event.sender)
    if _is_expired(event.document_name, event.age_s):
        return
    confirmed_at = None if event.age_s is None else now - event.age_s
    copy = _get_or_create(state, event.document_name, confirmed_at)
    before = copy.document.version
    document = documents.apply_difference(copy.document, event.difference)
    if document is None:
        yield _offer(board, event.sender, now, answer=True)
        return
    if event.difference.version >= before:
        _confirm(copy, event.age_s, now)
    copy.document = document
    if document.version > before:
        copy.pushed_version = max(copy.pushed_version, before)
        yield actions.Count("feed_updates")
        yield from _push(board, event.document_name, now, event.sender)


def _push(
    board: boards.Board, name: str, now: float, sender: str = ""
) -> Iterable[actions.Action]:
    """Pushes the newest version to some peers, unless the budget is used up.

    A push that the budget holds back is repeated by the next tick. One that is
    larger than MAX_PUSH_BYTES is left to the offers.
    """
    state = board.state(State)
    filled = PUSH_BYTES_PER_S * (now - state.budget_updated_at)
    state.budget_bytes = min(PUSH_BURST_BYTES, state.budget_bytes + filled)
    state.budget_updated_at = now
    if state.budget_bytes <= 0:
        return
    copy = state.copies[name]
    above = copy.pushed_version
    copy.pushed_version = copy.document.version
    for peer in _peers(board, PUSH_FANOUT, sender):
        update = _update(board, peer, name, above, now)
        size = len(messages.encode(update.message))
        if size > MAX_PUSH_BYTES:
            return
        state.budget_bytes -= size
        yield update
