"""The state of single prefill and decode engines, as a shard's owner sees it.

Each object combines what the owner granted at the engine with what the engine
reported, and learns the engine's speed from finished requests.
"""

from collections.abc import Sequence

from . import affinity
from . import batching
from . import running_stats

PREFIX_BLOCK_TOKENS = 256  # tokens in one block of a prefix
DEFAULT_KV_BLOCKS = 20  # assumed size of an engine that has not reported yet
MAX_REPORT_AGE_S = 2.0  # load reports are never older
# An engine whose last report is this much older than the newest one of any
# engine gets no new work.
MAX_REPORT_LAG_S = 3.0
# A decode engine that misses the token target even with one sequence gets
# only probe requests, which show whether it has recovered.
PROBE_PERIOD_S = 2.0
MAX_PROBES = 2  # concurrent probe requests per engine
MIN_BACKOFF_S = 0.5  # no grants after a failure, doubled with each further one
MAX_BACKOFF_S = 8.0
PREFILL_BASE_S = 0.02  # fixed part of a prefill's time
PREFILL_S_PER_TOKEN = 1 / 8000  # until the first sample
FIRST_STEP_S = 0.05  # KV cache import and first decode step
TRANSFER_S_PER_TOKEN = 20e-6  # until the first sample
FULL_WEIGHT_TOKENS = 1000  # a sample of fewer tokens has less weight


class Engine:
    """What prefill and decode engines have in common.

    ``draining`` engines get no new work. ``reported_at`` is the time at which
    the last load report was measured.
    """

    def __init__(self, address: str):
        self.address = address
        self.draining = False
        self.reported_at: float | None = None
        self._failures = 0
        self._backoff_until = 0.0

    def record_failure(self, now: float) -> None:
        """Records a failed request, after which the engine is backed off."""
        backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**self._failures)
        self._failures += 1
        self._backoff_until = now + backoff_s

    @property
    def is_busy(self) -> bool:
        """Whether any grant is active at the engine."""
        raise NotImplementedError

    def record_success(self) -> None:
        """Records that the engine did its part of a request."""
        self._failures = 0

    def is_suspect(self, now: float) -> bool:
        """Returns whether the engine just failed a single request.

        The request may be at fault, so the engine may still be used when
        there is no other.
        """
        return self._failures == 1 and now < self._backoff_until

    def is_usable(self, now: float, newest_report_at: float) -> bool:
        """Returns whether the engine may get new work.

        ``newest_report_at`` is the time of the newest report of any engine.
        """
        if self.draining or (
            now < self._backoff_until and not self.is_suspect(now)
        ):
            return False
        if self.reported_at is None:
            return True
        return newest_report_at - self.reported_at <= MAX_REPORT_LAG_S


