"""Leases against a naive version that scans everything."""

import hypothesis
from hypothesis import strategies

from hemlockreel import decisions
from hemlockreel import leases
from hemlockreel import messages

ENTRIES = [("10.0.0.1:9000", 1), ("10.0.0.1:9000", 2), ("10.0.0.2:9000", 1)]


class Naive:
    """Each grant with its own lease and its own state."""

    def __init__(self):
        self.grants = {}

    def add(self, grant_id, held, now):
        self.grants[grant_id] = [held, "held"]
        self.renew(held.entry, now)

    def renew(self, entry, now):
        for row in self.of(entry):
            self.grants[row][2:] = [now + leases.LEASE_S]

    def of(self, entry):
        return sorted(
            grant_id
            for grant_id, row in self.grants.items()
            if row[0].entry == entry and row[1] == "held"
        )

    def lapsed(self, now):
        return {
            row[0].entry
            for row in self.grants.values()
            if row[1] == "held" and row[2] < now
        }

    def move(self, grant_id, before, after):
        if grant_id in self.grants and self.grants[grant_id][1] in before:
            self.grants[grant_id][1] = after

    def find(self, request_id, attempt):
        for grant_id, (held, state, *_) in self.grants.items():
            ask = held.decision.request
            if state == "held" and (ask.request_id, ask.attempt) == (
                request_id,
                attempt,
            ):
                return grant_id
        return None


def held_by(entry, request_id, attempt, grant_id):
    ask = messages.Ask(
        sender=entry[0],
        epoch=entry[1],
        request_id=request_id,
        attempt=attempt,
        shard="s",
        organisation="acme",
    )
    granted = decisions.Granted(ask, grant_id, "d:1", "p:1")
    return leases.Held("s", granted)


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["add", "renew", "revoke", "free", "wait"]),
        strategies.integers(0, 11),
        strategies.sampled_from(ENTRIES),
    ),
    max_size=60,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(STEPS)
def test_leases_agree_with_the_naive_version(steps):
    made = leases.Leases()
    naive = Naive()
    now = 0.0
    for step, number, entry in steps:
        if step == "add" and number not in naive.grants:
            held = held_by(entry, f"r{number % 4}", number, number)
            made.add(number, held, now)
            naive.add(number, held, now)
        elif step == "renew":
            made.renew(entry, now)
            naive.renew(entry, now)
        elif step == "revoke":
            made.revoke(number, now)
            naive.move(number, ["held"], "ending")
        elif step == "free":
            made.free(number)
            naive.move(number, ["held", "ending"], "free")
        elif step == "wait":
            now += number / 4
        assert set(made.lapsed(now)) == naive.lapsed(now)
        for one in ENTRIES:
            grants = naive.of(one)
            assert made.grants_of(one) == grants
            assert made.summary(one) == (len(grants), leases.digest(grants))
        for other in range(12):
            wanted = naive.find(f"r{other % 4}", other)
            assert made.find(f"r{other % 4}", other) == wanted
        states = [row[1] for row in naive.grants.values()]
        assert len(made) == sum(state != "free" for state in states)


def test_digest_of_an_emptied_lease_is_that_of_none():
    made = leases.Leases()
    entry = ENTRIES[0]
    for number in range(5):
        made.add(number, held_by(entry, "r", number, number), 0.0)
    for number in range(5):
        made.free(number)
    assert made.summary(entry) == (0, 0)
    assert made.entries() == []


def test_revoked_grant_is_remembered_for_a_while():
    made = leases.Leases()
    made.add(1, held_by(ENTRIES[0], "r", 1, 1), 0.0)
    made.revoke(1, 1.0)
    made.free(1)
    made.expire(1.0 + leases.REVOKED_S - 0.1)
    assert made.is_revoked(1)
    made.expire(1.0 + leases.REVOKED_S)
    assert not made.is_revoked(1)
