"""Runs one shard's ledger against engine models in virtual time.

It plays the entry, the network between entry, owner and engines, and the
callers. It is no simulator of a fleet: there is one owner and one shard.
"""

from collections.abc import Callable
from collections.abc import Iterable
import heapq
import itertools
import math
from typing import Any

from hemlockreel import decisions
from hemlockreel import replicas

from . import engine_model
from . import jobs
from . import tally as tallies
from . import workload

HOP_S = 0.0015  # one way between entry and owner
CALL_S = 0.001  # one way between entry and engine
TICK_S = 0.1
LOAD_PERIOD_S = 0.5
CACHE_PERIOD_S = 1.0
MEMORY_RETRY_S = 0.05
PATIENCE_S = 10.0  # a caller that sees no token for this long has gone
MAX_ATTEMPTS = 2


class Bench:
    """One run of a policy under a load."""

    def __init__(
        self,
        profile: workload.Profile,
        policy: Any,
        tally: tallies.Tally,
    ):
        self.profile = profile
        self.policy = policy
        self.tally = tally
        self.now = 0.0
        self.engines: dict[str, engine_model.Engine] = {}
        self.dead: set[str] = set()
        self._members: dict[str, replicas.Replica] = {}
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._numbers = itertools.count()
        self._grants = itertools.count(1)
        self._wakes: dict[str, float] = {}
        self._jobs: dict[str, jobs.Job] = {}
        roles = [replicas.Role.PREFILL] * profile.prefills
        roles += [replicas.Role.DECODE] * profile.decodes
        for index, role in enumerate(roles):
            self._add_engine(f"10.0.0.{index + 1}:80", role)
        self.policy.set_replicas(self._members.values())

    def at(self, when: float, what: Callable, *args: Any) -> None:
        """Calls ``what`` at a time."""
        heapq.heappush(self._events, (when, next(self._numbers), what, args))

    def run(self, calls: Iterable[workload.Call], end: float) -> None:
        """Plays ``calls`` until ``end``."""
        for call in calls:
            self.at(call.at, self._arrive, call, 0)
        self._tick()
        self._report()
        self._read_caches({})
        while self._events and self._events[0][0] <= end:
            self.now, _, what, args = heapq.heappop(self._events)
            what(*args)

    # Faults

    def kill(self, address: str) -> None:
        """Ends an engine; its requests fail, the list drops it 2 s later."""
        self.dead.add(address)
        role = self._members[address].role
        for job in list(self._jobs.values()):
            if job.grant is None:
                continue
            lost = job.grant.replica == address
            if role is replicas.Role.PREFILL:
                lost = job.grant.prefill == address and job.first_at is None
            if lost:
                self._fail(job, "failed", failed=True)
        self.at(self.now + 2.0, self._unlist, address)

    def revive(self, address: str) -> None:
        """Starts a fresh engine at the address of a dead one."""
        self.dead.discard(address)
        self._add_engine(address, self._role_of(address))
        self.policy.set_replicas(self._members.values())

    def slow(self, address: str, factor: float) -> None:
        """Makes an engine slower, or well again."""
        self.engines[address].slow_factor = factor

    def set_role(self, address: str, role: replicas.Role) -> None:
        """Gives an idle engine another role."""
        self._add_engine(address, role)
        self.policy.set_replicas(self._members.values())
        self.policy.set_load(
            address, self.engines[address].load(self.now), self.now
        )

    def limit_links(self, share: float) -> None:
        """Gives the links of all engines a share of their rate."""
        rate = self.profile.engine.link_bytes_per_s * share
        for engine in self.engines.values():
            engine.settings = engine.settings._replace(link_bytes_per_s=rate)

    def idle(self, address: str) -> bool:
        """Returns whether no request holds anything at an engine."""
        return not self.engines[address].requests()

    def _role_of(self, address: str) -> replicas.Role:
        return replicas.Role(self.engines[address].role)

    def _add_engine(self, address: str, role: replicas.Role) -> None:
        self.engines[address] = engine_model.Engine(
            role.value, self.profile.engine
        )
        self._members[address] = replicas.Replica(
            address, "lesar", "trondheim-a", "midt-norge", role
        )

    def _unlist(self, address: str) -> None:
        if address in self.dead:
            del self._members[address]
            self.policy.set_replicas(self._members.values())

    # Time

    def _tick(self) -> None:
        self._obey(self.policy.decide(self.now))
        self.at(self.now + TICK_S, self._tick)

    def _report(self) -> None:
        for address, engine in self.engines.items():
            if address not in self.dead:
                self.policy.set_load(address, engine.load(self.now), self.now)
        self.at(self.now + LOAD_PERIOD_S, self._report)

    def _read_caches(self, seqs: dict[str, int]) -> None:
        """Hands the engines' cache events to the owner."""
        for address, engine in self.engines.items():
            if engine.role == "prefill" and address not in self.dead:
                found = engine.cache.events(seqs.get(address, 0), self.now)
                seqs[address] = found["seq"]
                self.policy.set_cache_events(address, found["events"])
        self.at(self.now + CACHE_PERIOD_S, self._read_caches, seqs)

    def _watch(self, address: str) -> None:
        """Sees to it that the engine is advanced when something happens."""
        due = self.engines[address].next_at()
        if due < self._wakes.get(address, math.inf):
            self._wakes[address] = due
            self.at(due, self._wake, address, due)

    def _wake(self, address: str, due: float) -> None:
        if self._wakes.get(address) == due:
            del self._wakes[address]
        if address in self.dead:
            return
        for done in self.engines[address].advance(self.now):
            self._heard(address, done)
        self._watch(address)

    def _heard(self, address: str, done: engine_model.EngineEvent) -> None:
        job = self._jobs.get(done.request_id)
        if job is None or job.grant is None:
            return
        if done.kind == "prefill" and job.grant.prefill == address:
            self.at(self.now + CALL_S, self._prefilled, job, done.detail)
        elif done.kind == "first" and job.grant.replica == address:
            self.at(self.now + CALL_S, self._first, job)
        elif done.kind == "last" and job.grant.replica == address:
            self.at(self.now + CALL_S, self._last, job)

    # A call on its way

    def _arrive(self, call: workload.Call, tries: int) -> None:
        job = jobs.Job(call, self.now, tries)
        self._jobs[job.name] = job
        self.tally.asked(call, tries)
        self.at(self.now + HOP_S, self._submit, job)
        if call.cancel_after_s < math.inf:
            self.at(self.now + call.cancel_after_s, self._leave, job)
        if call.klass != "deferrable":
            patience_s = max(
                PATIENCE_S, 2 * self.profile.pool.first_token_ms / 1000
            )
            self.at(self.now + patience_s, self._lose_patience, job)

    def _submit(self, job: jobs.Job) -> None:
        if job.over:
            return
        ask = jobs.make_ask(job, self.profile.pool, self.now)
        grant_id = next(self._grants)
        self._obey(self.policy.submit(ask, grant_id, self.now))

    def _obey(self, decided: Iterable[decisions.Decision]) -> None:
        for decision in decided:
            job = self._jobs.get(decision.request.request_id)
            if job is None or decision.request.attempt != job.attempt:
                if isinstance(decision, decisions.Granted):
                    self.policy.release(decision.grant_id, self.now)
                continue
            if isinstance(decision, decisions.Granted):
                job.grant = decision
                delay_s = HOP_S + CALL_S
                self.at(self.now + delay_s, self._prefill, job, decision)
            else:
                self._refused(job, decision)

    def _refused(self, job: jobs.Job, denied: decisions.Denied) -> None:
        self._close(job)
        call = job.call
        returns = call.follows and denied.retry_after_s > 0
        self.tally.refused(call, job.tries, denied.reason.value, returns)
        if returns:
            self.at(
                self.now + denied.retry_after_s,
                self._arrive,
                call,
                job.tries + 1,
            )

    def _prefill(self, job: jobs.Job, grant: decisions.Granted) -> None:
        if job.over or job.grant is not grant:
            return
        if grant.prefill in self.dead:
            self._fail(job, "failed", failed=True)
            return
        call = job.call
        job.prefill_tokens = call.prompt_tokens
        job.handle = self.engines[grant.prefill].prefill(
            job.name,
            job.attempt,
            call.prompt_tokens,
            call.prefixes,
            0 if call.klass == "deferrable" else 1,
            self.now,
        )
        self._watch(grant.prefill)

    def _prefilled(self, job: jobs.Job, done: engine_model.Prefill) -> None:
        if job.over or job.grant is None or done.handle != job.handle:
            return
        grant_id = job.grant.grant_id
        self.at(
            self.now + HOP_S,
            self._tell,
            self.policy.prefill_finished,
            grant_id,
            done.cached_tokens,
        )
        self._decode(job, job.grant)

    def _tell(self, what: Callable, grant_id: int, *args: Any) -> None:
        """Lets the owner hear of a grant, and decide anew."""
        what(grant_id, self.now, *args)
        self._obey(self.policy.decide(self.now))

    def _decode(self, job: jobs.Job, grant: decisions.Granted) -> None:
        if job.over or job.grant is not grant:
            return
        prefill = self.engines[grant.prefill]
        if grant.replica in self.dead:
            self._fail(job, "failed", failed=True)
            return
        if job.handle not in prefill.results:
            self._fail(job, "evicted")
            return
        call = job.call
        decode = self.engines[grant.replica]
        reserved = decode.reserve(
            job.name,
            job.attempt,
            call.prompt_tokens,
            call.max_tokens,
            length=call.length,
        )
        if not reserved:
            self.tally.counts["memory full"] += 1
            self.at(self.now + MEMORY_RETRY_S, self._decode, job, grant)
            return
        export = prefill.export(job.handle, self.now)
        if export is None:
            self._fail(job, "evicted")
            return
        self.at(export.ends_at, self._start, job, grant)

    def _start(self, job: jobs.Job, grant: decisions.Granted) -> None:
        if job.over or job.grant is not grant:
            return
        self.engines[grant.replica].start(job.name, self.now)
        self._watch(grant.replica)

    def _first(self, job: jobs.Job) -> None:
        if job.over or job.first_at is not None:
            return
        job.first_at = self.now
        self.tally.prefilled(job.prefill_tokens, True, job.asked_at)
        self.at(
            self.now + HOP_S,
            self._tell,
            self.policy.first_token,
            job.grant.grant_id,
        )

    def _last(self, job: jobs.Job) -> None:
        if job.over:
            return
        call = job.call
        first_s = job.first_at - job.asked_at
        gaps = max(call.length - 1, 1)
        between_s = (self.now - job.first_at) / gaps
        if call.klass == "deferrable":
            self.tally.counts["deferrable done"] += self.tally.counted(call.at)
        else:
            self.tally.answered(
                call.organisation, job.asked_at, first_s, between_s
            )
            if job.tries and self.tally.counted(call.at):
                self.tally.counts["served later"] += 1
        self._close(job, call.length)

    # Ends

    def _leave(self, job: jobs.Job) -> None:
        """The caller closes its connection."""
        if job.over:
            return
        if self.tally.counted(job.call.at):
            self.tally.counts["cancelled"] += 1
            self.tally.counts["deferrable cancelled"] += (
                job.call.klass == "deferrable"
            )
        self._cancel(job)

    def _lose_patience(self, job: jobs.Job) -> None:
        if not job.over and job.first_at is None:
            if self.tally.counted(job.call.at):
                self.tally.counts["gave up"] += 1
            self._cancel(job)

    def _cancel(self, job: jobs.Job) -> None:
        if job.grant is None:
            self.policy.withdraw(job.name, job.attempt)
        self._close(job)

    def _fail(self, job: jobs.Job, why: str, failed: bool = False) -> None:
        """A try came to nothing; the entry asks once more.

        ``failed`` says that a replica did not do its part.
        """
        if self.tally.counted(job.call.at):
            self.tally.counts[why] += 1
        self._close(job, failed=failed)
        again = jobs.Job(job.call, job.asked_at, job.tries)
        again.attempt = job.attempt + 1
        if again.attempt > MAX_ATTEMPTS or job.first_at is not None:
            return
        self._jobs[job.name] = again
        self.at(self.now + HOP_S, self._submit, again)

    def _close(
        self, job: jobs.Job, tokens: int = 0, failed: bool = False
    ) -> None:
        """Frees all that a try holds."""
        job.over = True
        del self._jobs[job.name]
        grant = job.grant
        if grant is None:
            return
        if job.first_at is None and job.prefill_tokens:
            self.tally.prefilled(job.prefill_tokens, False, job.asked_at)
        for address in (grant.prefill, grant.replica):
            if address not in self.dead:
                self.engines[address].cancel(job.name, self.now)
                self._watch(address)
        self.at(self.now + HOP_S, self._release, grant, tokens, failed)

    def _release(
        self, grant: decisions.Granted, tokens: int, failed: bool
    ) -> None:
        if tokens or failed:
            self.policy.request_finished(
                grant.grant_id, tokens, failed, self.now
            )
        self._tell(self.policy.release, grant.grant_id)
