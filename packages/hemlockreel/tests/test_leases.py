"""Leases against a simple reference that goes through all grants."""

import hypothesis
from hypothesis import strategies

from hemlockreel import decisions
from hemlockreel import leases
from hemlockreel import messages

ENTRIES = [("10.0.0.1:9000", 1), ("10.0.0.1:9000", 2), ("10.0.0.2:9000", 1)]


class ReferenceLeases:
    """Keeps a lease and a state for each grant."""

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

    def expired_entries(self, now):
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
            request = held.decision.request
            if state == "held" and (request.request_id, request.attempt) == (
                request_id,
                attempt,
            ):
                return grant_id
        return None


def held_by(entry, request_id, attempt, grant_id):
    request = messages.AdmissionRequest(
        sender=entry[0],
        epoch=entry[1],
        request_id=request_id,
        attempt=attempt,
        shard="s",
        organisation="acme",
    )
    granted = decisions.Granted(request, grant_id, "d:1", "p:1")
    return leases.LeasedGrant("s", granted)


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
def test_leases_agree_with_the_reference(steps):
    made = leases.Leases()
    reference = ReferenceLeases()
    now = 0.0
    for step, number, entry in steps:
        if step == "add" and number not in reference.grants:
            held = held_by(entry, f"r{number % 4}", number, number)
            made.add(number, held, now)
            reference.add(number, held, now)
        elif step == "renew":
            made.renew(entry, now)
            reference.renew(entry, now)
        elif step == "revoke":
            made.revoke(number, now)
            reference.move(number, ["held"], "ending")
        elif step == "free":
            made.free(number)
            reference.move(number, ["held", "ending"], "free")
        elif step == "wait":
            now += number / 4
        assert set(made.expired_entries(now)) == reference.expired_entries(now)
        for one in ENTRIES:
            grants = reference.of(one)
            assert made.grant_ids_of(one) == grants
            assert made.summary(one) == (len(grants), leases.digest(grants))
        for other in range(12):
            expected = reference.find(f"r{other % 4}", other)
            assert made.find(f"r{other % 4}", other) == expected
        states = [row[1] for row in reference.grants.values()]
        assert len(made) == sum(state != "free" for state in states)


def test_summary_of_an_entry_without_grants_is_zero():
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
    made.forget_old_grants(1.0 + leases.REVOKED_RETENTION_S - 0.1)
    assert made.is_revoked(1)
    made.forget_old_grants(1.0 + leases.REVOKED_RETENTION_S)
    assert not made.is_revoked(1)