class PrefillEngine(Engine):
    """A prefill engine, which runs one prefill at a time.

    ``prefill_queue`` maps the grant ids to the expected prefill times, the
    running one first. ``transfers`` maps the grant ids of KV transfers to the
    tokens to transfer until they are done, those before them included.
    """

    def __init__(self, address: str):
        super().__init__(address)
        self.prefix_hints = affinity.PrefixHints()
        self.s_per_token = running_stats.MovingAverage(
            PREFILL_S_PER_TOKEN, 0.1
        )
        self.transfers: dict[int, int] = {}
        self._transfer_tokens = 0
        self._transfer_s_per_token = running_stats.MovingAverage(
            TRANSFER_S_PER_TOKEN, 0.1
        )
        self.prefill_queue: dict[int, float] = {}
        self._low_priority: set[int] = set()
        self._queued_work_s = 0.0
        self._started_at = 0.0

    @property
    def is_busy(self) -> bool:
        """Whether the engine has prefills or KV transfers of grants."""
        return bool(self.prefill_queue or self.transfers)

    def cached_tokens(self, prefixes: Sequence[int]) -> int:
        """Returns the prompt's tokens that are probably cached."""
        return self.prefix_hints.match(prefixes) * PREFIX_BLOCK_TOKENS

    def prefill_s(self, tokens: int, prefixes: Sequence[int]) -> float:
        """Returns the expected time of a prefill of ``tokens``, unqueued."""
        computed = max(1, tokens - self.cached_tokens(prefixes))
        return PREFILL_BASE_S + computed * self.s_per_token.value

    def idle_in_s(self, now: float) -> float:
        """Returns the time until the queued prefills should be done."""
        if not self.prefill_queue:
            return 0.0
        head_s = next(iter(self.prefill_queue.values()))
        return max(
            0.0, self._queued_work_s - min(now - self._started_at, head_s)
        )

    @property
    def low_priority_count(self) -> int:
        """The number of low-priority prefills in the queue."""
        return len(self._low_priority)

    def enqueue(
        self, grant_id: int, prefill_s: float, low_priority: bool, now: float
    ) -> None:
        """Adds a prefill to the queue."""
        if low_priority:
            self._low_priority.add(grant_id)
        if not self.prefill_queue:
            self._started_at = now
        self.prefill_queue[grant_id] = prefill_s
        self._queued_work_s += prefill_s

    def dequeue(self, grant_id: int, now: float) -> float | None:
        """Removes a prefill; returns its run time if it was running."""
        prefill_s = self.prefill_queue.get(grant_id)
        if prefill_s is None:
            return None
        first = next(iter(self.prefill_queue)) == grant_id
        del self.prefill_queue[grant_id]
        self._low_priority.discard(grant_id)
        self._queued_work_s = (
            self._queued_work_s - prefill_s if self.prefill_queue else 0.0
        )
        if not first:
            return None
        run_time_s = now - self._started_at
        self._started_at = now
        return run_time_s

    def transfer_s(self, tokens: int, lead_s: float = 0.0) -> float:
        """Returns the time from the end of a prefill to the first token.

        The transfers in progress go first, as far as they are not done when
        the prefill ends in ``lead_s`` seconds.
        """
        queued_s = self._transfer_tokens * self._transfer_s_per_token.value
        own_s = tokens * self._transfer_s_per_token.value
        return FIRST_STEP_S + max(0.0, queued_s - lead_s) + own_s

    def start_transfer(self, grant_id: int, tokens: int) -> None:
        """Records that the KV transfer of a finished prefill starts."""
        self._transfer_tokens += tokens
        self.transfers[grant_id] = self._transfer_tokens

    def end_transfer(
        self, grant_id: int, tokens: int, took_s: float | None
    ) -> None:
        """Removes a transfer and learns the transfer speed from it.

        ``took_s`` is the time from the prefill to the first token, ``None``
        if it is no sample of the speed.
        """
        transferred_tokens = self.transfers.pop(grant_id)
        self._transfer_tokens -= tokens
        if took_s is not None:
            sample = max(0.0, took_s - FIRST_STEP_S) / max(
                transferred_tokens, 1
            )
            weight = min(1.0, transferred_tokens / FULL_WEIGHT_TOKENS)
            self._transfer_s_per_token.add(sample, weight)

    def update_speed(self, computed_tokens: int, run_time_s: float) -> None:
        """Learns the prefill speed from a finished prefill."""
        sample = max(0.0, run_time_s - PREFILL_BASE_S) / max(
            computed_tokens, 1
        )
        weight = min(1.0, computed_tokens / FULL_WEIGHT_TOKENS)
        self.s_per_token.add(sample, weight)


