"""Simulates the timing and the memory of an engine, without any I/O.

The caller passes in the time, in seconds, which must not decrease. The
engine stand-in and the bench share this model. A prefill engine runs one
prefill at a time. A decode engine generates one token for each sequence of its
batch in each step; a larger batch makes a step longer.
"""

import collections
import math
from typing import Any
from typing import NamedTuple

from . import engine_cache


class Settings(NamedTuple):
    """The speeds and sizes of an engine.

    ``pieces`` is the number of KV blocks in the engine's memory, each of
    ``piece_tokens`` tokens. ``kv_bytes_per_token`` determines the size of a KV
    cache transfer. A prefill result is evicted after ``result_ttl_s``; the
    stream of a finished sequence can be resumed for ``resume_s``. Load reports
    are up to ``load_lag_s`` old, cache events appear after ``event_lag_s``.
    The prefix cache holds ``cache_blocks`` blocks of ``block_tokens`` tokens.
    """

    pieces: int = 20
    piece_tokens: int = 4096
    prefill_tokens_per_s: float = 8000.0
    prefill_base_s: float = 0.02
    step_base_s: float = 0.025
    step_per_sequence_s: float = 0.002
    result_ttl_s: float = 0.8
    resume_s: float = 5.0
    load_lag_s: float = 0.5
    link_bytes_per_s: float = 10e9
    kv_bytes_per_token: int = 200_000
    cache_blocks: int = 512
    block_tokens: int = 256
    event_lag_s: float = 0.5


class Prefill(NamedTuple):
    """A queued or running prefill."""

    request_id: str
    attempt: int
    handle: str
    prompt_tokens: int
    prefixes: tuple[int, ...]
    priority: int
    cached_tokens: int = 0


class Result:
    """The KV cache of a finished prefill, held until its export."""

    def __init__(self, prefill: Prefill, expires_at: float):
        self.prefill = prefill
        self.expires_at = expires_at


class Export(NamedTuple):
    """A KV cache transfer over the link, which runs one transfer at a time.

    ``ends_at`` includes the wait for the transfers that started earlier.
    """

    bytes: int
    prompt_tokens: int
    ends_at: float


class Sequence:
    """A sequence that holds memory of a decode engine.

    ``tokens`` is the number of tokens that it generates.
    ``joined_after_step`` is the step after which it generates tokens, ``None``
    while its KV cache is being transferred.
    """

    def __init__(self, request_id: str, kv_blocks: int, tokens: int, rank):
        self.request_id = request_id
        self.kv_blocks = kv_blocks
        self.tokens = tokens
        self.rank = rank
        self.attempt = 0
        self.joined_after_step: int | None = None
        self.finished_at: float | None = None


class EngineEvent(NamedTuple):
    """An event of the model.

    ``kind`` is ``prefill`` when a prefill finished, ``evicted`` when its
    result expired, ``first`` or ``last`` when that token was generated.
    ``detail`` is the :class:`Prefill` for the first two.
    """

    kind: str
    request_id: str
    at: float
    detail: Any = None


