"""Feeds: documents that all daemons of a region hold copies of.

A daemon that changes a document, or takes over a newer version, pushes the
difference to a few peers at once. What a push missed is mended by offers:
each daemon tells one random peer after another which versions it has, and
whoever is behind gets the difference. A version is only ever replaced by a
higher one. A budget of bytes bounds the pushes; the offers make up for what
was put off.
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

FANOUT = 4  # peers that a change is pushed to
OFFER_PERIOD_S = 0.7
OFFER_JITTER = 0.2  # share of the period
FORGET_S = 60.0  # age at which a feed with a reading time is forgotten
PUSH_BYTES_PER_S = 1500.0
PUSH_BURST_BYTES = 16384.0
MAX_PUSH_BYTES = 4096  # a larger difference is left to the offers


class Feed:
    """The copy of one document.

    ``read_at`` is when its source was last seen to agree with it (the core's
    time); ``None`` where the age does not matter. ``pushed`` is the version
    that was last passed on.
    """

    def __init__(self, read_at: float | None = None):
        self.document = documents.EMPTY
        self.read_at = read_at
        self.pushed = 0


class State:
    """The feeds by name.

    ``heard_at`` is the time of the last message of a peer, ``heard`` the
    peers that have told what they hold since the start.
    """

    def __init__(self):
        self.feeds: dict[str, Feed] = {}
        self.heard_at: float | None = None
        self.heard: set[str] = set()
        self.next_offer = 0.0
        self.budget = PUSH_BURST_BYTES
        self.filled_at = 0.0


def get(board: boards.Board, name: str) -> documents.Document:
    """Returns the document of a feed, empty if there is none."""
    feed = board.state(State).feeds.get(name)
    return documents.EMPTY if feed is None else feed.document


def find(board: boards.Board, prefix: str) -> dict[str, Feed]:
    """Returns the feeds whose names begin with ``prefix``."""
    feeds = board.state(State).feeds
    return {name: feeds[name] for name in feeds if name.startswith(prefix)}


def publish(
    board: boards.Board,
    name: str,
    document: documents.Document,
    now: float,
    read_at: float | None = None,
) -> Iterable[actions.Action]:
    """Takes over a document from its source and passes it on.

    A version that is not higher than the known one only renews the age.
    """
    feed = _open(board.state(State), name, read_at)
    if read_at is not None:
        feed.read_at = read_at
    if document.version > feed.document.version:
        feed.document = document
        yield from _push(board, name, now)


def _open(state: State, name: str, read_at: float | None) -> Feed:
    feed = state.feeds.get(name)
    if feed is None:
        feed = state.feeds[name] = Feed(read_at)
    return feed


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles events of feeds; all others yield nothing."""
    return ()


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    for name, feed in list(state.feeds.items()):
        if feed.read_at is not None and now - feed.read_at > FORGET_S:
            del state.feeds[name]
        elif feed.pushed < feed.document.version:
            yield from _push(board, name, now)
    if now < state.next_offer:
        return
    jitter = OFFER_JITTER * (2 * board.rng.random() - 1)
    state.next_offer = now + OFFER_PERIOD_S * (1 + jitter)
    for peer in _peers(board, 1) or list(board.seeds[:1]):
        yield _offer(board, peer, now)


def _peers(board: boards.Board, count: int, without: str = "") -> list[str]:
    """Returns up to ``count`` random peers."""
    others = [
        member.host
        for member in membership.reachable(board)
        if member.host not in (board.identity.host, without)
    ]
    return board.rng.sample(others, min(count, len(others)))


def _offer(
    board: boards.Board, peer: str, now: float, answer: bool = False
) -> actions.Send:
    heads = [
        messages.Head(name, feed.document.version, _age(feed, now))
        for name, feed in board.state(State).feeds.items()
    ]
    offer = messages.FeedOffer(
        sender=board.identity.host,
        epoch=board.identity.epoch,
        heads=heads,
        answer=answer,
    )
    return actions.Send(peer, offer)


def _age(feed: Feed, now: float) -> float | None:
    return None if feed.read_at is None else round(now - feed.read_at, 2)


@handle.register
def _offered(
    event: messages.FeedOffer, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    _hear(state, event.sender, now)
    theirs = {head.feed: head for head in event.heads}
    behind = False
    for name, head in theirs.items():
        if head.age_s is not None and head.age_s > FORGET_S:
            continue
        known = state.feeds.get(name)
        version = 0 if known is None else known.document.version
        behind = behind or head.version > version
        if known is not None and head.version == version:
            _renew(known, head.age_s, now)
    for name, feed in state.feeds.items():
        version = theirs[name].version if name in theirs else 0
        if feed.document.version > version:
            yield _update(board, event.sender, name, version, now)
    if behind and not event.answer:
        yield _offer(board, event.sender, now, answer=True)


def _hear(state: State, sender: str, now: float) -> None:
    state.heard_at = now
    state.heard.add(sender)


def _renew(feed: Feed, age_s: float | None, now: float) -> None:
    if age_s is not None and feed.read_at is not None:
        feed.read_at = max(feed.read_at, now - age_s)


def _update(
    board: boards.Board, peer: str, name: str, above: int, now: float
) -> actions.Send:
    feed = board.state(State).feeds[name]
    update = messages.FeedUpdate(
        sender=board.identity.host,
        epoch=board.identity.epoch,
        feed=name,
        difference=documents.compare(feed.document, above),
        age_s=_age(feed, now),
    )
    return actions.Send(peer, update)


@handle.register
def _updated(
    event: messages.FeedUpdate, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    _hear(state, event.sender, now)
    if event.age_s is not None and event.age_s > FORGET_S:
        return
    read_at = None if event.age_s is None else now - event.age_s
    feed = _open(state, event.feed, read_at)
    before = feed.document.version
    document = documents.apply(feed.document, event.difference)
    if document is None:
        yield _offer(board, event.sender, now, answer=True)
        return
    if event.difference.version >= before:
        _renew(feed, event.age_s, now)
    feed.document = document
    if document.version > before:
        feed.pushed = max(feed.pushed, before)
        yield actions.Count("feed_updates")
        yield from _push(board, event.feed, now, event.sender)


def _push(
    board: boards.Board, name: str, now: float, sender: str = ""
) -> Iterable[actions.Action]:
    """Passes the newest version on, unless the budget is used up."""
    state = board.state(State)
    filled = PUSH_BYTES_PER_S * (now - state.filled_at)
    state.budget = min(PUSH_BURST_BYTES, state.budget + filled)
    state.filled_at = now
    if state.budget <= 0:
        return
    feed = state.feeds[name]
    above = feed.pushed
    feed.pushed = feed.document.version
    for peer in _peers(board, FANOUT, sender):
        update = _update(board, peer, name, above, now)
        size = len(messages.encode(update.message))
        if size > MAX_PUSH_BYTES:
            return
        state.budget -= size
        yield update