class DecodeEngine(Engine):
    """A decode engine, whose memory is granted in KV blocks.

    ``decoding_kv_blocks`` are those of requests with a first token,
    ``deferrable_kv_blocks`` those of deferrable requests and
    ``foreign_kv_blocks`` those in use that this owner did not grant.
    ``sequences`` counts the grants and ``max_sequences`` is the largest batch
    that meets the target between tokens.
    """

    def __init__(self, address: str, target_s: float, limit: int):
        super().__init__(address)
        self.total_kv_blocks = DEFAULT_KV_BLOCKS
        self.granted_kv_blocks = 0
        self.decoding_kv_blocks = 0
        self.sequences = 0
        self.deferrable_kv_blocks = 0
        self.foreign_kv_blocks = 0
        self.batch_model = batching.BatchModel(target_s, limit)
        self.max_sequences = self.batch_model.max_batch_size()
        self._granted_peak = running_stats.WindowedPeak(MAX_REPORT_AGE_S)
        self._sequence_seconds = 0.0
        self._running = 0
        self._running_since = 0.0
        self._next_probe_at = 0.0

    @property
    def is_busy(self) -> bool:
        """Whether memory is granted at the engine."""
        return self.sequences > 0

    @property
    def is_too_slow(self) -> bool:
        """Whether not even one sequence meets the token target."""
        return self.max_sequences < 1

    @property
    def free_kv_blocks(self) -> int:
        """The KV blocks that are not in use; negative if overcommitted."""
        return (
            self.total_kv_blocks
            - self.foreign_kv_blocks
            - self.granted_kv_blocks
        )

    def set_target(self, target_s: float, limit: int) -> None:
        """Sets the token target and batch limit; a change resets the model."""
        if (target_s, limit) == (
            self.batch_model.target_s,
            self.batch_model.limit,
        ):
            return
        self.batch_model = batching.BatchModel(target_s, limit)
        self.max_sequences = self.batch_model.max_batch_size()

    def free_slots(self, now: float) -> int:
        """Returns how many more sequences may be granted now."""
        if self.is_too_slow:
            return int(
                self.sequences < MAX_PROBES and now >= self._next_probe_at
            )
        return self.max_sequences - self.sequences

    def grant(self, kv_blocks: int, is_deferrable: bool, now: float) -> None:
        """Reserves memory for a sequence."""
        self.granted_kv_blocks += kv_blocks
        self.deferrable_kv_blocks += kv_blocks * is_deferrable
        self.sequences += 1
        self._granted_peak.record(self.granted_kv_blocks, now)
        if self.is_too_slow:
            self._next_probe_at = now + PROBE_PERIOD_S

    def release(self, kv_blocks: int, is_deferrable: bool, now: float) -> None:
        """Frees the memory of a sequence."""
        self.deferrable_kv_blocks -= kv_blocks * is_deferrable
        self._granted_peak.record(self.granted_kv_blocks, now)
        self.granted_kv_blocks -= kv_blocks
        self.sequences -= 1

    def apply_report(self, total: int, free: int, now: float) -> None:
        """Applies a load report, which may be older than the last grants.

        Memory in use beyond the recent peak of the grants is foreign: another
        owner granted it, or its request is not cancelled yet. The peak covers
        ``MAX_REPORT_AGE_S``, so that memory released since the report was
        measured is not counted as foreign.
        """
        self.total_kv_blocks = total
        recent = self._granted_peak.get(self.granted_kv_blocks, now)
        self.foreign_kv_blocks = max(0, total - free - int(recent))

    def adjust_running(self, change: int, now: float) -> float:
        """Changes the number of running sequences; returns its integral.

        The integral is over time, in sequence seconds. The difference of two
        integrals divided by the time between them is the mean batch size.
        """
        self._sequence_seconds += self._running * (now - self._running_since)
        self._running_since = now
        self._running += change
        return self._sequence_seconds

    def update_batch_model(
        self, batch_size: float, token_interval_s: float
    ) -> None:
        """Learns from the mean batch size and token interval of a request."""
        if (
            self.is_too_slow
            and token_interval_s < self.batch_model.target_s / 2
        ):
            # The engine has recovered: drop the samples of its slow phase.
            self.batch_model = batching.BatchModel(
                self.batch_model.target_s, self.batch_model.limit
            )
        self.batch_model.add(batch_size, token_interval_s)
        self.max_sequences = self.batch_model.max_batch_size()
