"""The merge of member updates, compared with a naive implementation."""

import functools
import random

import hypothesis
from hypothesis import strategies
import msgspec

from hemlockreel import board as boards
from hemlockreel import membership
from hemlockreel import messages
from hemlockreel import precedence

STATES = ["alive", "suspect", "dead", "left"]

UPDATES = strategies.lists(
    strategies.builds(
        messages.MemberUpdate,
        host=strategies.sampled_from(["10.0.0.1:9000", "10.0.0.2:9000"]),
        zone=strategies.just("orkanger"),
        region=strategies.just("midt-norge"),
        callers=strategies.just("c"),
        epoch=strategies.integers(1, 3),
        incarnation=strategies.integers(0, 3),
        state=strategies.sampled_from(STATES),
    ),
    max_size=12,
)


def newest_by_host(updates):
    """Returns the newest update about each host, rule by rule."""

    def newer(one, two):
        if one.epoch != two.epoch:
            return one if one.epoch > two.epoch else two
        if one.incarnation != two.incarnation:
            return one if one.incarnation > two.incarnation else two
        order = [STATES.index(one.state), STATES.index(two.state)]
        return one if order[0] >= order[1] else two

    by_host = {}
    for update in updates:
        by_host.setdefault(update.host, []).append(update)
    return {
        host: functools.reduce(newer, found) for host, found in by_host.items()
    }


def merge_all(updates):
    identity = boards.Identity("me", "c", "orkanger", "midt-norge", 1)
    board = boards.Board(identity, (), random.Random(1))
    list(membership.merge_updates(board, updates, 0.0))
    return membership.table(board).members


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(UPDATES, strategies.randoms(use_true_random=False))
def test_merge_agrees_with_the_naive_version_in_any_order(updates, rng):
    wanted = newest_by_host(updates)
    assert merge_all(updates) == wanted
    shuffled = updates * 2
    rng.shuffle(shuffled)
    assert merge_all(shuffled) == wanted


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(UPDATES)
def test_own_run_is_never_reported_gone(updates):
    identity = boards.Identity("me", "c", "orkanger", "midt-norge", 2)
    board = boards.Board(identity, (), random.Random(1))
    own_updates = [
        msgspec.structs.replace(update, host="me") for update in updates
    ]
    list(membership.merge_updates(board, own_updates, 0.0))
    own = membership.own_update(board)
    assert own.state == precedence.ALIVE
    for received in own_updates:
        if received.epoch <= own.epoch and received.state != precedence.ALIVE:
            assert precedence.supersedes(own, received)
