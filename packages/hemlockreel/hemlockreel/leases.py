"""The leases of an owner's grants.

Each run of an entry has one lease, which covers all its grants, so that the
cost of a heartbeat does not depend on the number of grants. For the same
reason no operation here but :meth:`Leases.count_by_replica` goes through all
grants. A revoked grant is remembered for :data:`REVOKED_RETENTION_S`, so that
neither a late heartbeat nor a late report restores it.
"""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from . import decisions

LEASE_S = 2.5  # a lease expires this long after the entry's last message
REVOKED_RETENTION_S = 60.0  # how long revoked and moved grants are remembered
DIGEST_FACTOR = 0x9E3779B97F4A7C15
DIGEST_MASK = 2**63 - 1

EntryRun = tuple[str, int]  # the peer address and the epoch of an entry


class LeasedGrant(NamedTuple):
    """A grant with its shard.

    ``moves`` is :attr:`messages.HeldGrant.moves`.
    """

    shard: str
    decision: decisions.Granted
    moves: int = 0

    @property
    def entry(self) -> EntryRun:
        """The run of the entry that holds the grant."""
        request = self.decision.request
        return request.sender, request.epoch


def digest(grant_ids: Iterable[int]) -> int:
    """Returns a 63-bit digest of a set of grants, whatever their order."""
    total = 0
    for grant_id in grant_ids:
        total ^= hash_grant(grant_id)
    return total


def hash_grant(grant_id: int) -> int:
    """Returns the hash of a grant id that is XORed into a digest."""
    return grant_id * DIGEST_FACTOR & DIGEST_MASK


class Lease:
    """The grants of one run of an entry, their digest and the expiry."""

    def __init__(self):
        self.grants: set[int] = set()
        self.digest = 0
        self.expires_at = 0.0


class Leases:
    """The grants of one owner.

    A grant is first held. If it is revoked, it is ending until the engines
    have confirmed that its memory is free. Then it is free and removed.
    """

    def __init__(self):
        self._held: dict[int, LeasedGrant] = {}
        self._ending: dict[int, LeasedGrant] = {}
        self._by_request: dict[str, set[int]] = {}
        self._by_entry: dict[EntryRun, Lease] = {}
        self._revoked: dict[int, float] = {}
        self._moved: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._held) + len(self._ending)

    def add(self, grant_id: int, held: LeasedGrant, now: float) -> None:
        """Adds a grant and renews the lease of its entry."""
        self._held[grant_id] = held
        request_id = held.decision.request.request_id
        self._by_request.setdefault(request_id, set()).add(grant_id)
        lease = self._by_entry.setdefault(held.entry, Lease())
        lease.grants.add(grant_id)
        lease.digest ^= hash_grant(grant_id)
        lease.expires_at = now + LEASE_S

    def get(self, grant_id: int) -> LeasedGrant | None:
        """Returns a held grant, or ``None`` if it is unknown or ending."""
        return self._held.get(grant_id)

    def raise_move_count(self, grant_id: int, moves: int) -> None:
        """Sets the move count of a held grant, unless it is higher already."""
        held = self._held[grant_id]
        if moves > held.moves:
            self._held[grant_id] = held._replace(moves=moves)

    def find(self, request_id: str, attempt: int) -> int | None:
        """Returns the id of the held grant of an attempt, or ``None``."""
        for grant_id in self._by_request.get(request_id, ()):
            held = self._held.get(grant_id)
            if held is not None and held.decision.request.attempt == attempt:
                return grant_id
        return None

    def holds_request(self, request_id: str) -> bool:
        """Returns whether any grant of the request is held (not ending)."""
        grant_ids = self._by_request.get(request_id, ())
        return any(grant_id in self._held for grant_id in grant_ids)

    def count_by_replica(self) -> collections.Counter[str]:
        """Returns the number of grants, ending ones too, by replica."""
        counts: collections.Counter[str] = collections.Counter()
        for held in [*self._held.values(), *self._ending.values()]:
            counts.update({held.decision.replica, held.decision.prefill})
        return counts

    def renew(self, entry: EntryRun, now: float) -> None:
        """Extends the lease of an entry from which a message has come."""
        lease = self._by_entry.get(entry)
        if lease is not None:
            lease.expires_at = max(lease.expires_at, now + LEASE_S)

    def summary(self, entry: EntryRun) -> tuple[int, int]:
        """Returns the number and the digest of an entry's held grants."""
        lease = self._by_entry.get(entry)
        return (0, 0) if lease is None else (len(lease.grants), lease.digest)

    def grant_ids_of(self, entry: EntryRun) -> list[int]:
        """Returns the sorted ids of an entry's held grants."""
        lease = self._by_entry.get(entry)
        return [] if lease is None else sorted(lease.grants)

    def entries(self) -> list[EntryRun]:
        """Returns the entries with a held grant."""
        return list(self._by_entry)

    def expired_entries(self, now: float) -> list[EntryRun]:
        """Returns the entries whose lease has expired."""
        return [
            entry
            for entry, lease in self._by_entry.items()
            if lease.expires_at < now
        ]

    def revoke(self, grant_id: int, now: float) -> LeasedGrant | None:
        """Revokes a held grant, which is ending from then on.

        Returns ``None`` if the grant is not held.
        """
        held = self._remove(grant_id)
        if held is not None:
            self._ending[grant_id] = held
            self._revoked[grant_id] = now + REVOKED_RETENTION_S
        return held

    def free(self, grant_id: int) -> LeasedGrant | None:
        """Removes a grant, held or ending, that has no memory in use."""
        held = self._ending.pop(grant_id, None) or self._remove(grant_id)
        if held is None:
            return None
        request_id = held.decision.request.request_id
        grant_ids = self._by_request[request_id]
        grant_ids.discard(grant_id)
        if not grant_ids:
            del self._by_request[request_id]
        return held

    def is_revoked(self, grant_id: int) -> bool:
        """Returns whether a grant was revoked a short while ago."""
        return grant_id in self._revoked

    def mark_moved(self, grant_id: int, now: float) -> None:
        """Remembers that a grant of this owner has moved to another one."""
        self._moved[grant_id] = now + REVOKED_RETENTION_S

    def is_moved(self, grant_id: int) -> bool:
        """Returns whether a grant moved to another owner a while ago."""
        return grant_id in self._moved

    def clear_revoked(self, grant_id: int) -> None:
        """Forgets that a grant was revoked, since its request still runs."""
        self._revoked.pop(grant_id, None)

    def forget_old_grants(self, now: float) -> None:
        """Forgets the grants that were revoked or moved long ago."""
        for ended in (self._revoked, self._moved):
            # The items are in the order of their expiry.
            while ended:
                grant_id, until = next(iter(ended.items()))
                if until > now:
                    break
                del ended[grant_id]

    def _remove(self, grant_id: int) -> LeasedGrant | None:
        """Removes a held grant from its entry's lease."""
        held = self._held.pop(grant_id, None)
        if held is None:
            return None
        lease = self._by_entry[held.entry]
        lease.grants.discard(grant_id)
        lease.digest ^= hash_grant(grant_id)
        if not lease.grants:
            del self._by_entry[held.entry]
        return held
