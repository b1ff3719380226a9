"""Who holds which grants, and until when.

The lease belongs to the run of an entry and covers all its grants, so that a
heartbeat costs the same however many grants there are. Nothing here scans all
grants. A grant that was taken back is remembered for a while, and neither a
late heartbeat nor a claim brings it back.
"""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from . import decisions

LEASE_S = 2.5  # a lease lapses this long after the last sign of its entry
REVOKED_S = 60.0  # how long a grant that was taken back is remembered
DIGEST_FACTOR = 0x9E3779B97F4A7C15
DIGEST_MASK = 2**63 - 1

Key = tuple[str, int]  # the peer address and the epoch of an entry


class Held(NamedTuple):
    """A grant and the shard whose owner answers for it.

    ``moves`` is that of :class:`messages.HeldGrant`.
    """

    shard: str
    decision: decisions.Granted
    moves: int = 0

    @property
    def entry(self) -> Key:
        """The run of the entry that holds the grant."""
        ask = self.decision.request
        return ask.sender, ask.epoch


def digest(grant_ids: Iterable[int]) -> int:
    """Returns a number of 63 bits that stands for a set of grants."""
    total = 0
    for grant_id in grant_ids:
        total ^= mix(grant_id)
    return total


def mix(grant_id: int) -> int:
    """Returns the part of one grant in a digest."""
    return grant_id * DIGEST_FACTOR & DIGEST_MASK


class Lease:
    """What one run of an entry holds."""

    def __init__(self):
        self.grants: set[int] = set()
        self.digest = 0
        self.until = 0.0


class Leases:
    """The grants of one owner.

    A grant is held, then perhaps ending (taken back, while an engine has yet
    to confirm that its memory is free), then free.
    """

    def __init__(self):
        self._held: dict[int, Held] = {}
        self._ending: dict[int, Held] = {}
        self._by_request: dict[str, set[int]] = {}
        self._by_entry: dict[Key, Lease] = {}
        self._revoked: dict[int, float] = {}
        self._moved: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._held) + len(self._ending)

    def add(self, grant_id: int, held: Held, now: float) -> None:
        """Adds a grant; its entry gave a sign of life just now."""
        self._held[grant_id] = held
        request_id = held.decision.request.request_id
        self._by_request.setdefault(request_id, set()).add(grant_id)
        lease = self._by_entry.setdefault(held.entry, Lease())
        lease.grants.add(grant_id)
        lease.digest ^= mix(grant_id)
        lease.until = now + LEASE_S

    def get(self, grant_id: int) -> Held | None:
        """Returns a grant that is held, not one that is ending."""
        return self._held.get(grant_id)

    def note_moves(self, grant_id: int, moves: int) -> None:
        """Notes how often a held grant has moved until it came here."""
        held = self._held[grant_id]
        if moves > held.moves:
            self._held[grant_id] = held._replace(moves=moves)

    def find(self, request_id: str, attempt: int) -> int | None:
        """Returns the id of the grant that is held for an attempt."""
        for grant_id in self._by_request.get(request_id, ()):
            held = self._held.get(grant_id)
            if held is not None and held.decision.request.attempt == attempt:
                return grant_id
        return None

    def holds(self, request_id: str) -> bool:
        """Returns whether a grant of the request is held, not ending."""
        grant_ids = self._by_request.get(request_id, ())
        return any(grant_id in self._held for grant_id in grant_ids)

    def count_at(self) -> collections.Counter[str]:
        """Returns how many grants stand at each replica, ending ones too."""
        counts: collections.Counter[str] = collections.Counter()
        for held in [*self._held.values(), *self._ending.values()]:
            counts.update({held.decision.replica, held.decision.prefill})
        return counts

    def renew(self, entry: Key, now: float) -> None:
        """Extends the lease of an entry after a sign of life."""
        lease = self._by_entry.get(entry)
        if lease is not None:
            lease.until = max(lease.until, now + LEASE_S)

    def summary(self, entry: Key) -> tuple[int, int]:
        """Returns the number and the digest of what an entry holds."""
        lease = self._by_entry.get(entry)
        return (0, 0) if lease is None else (len(lease.grants), lease.digest)

    def grants_of(self, entry: Key) -> list[int]:
        """Returns what an entry holds."""
        lease = self._by_entry.get(entry)
        return [] if lease is None else sorted(lease.grants)

    def entries(self) -> list[Key]:
        """Returns the entries that hold something."""
        return list(self._by_entry)

    def lapsed(self, now: float) -> list[Key]:
        """Returns the entries whose lease is over."""
        return [
            entry
            for entry, lease in self._by_entry.items()
            if lease.until < now
        ]

    def revoke(self, grant_id: int, now: float) -> Held | None:
        """Takes a grant back for good; it is ending until it is freed."""
        held = self._take(grant_id)
        if held is not None:
            self._ending[grant_id] = held
            self._revoked[grant_id] = now + REVOKED_S
        return held

    def free(self, grant_id: int) -> Held | None:
        """Forgets a grant that holds nothing any more."""
        held = self._ending.pop(grant_id, None) or self._take(grant_id)
        if held is None:
            return None
        request_id = held.decision.request.request_id
        same = self._by_request[request_id]
        same.discard(grant_id)
        if not same:
            del self._by_request[request_id]
        return held

    def is_revoked(self, grant_id: int) -> bool:
        """Returns whether a grant was taken back a short while ago."""
        return grant_id in self._revoked

    def note_moved(self, grant_id: int, now: float) -> None:
        """Notes that another owner holds a grant of this one."""
        self._moved[grant_id] = now + REVOKED_S

    def is_moved(self, grant_id: int) -> bool:
        """Returns whether a grant went to another owner a while ago."""
        return grant_id in self._moved

    def pardon(self, grant_id: int) -> None:
        """Forgets that a grant was taken back, since its request runs on."""
        self._revoked.pop(grant_id, None)

    def expire(self, now: float) -> None:
        """Forgets grants that were taken back, or moved, long ago."""
        for remembered in (self._revoked, self._moved):
            # They stand in the order of their times.
            while remembered:
                grant_id, until = next(iter(remembered.items()))
                if until > now:
                    break
                del remembered[grant_id]

    def _take(self, grant_id: int) -> Held | None:
        """Takes a grant from its entry."""
        held = self._held.pop(grant_id, None)
        if held is None:
            return None
        lease = self._by_entry[held.entry]
        lease.grants.discard(grant_id)
        lease.digest ^= mix(grant_id)
        if not lease.grants:
            del self._by_entry[held.entry]
        return held