class Engine:
    """A prefill or decode engine; ``role`` may change at any time."""

    def __init__(self, role: str, settings: Settings):
        self.role = role
        self.settings = settings
        self.slow_factor = 1.0
        self.cache = engine_cache.PrefixCache(
            settings.cache_blocks, settings.event_lag_s
        )
        self.sequences: dict[str, Sequence] = {}
        self.results: dict[str, Result] = {}
        self._queue: list[Prefill] = []
        self._running_prefill: Prefill | None = None
        self._prefill_ends_at = math.inf
        self._link_free_at = 0.0
        self._finished_steps = 0
        self._step_ends_at = math.inf
        self._batch_size = 0
        # Sequences by the step that generates their first or last token.
        self._first_token_steps: dict[int, list[Sequence]] = (
            collections.defaultdict(list)
        )
        self._last_token_steps: dict[int, list[Sequence]] = (
            collections.defaultdict(list)
        )
        self._finished: collections.deque[Sequence] = collections.deque()
        self._handle_count = 0
        self._load: dict[str, Any] = {}
        self._load_at = -math.inf

    @property
    def free_kv_blocks(self) -> int:
        """The number of KV blocks that no sequence or result holds."""
        held = sum(
            sequence.kv_blocks
            for sequence in self.sequences.values()
            if sequence.finished_at is None
        )
        held += sum(
            self._count_kv_blocks(x.prefill) for x in self.results.values()
        )
        return self.settings.pieces - held

    # Prefill

    def prefill(
        self,
        request_id: str,
        attempt: int,
        prompt_tokens: int,
        prefixes: tuple[int, ...],
        priority: int,
        now: float,
    ) -> str:
        """Queues a prefill and returns the handle of its future result."""
        self._handle_count += 1
        handle = f"{request_id}-{attempt}-{self._handle_count}"
        self._queue.append(
            Prefill(
                request_id, attempt, handle, prompt_tokens, prefixes, priority
            )
        )
        # The sort is stable, so equal priorities stay in order of arrival.
        self._queue.sort(key=lambda queued: -queued.priority)
        self._start_prefill(now)
        return handle

    def export(
        self, handle: str, now: float, rate: float | None = None
    ) -> Export | None:
        """Starts the transfer of a result and releases its memory.

        Returns ``None`` if the result was evicted or exported. ``rate``
        overrides the link's bytes per second.
        """
        result = self.results.pop(handle, None)
        if result is None or result.expires_at <= now:
            return None
        tokens = result.prefill.prompt_tokens
        size = tokens * self.settings.kv_bytes_per_token
        starts_at = max(now, self._link_free_at)
        rate = rate or self.settings.link_bytes_per_s
        self._link_free_at = starts_at + size / rate
        return Export(size, tokens, self._link_free_at)

    # Decode

    def reserve(
        self,
        request_id: str,
        attempt: int,
        prompt_tokens: int,
        max_tokens: int,
        priority: int = 0,
        length: int | None = None,
    ) -> bool:
        """Reserves memory for a sequence; returns whether it succeeded.

        It fails if there is too little memory or if a sequence of this request
        is unfinished. Memory is reserved for ``max_tokens``; ``length``, if
        given, is the number of tokens that the sequence generates.
        """
        size = prompt_tokens + max_tokens
        kv_blocks = -(-size // self.settings.piece_tokens)
        held = self.sequences.get(request_id)
        if held is not None and held.finished_at is None:
            return False
        if kv_blocks > self.free_kv_blocks:
            return False
        rank = (-priority, len(self.sequences))
        sequence = Sequence(request_id, kv_blocks, length or max_tokens, rank)
        sequence.attempt = attempt
        self.sequences[request_id] = sequence
        return True

    def start(self, request_id: str, now: float) -> bool:
        """Adds a sequence to the batch; returns ``False`` if it is unknown."""
        sequence = self.sequences.get(request_id)
        if sequence is None:
            return False
        sequence.joined_after_step = self._finished_steps
        if self._step_ends_at < math.inf:
            # The running step began without it.
            sequence.joined_after_step += 1
        self._batch_size += 1
        self._first_token_steps[sequence.joined_after_step + 1].append(
            sequence
        )
        self._last_token_steps[
            sequence.joined_after_step + sequence.tokens
        ].append(sequence)
        if self._step_ends_at == math.inf:
            self._step_ends_at = now + self._step_duration_s()
        return True

    def generated_tokens(self, request_id: str) -> int:
        """Returns how many tokens were generated, -1 if unknown."""
        sequence = self.sequences.get(request_id)
        if sequence is None:
            return -1
        if sequence.joined_after_step is None:
            return 0
        return max(
            0,
            min(
                self._finished_steps - sequence.joined_after_step,
                sequence.tokens,
            ),
        )

    # Both roles

    def cancel(self, request_id: str, now: float) -> None:
        """Cancels the work of a request in any state and frees its memory."""
        sequence = self.sequences.pop(request_id, None)
        if sequence is not None:
            self._remove_from_batch(sequence)
        self._queue = [x for x in self._queue if x.request_id != request_id]
        for handle, result in list(self.results.items()):
            if result.prefill.request_id == request_id:
                del self.results[handle]
        current = self._running_prefill
        if current is not None and current.request_id == request_id:
            self._running_prefill = None
            self._prefill_ends_at = math.inf
            self._start_prefill(now)

    def requests(self) -> list[dict[str, Any]]:
        """Returns the state and KV blocks of each unfinished request."""
        found = []
        for prefill in self._pending_prefills():
            found.append(
                _describe(prefill, "prefill", self._count_kv_blocks(prefill))
            )
        for result in self.results.values():
            size = self._count_kv_blocks(result.prefill)
            found.append(_describe(result.prefill, "result", size))
        for sequence in self.sequences.values():
            if sequence.finished_at is None:
                state = (
                    "import"
                    if sequence.joined_after_step is None
                    else "decode"
                )
                found.append(_describe(sequence, state, sequence.kv_blocks))
        return found

    def load(self, now: float) -> dict[str, Any]:
        """Returns a load report, which is up to ``load_lag_s`` old."""
        if now - self._load_at >= self.settings.load_lag_s:
            self._load_at = now
            self._load = self._measure_load()
        return {**self._load, "age_s": now - self._load_at}

    def next_at(self) -> float:
        """Returns the time of the next event, infinite when idle."""
        expiry = min(
            (result.expires_at for result in self.results.values()),
            default=math.inf,
        )
        return min(self._prefill_ends_at, self._step_ends_at, expiry)

    def advance(self, now: float) -> list[EngineEvent]:
        """Advances to ``now``; returns the events until then, in order."""
        events: list[EngineEvent] = []
        while (at := self.next_at()) <= now:
            if at == self._step_ends_at:
                events.extend(self._end_step(at))
            elif at == self._prefill_ends_at:
                events.append(self._end_prefill(at))
            else:
                events.extend(self._evict(at))
        while self._finished and self._has_resume_expired(
            self._finished[0], now
        ):
            expired = self._finished.popleft()
            if self.sequences.get(expired.request_id) is expired:
                del self.sequences[expired.request_id]
        return events

    def _has_resume_expired(self, sequence: Sequence, now: float) -> bool:
        return sequence.finished_at + self.settings.resume_s <= now

    def _measure_load(self) -> dict[str, Any]:
        waiting = sum(
            x.joined_after_step is None for x in self.sequences.values()
        )
        return {
            "role": self.role,
            "pieces_total": self.settings.pieces,
            "pieces_free": self.free_kv_blocks,
            "running": self._batch_size,
            "waiting": waiting + len(self._queue),
            "prefill_queue_tokens": sum(
                prefill.prompt_tokens for prefill in self._pending_prefills()
            ),
        }

    def _pending_prefills(self) -> list[Prefill]:
        running = (
            [] if self._running_prefill is None else [self._running_prefill]
        )
        return running + self._queue

    def _count_kv_blocks(self, prefill: Prefill) -> int:
        return -(-prefill.prompt_tokens // self.settings.piece_tokens)

    def _start_prefill(self, now: float) -> None:
        if self._running_prefill is not None or not self._queue:
            return
        prefill = self._queue.pop(0)
        blocks = self.cache.match(prefill.prefixes)
        cached = blocks * self.settings.block_tokens
        cached = min(cached, prefill.prompt_tokens - 1)
        self._running_prefill = prefill._replace(cached_tokens=cached)
        work_s = (
            prefill.prompt_tokens - cached
        ) / self.settings.prefill_tokens_per_s
        work_s += self.settings.prefill_base_s
        self._prefill_ends_at = now + work_s * self.slow_factor

    def _end_prefill(self, at: float) -> EngineEvent:
        prefill = self._running_prefill
        self._running_prefill = None
        self._prefill_ends_at = math.inf
        self.cache.store(prefill.prefixes, at)
        expires_at = at + self.settings.result_ttl_s
        self.results[prefill.handle] = Result(prefill, expires_at)
        self._start_prefill(at)
        return EngineEvent("prefill", prefill.request_id, at, prefill)

    def _evict(self, at: float) -> list[EngineEvent]:
        evicted = []
        for handle, result in list(self.results.items()):
            if result.expires_at <= at:
                del self.results[handle]
                prefill = result.prefill
                evicted.append(
                    EngineEvent("evicted", prefill.request_id, at, prefill)
                )
        return evicted

    def _step_duration_s(self) -> float:
        batch = self._batch_size * self.settings.step_per_sequence_s
        return (self.settings.step_base_s + batch) * self.slow_factor

    def _end_step(self, at: float) -> list[EngineEvent]:
        self._finished_steps += 1
        events = []
        for sequence in self._first_token_steps.pop(self._finished_steps, ()):
            if self._is_running(sequence):
                events.append(EngineEvent("first", sequence.request_id, at))
        for sequence in self._last_token_steps.pop(self._finished_steps, ()):
            if self._is_running(sequence):
                self._batch_size -= 1
                sequence.finished_at = at
                self._finished.append(sequence)
                events.append(EngineEvent("last", sequence.request_id, at))
        if self._batch_size:
            self._step_ends_at = at + self._step_duration_s()
        else:
            self._step_ends_at = math.inf
        return events

    def _is_running(self, sequence: Sequence) -> bool:
        held = self.sequences.get(sequence.request_id)
        return held is sequence and sequence.finished_at is None

    def _remove_from_batch(self, sequence: Sequence) -> None:
        """Removes a cancelled sequence from the batch, if it was in it."""
        if (
            sequence.joined_after_step is not None
            and sequence.finished_at is None
        ):
            self._batch_size -= 1


def _describe(held: Any, state: str, kv_blocks: int) -> dict[str, Any]:
    return {
        "request_id": held.request_id,
        "attempt": held.attempt,
        "state": state,
        "pieces": kv_blocks,
    }
