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
FORGET_S = 60.0  # age at which a feed of one source is forgotten
PUSH_BYTES_PER_S = 1500.0
PUSH_BURST_BYTES = 16384.0
MAX_PUSH_BYTES = 4096  # a larger difference is left to the offers


class Feed:
    """The copy of one document.

    ``read_at`` is when its source was last seen to agree with it (the core's
    time), ``None`` if nobody has told. ``pushed`` is the version that was
    last passed on.
    """

    def __init__(self, read_at: float | None = None):
        self.document = documents.EMPTY
        self.read_at = read_at
        self.pushed = 0


class State:
    """The feeds by name.

    ``started_at`` is the time of the first tick, ``heard`` the peers that
    have told what they hold since then.
    """

    def __init__(self):
        self.feeds: dict[str, Feed] = {}
        self.started_at: float | None = None
        self.heard: set[str] = set()
        self.next_offer = 0.0
        self.budget = PUSH_BURST_BYTES
        self.filled_at = 0.0


def get(board: boards.Board, name: str) -> documents.Document:
    """Returns the document of a feed, empty if there is none."""
    feed = board.state(State).feeds.get(name)
    return documents.EMPTY if feed is None else feed.document


def age(board: boards.Board, name: str, now: float) -> float:
    """Returns the time in seconds since the source agreed with a feed.

    When nobody has told, it counts from the start of this daemon.
    """
    state = board.state(State)
    feed = state.feeds.get(name)
    if feed is None or feed.read_at is None:
        return now - state.started_at if state.started_at else 0.0
    return now - feed.read_at


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


def renew(board: boards.Board, name: str, now: float) -> None:
    """Notes that the source agrees with what is known."""
    _renew(_open(board.state(State), name, now), 0.0, now)


def tell(
    board: boards.Board, name: str, peers: Iterable[str], now: float
) -> Iterable[actions.Action]:
    """Tells ``peers`` the version and age of one feed."""
    feed = board.state(State).feeds[name]
    head = messages.Head(name, feed.document.version, _age(feed, now))
    offer = messages.FeedOffer(
        **board.signature,
        heads=[head],
        partial=True,
    )
    for peer in peers:
        yield actions.Send(peer, offer)


def _open(state: State, name: str, read_at: float | None) -> Feed:
    feed = state.feeds.get(name)
    if feed is None:
        feed = state.feeds[name] = Feed(read_at)
    return feed


def _is_old(name: str, age_s: float | None) -> bool:
    """Returns whether a feed is to be forgotten.

    Those of one source, named ``topic/source``, end with it; one that all
    daemons share lasts.
    """
    return "/" in name and age_s is not None and age_s > FORGET_S


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
    if state.started_at is None:
        state.started_at = now
    for name, feed in list(state.feeds.items()):
        if _is_old(name, _age(feed, now)):
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
        **board.signature,
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
    state.heard.add(event.sender)
    theirs = {head.feed: head for head in event.heads}
    behind = False
    for name, head in theirs.items():
        if _is_old(name, head.age_s):
            continue
        known = state.feeds.get(name)
        version = 0 if known is None else known.document.version
        behind = behind or head.version > version
        if known is not None and head.version == version:
            _renew(known, head.age_s, now)
    for name, feed in state.feeds.items():
        if event.partial and name not in theirs:
            continue
        version = theirs[name].version if name in theirs else 0
        if feed.document.version > version:
            yield _update(board, event.sender, name, version, now)
    if behind and not event.answer:
        yield _offer(board, event.sender, now, answer=True)


def _renew(feed: Feed, age_s: float | None, now: float) -> None:
    if age_s is not None:
        feed.read_at = max(feed.read_at or 0.0, now - age_s)


def _update(
    board: boards.Board, peer: str, name: str, above: int, now: float
) -> actions.Send:
    feed = board.state(State).feeds[name]
    update = messages.FeedUpdate(
        **board.signature,
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
    state.heard.add(event.sender)
    if _is_old(event.feed, event.age_s):
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
