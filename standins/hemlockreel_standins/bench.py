"""Simulates one shard: its ledger against engine models in virtual time.

The simulation stands in for the entry, for the network between entry, owner
and engines, and for the callers. It covers one owner and one shard, not a
whole fleet.
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

ENTRY_TO_OWNER_S = 0.0015  # one-way network delay
ENTRY_TO_ENGINE_S = 0.001  # one-way network delay
TICK_S = 0.1
LOAD_PERIOD_S = 0.5
CACHE_PERIOD_S = 1.0
RESERVE_RETRY_S = 0.05
# An interactive caller disconnects when it has no first token after this time,
# or after twice the first-token target if that is longer.
CALLER_TIMEOUT_S = 10.0
MAX_ATTEMPTS = 2


class Simulation:
    """One simulated run of an admission policy under a load."""

    def __init__(
        self, profile: workload.Profile, policy: Any, tally: tallies.Tally
    ):
        self.profile = profile
        self.policy = policy
        self.tally = tally
        self.now = 0.0
        self.engines: dict[str, engine_model.Engine] = {}
        self.dead: set[str] = set()
        self._replicas: dict[str, replicas.Replica] = {}
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._event_numbers = itertools.count()
        self._grant_ids = itertools.count(1)
        self._wake_times: dict[str, float] = {}
        self._jobs: dict[str, jobs.Job] = {}
        roles = [replicas.Role.PREFILL] * profile.prefills
        roles += [replicas.Role.DECODE] * profile.decodes
        for index, role in enumerate(roles):
            self._add_engine(f"10.0.0.{index + 1}:80", role)
        self.policy.set_replicas(self._replicas.values())

    def schedule(self, when: float, callback: Callable, *args: Any) -> None:
        """Schedules ``callback`` for the virtual time ``when``, in seconds."""
        heapq.heappush(
            self._events, (when, next(self._event_numbers), callback, args)
        )

    def run(self, calls: Iterable[workload.Call], end: float) -> None:
        """Simulates ``calls`` and their consequences until ``end``."""
        for call in calls:
            self.schedule(call.at, self._receive_call, call, 0)
        self._tick()
        self._report_loads()
        self._read_cache_events({})
        while self._events and self._events[0][0] <= end:
            self.now, _, callback, args = heapq.heappop(self._events)
            callback(*args)

    # Faults

    def kill(self, address: str) -> None:
        """Stops an engine and fails its requests.

        The host list drops the engine 2 s later.
        """
        self.dead.add(address)
        role = self._replicas[address].role
        for job in list(self._jobs.values()):
            if job.grant is None:
                continue
            is_lost = job.grant.replica == address
            if role is replicas.Role.PREFILL:
                is_lost = job.grant.prefill == address and job.first_at is None
            if is_lost:
                self._fail(job, "failed", failed=True)
        self.schedule(self.now + 2.0, self._remove_replica, address)

    def restart(self, address: str) -> None:
        """Starts an empty engine at the address of a stopped one."""
        self.dead.discard(address)
        self._add_engine(address, self._role_of(address))
        self.policy.set_replicas(self._replicas.values())

    def set_slow_factor(self, address: str, factor: float) -> None:
        """Slows an engine by ``factor``; 1.0 restores its full speed."""
        self.engines[address].slow_factor = factor

    def set_role(self, address: str, role: replicas.Role) -> None:
        """Replaces an idle engine by an empty one of another role."""
        self._add_engine(address, role)
        self.policy.set_replicas(self._replicas.values())
        self.policy.set_load(
            address, self.engines[address].load(self.now), self.now
        )

    def set_link_share(self, share: float) -> None:
        """Limits the links of all engines to ``share`` of their full rate."""
        rate = self.profile.engine.link_bytes_per_s * share
        for engine in self.engines.values():
            engine.settings = engine.settings._replace(link_bytes_per_s=rate)

    def is_idle(self, address: str) -> bool:
        """Returns whether an engine holds no request."""
        return not self.engines[address].requests()

    def _role_of(self, address: str) -> replicas.Role:
        return replicas.Role(self.engines[address].role)

    def _add_engine(self, address: str, role: replicas.Role) -> None:
        self.engines[address] = engine_model.Engine(
            role.value, self.profile.engine
        )
        self._replicas[address] = replicas.Replica(
            address, "lesar", "trondheim-a", "midt-norge", role
        )

    def _remove_replica(self, address: str) -> None:
        if address in self.dead:
            del self._replicas[address]
            self.policy.set_replicas(self._replicas.values())

    # Periodic work and engine events

    def _tick(self) -> None:
        self._apply_decisions(self.policy.decide(self.now))
        self.schedule(self.now + TICK_S, self._tick)

    def _report_loads(self) -> None:
        for address, engine in self.engines.items():
            if address not in self.dead:
                self.policy.set_load(address, engine.load(self.now), self.now)
        self.schedule(self.now + LOAD_PERIOD_S, self._report_loads)

    def _read_cache_events(self, seqs: dict[str, int]) -> None:
        """Passes new cache events of the prefill engines to the owner.

        ``seqs`` holds the sequence number read last from each engine.
        """
        for address, engine in self.engines.items():
            if engine.role == "prefill" and address not in self.dead:
                reading = engine.cache.events(seqs.get(address, 0), self.now)
                seqs[address] = reading["seq"]
                self.policy.set_cache_events(address, reading["events"])
        self.schedule(self.now + CACHE_PERIOD_S, self._read_cache_events, seqs)

    def _schedule_wake(self, address: str) -> None:
        """Schedules an engine's next advance, unless one is due earlier."""
        due = self.engines[address].next_at()
        if due < self._wake_times.get(address, math.inf):
            self._wake_times[address] = due
            self.schedule(due, self._advance_engine, address, due)

    def _advance_engine(self, address: str, due: float) -> None:
        if self._wake_times.get(address) == due:
            del self._wake_times[address]
        if address in self.dead:
            return
        for done in self.engines[address].advance(self.now):
            self._handle_engine_event(address, done)
        self._schedule_wake(address)

    def _handle_engine_event(
        self, address: str, done: engine_model.EngineEvent
    ) -> None:
        job = self._jobs.get(done.request_id)
        if job is None or job.grant is None:
            return
        if done.kind == "prefill" and job.grant.prefill == address:
            self.schedule(
                self.now + ENTRY_TO_ENGINE_S,
                self._prefill_finished,
                job,
                done.detail,
            )
        elif done.kind == "first" and job.grant.replica == address:
            self.schedule(
                self.now + ENTRY_TO_ENGINE_S, self._first_token_received, job
            )
        elif done.kind == "last" and job.grant.replica == address:
            self.schedule(
                self.now + ENTRY_TO_ENGINE_S, self._last_token_received, job
            )

    # Steps of a call

    def _receive_call(self, call: workload.Call, tries: int) -> None:
        job = jobs.Job(call, self.now, tries)
        self._jobs[job.name] = job
        self.tally.count_try(call, tries)
        self.schedule(self.now + ENTRY_TO_OWNER_S, self._submit, job)
        if call.cancel_after_s < math.inf:
            self.schedule(
                self.now + call.cancel_after_s, self._disconnect_caller, job
            )
        if call.klass != "deferrable":
            timeout_s = max(
                CALLER_TIMEOUT_S, 2 * self.profile.pool.first_token_ms / 1000
            )
            self.schedule(self.now + timeout_s, self._time_out_caller, job)

    def _submit(self, job: jobs.Job) -> None:
        if job.is_finished:
            return
        request = jobs.make_admission_request(job, self.profile.pool, self.now)
        grant_id = next(self._grant_ids)
        self._apply_decisions(self.policy.submit(request, grant_id, self.now))

    def _apply_decisions(self, decided: Iterable[decisions.Decision]) -> None:
        for decision in decided:
            job = self._jobs.get(decision.request.request_id)
            if job is None or decision.request.attempt != job.attempt:
                if isinstance(decision, decisions.Granted):
                    self.policy.release(decision.grant_id, self.now)
                continue
            if isinstance(decision, decisions.Granted):
                job.grant = decision
                delay_s = ENTRY_TO_OWNER_S + ENTRY_TO_ENGINE_S
                self.schedule(
                    self.now + delay_s, self._start_prefill, job, decision
                )
            else:
                self._handle_denial(job, decision)

    def _handle_denial(self, job: jobs.Job, denied: decisions.Denied) -> None:
        self._end_job(job)
        call = job.call
        will_retry = call.obeys_retry_after and denied.retry_after_s > 0
        self.tally.count_refusal(
            call, job.tries, denied.reason.value, will_retry
        )
        if will_retry:
            self.schedule(
                self.now + denied.retry_after_s,
                self._receive_call,
                call,
                job.tries + 1,
            )

    def _start_prefill(self, job: jobs.Job, grant: decisions.Granted) -> None:
        if job.is_finished or job.grant is not grant:
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
        self._schedule_wake(grant.prefill)

    def _prefill_finished(
        self, job: jobs.Job, done: engine_model.Prefill
    ) -> None:
        if job.is_finished or job.grant is None or done.handle != job.handle:
            return
        grant_id = job.grant.grant_id
        self.schedule(
            self.now + ENTRY_TO_OWNER_S,
            self._report_to_owner,
            self.policy.prefill_finished,
            grant_id,
            done.cached_tokens,
        )
        self._start_transfer(job, job.grant)

    def _report_to_owner(
        self, callback: Callable, grant_id: int, *args: Any
    ) -> None:
        """Reports an event of a grant to the owner, and lets it decide."""
        callback(grant_id, self.now, *args)
        self._apply_decisions(self.policy.decide(self.now))

    def _start_transfer(self, job: jobs.Job, grant: decisions.Granted) -> None:
        """Reserves KV blocks at the decode engine and starts the transfer.

        Tries again after ``RESERVE_RETRY_S`` while the engine is full.
        """
        if job.is_finished or job.grant is not grant:
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
            self.schedule(
                self.now + RESERVE_RETRY_S, self._start_transfer, job, grant
            )
            return
        export = prefill.export(job.handle, self.now)
        if export is None:
            self._fail(job, "evicted")
            return
        self.schedule(export.ends_at, self._start_decode, job, grant)

    def _start_decode(self, job: jobs.Job, grant: decisions.Granted) -> None:
        if job.is_finished or job.grant is not grant:
            return
        self.engines[grant.replica].start(job.name, self.now)
        self._schedule_wake(grant.replica)

    def _first_token_received(self, job: jobs.Job) -> None:
        if job.is_finished or job.first_at is not None:
            return
        job.first_at = self.now
        self.tally.count_prefill(job.prefill_tokens, True, job.submitted_at)
        self.schedule(
            self.now + ENTRY_TO_OWNER_S,
            self._report_to_owner,
            self.policy.first_token,
            job.grant.grant_id,
        )

    def _last_token_received(self, job: jobs.Job) -> None:
        if job.is_finished:
            return
        call = job.call
        first_s = job.first_at - job.submitted_at
        gaps = max(call.length - 1, 1)
        between_s = (self.now - job.first_at) / gaps
        if call.klass == "deferrable":
            self.tally.counts["deferrable done"] += self.tally.is_counted(
                call.at
            )
        else:
            self.tally.count_response(
                call.organisation, job.submitted_at, first_s, between_s
            )
            if job.tries and self.tally.is_counted(call.at):
                self.tally.counts["served later"] += 1
        self._end_job(job, call.length)

    # Ends of a call

    def _disconnect_caller(self, job: jobs.Job) -> None:
        """Closes the connection of the caller."""
        if job.is_finished:
            return
        if self.tally.is_counted(job.call.at):
            self.tally.counts["cancelled"] += 1
            self.tally.counts["deferrable cancelled"] += (
                job.call.klass == "deferrable"
            )
        self._cancel(job)

    def _time_out_caller(self, job: jobs.Job) -> None:
        if not job.is_finished and job.first_at is None:
            if self.tally.is_counted(job.call.at):
                self.tally.counts["gave up"] += 1
            self._cancel(job)

    def _cancel(self, job: jobs.Job) -> None:
        if job.grant is None:
            self.policy.withdraw(job.name, job.attempt)
        self._end_job(job)

    def _fail(self, job: jobs.Job, outcome: str, failed: bool = False) -> None:
        """Ends an attempt without a response, and starts the next one.

        There is no next attempt after ``MAX_ATTEMPTS`` or once the caller has
        received a token. ``outcome`` is the name to count it under; ``failed``
        reports to the owner that a replica failed.
        """
        if self.tally.is_counted(job.call.at):
            self.tally.counts[outcome] += 1
        self._end_job(job, failed=failed)
        retry = jobs.Job(job.call, job.submitted_at, job.tries)
        retry.attempt = job.attempt + 1
        if retry.attempt > MAX_ATTEMPTS or job.first_at is not None:
            return
        self._jobs[job.name] = retry
        self.schedule(self.now + ENTRY_TO_OWNER_S, self._submit, retry)

    def _end_job(
        self, job: jobs.Job, tokens: int = 0, failed: bool = False
    ) -> None:
        """Ends a job and frees what it holds at engines and owner."""
        job.is_finished = True
        del self._jobs[job.name]
        grant = job.grant
        if grant is None:
            return
        if job.first_at is None and job.prefill_tokens:
            self.tally.count_prefill(
                job.prefill_tokens, False, job.submitted_at
            )
        for address in (grant.prefill, grant.replica):
            if address not in self.dead:
                self.engines[address].cancel(job.name, self.now)
                self._schedule_wake(address)
        self.schedule(
            self.now + ENTRY_TO_OWNER_S, self._release, grant, tokens, failed
        )

    def _release(
        self, grant: decisions.Granted, tokens: int, failed: bool
    ) -> None:
        if tokens or failed:
            self.policy.request_finished(
                grant.grant_id, tokens, failed, self.now
            )
        self._report_to_owner(self.policy.release, grant.grant_id)
