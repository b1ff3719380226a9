"""What the owner of a shard knows of each of its engines."""

from collections.abc import Sequence

from . import affinity
from . import batching
from . import running_stats

PREFIX_BLOCK_TOKENS = 256  # tokens in one block of prefixes
DEFAULT_KV_BLOCKS = 20  # pieces of an engine that has not reported yet
MAX_REPORT_AGE_S = 2.0  # a load report is never older than this
MAX_REPORT_LAG_S = (
    3.0  # an engine whose report is this much older gets nothing new
)
PROBE_PERIOD_S = 2.0  # time between tries of an engine that was set aside
MAX_PROBES = 2  # tries of such an engine at once
MIN_BACKOFF_S = 0.5  # time without grants after a failure, doubled each time
MAX_BACKOFF_S = 8.0
PREFILL_BASE_S = 0.02
PREFILL_S_PER_TOKEN = 1 / 8000  # prefill speed before the first sample
FIRST_STEP_S = 0.05  # import and first step, without the transfer itself
TRANSFER_S_PER_TOKEN = 20e-6  # before the first sample
FULL_WEIGHT_TOKENS = 1000


class Engine:
    """What prefill and decode engines have in common."""

    def __init__(self, address: str):
        self.address = address
        self.draining = False
        self.reported_at: float | None = None
        self._failures = 0
        self._backoff_until = 0.0

    def record_failure(self, now: float) -> None:
        """Notes a request that the engine did not do its part for."""
        backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**self._failures)
        self._failures += 1
        self._backoff_until = now + backoff_s

    @property
    def is_busy(self) -> bool:
        """Whether grants stand at the engine."""
        raise NotImplementedError

    def record_success(self) -> None:
        """Notes a request that the engine did its part for."""
        self._failures = 0

    def is_suspect(self, now: float) -> bool:
        """Returns whether it failed one request, a moment ago."""
        return self._failures == 1 and now < self._backoff_until

    def is_usable(self, now: float, newest_report_at: float) -> bool:
        """Returns whether the engine may get new work.

        ``freshest`` is the time of the newest report of any engine.
        """
        if self.draining or (
            now < self._backoff_until and not self.is_suspect(now)
        ):
            return False
        if self.reported_at is None:
            return True
        return newest_report_at - self.reported_at <= MAX_REPORT_LAG_S


class PrefillEngine(Engine):
    """A prefill engine, which runs one prefill at a time."""

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
        """Whether prefills or transfers of grants run here."""
        return bool(self.prefill_queue or self.transfers)

    def cached_tokens(self, prefixes: Sequence[int]) -> int:
        """Returns how much of a prompt is believed to be cached here."""
        return self.prefix_hints.match(prefixes) * PREFIX_BLOCK_TOKENS

    def prefill_s(self, tokens: int, prefixes: Sequence[int]) -> float:
        """Returns the time of a prefill once it runs."""
        computed = max(1, tokens - self.cached_tokens(prefixes))
        return PREFILL_BASE_S + computed * self.s_per_token.value

    def idle_in_s(self, now: float) -> float:
        """Returns the time until its present line should be done."""
        if not self.prefill_queue:
            return 0.0
        head_s = next(iter(self.prefill_queue.values()))
        return max(
            0.0, self._queued_work_s - min(now - self._started_at, head_s)
        )

    @property
    def low_priority_count(self) -> int:
        """The prefills in the line that leave room for others."""
        return len(self._low_priority)

    def enqueue(
        self, grant_id: int, prefill_s: float, low_priority: bool, now: float
    ) -> None:
        """Adds a prefill to the line."""
        if low_priority:
            self._low_priority.add(grant_id)
        if not self.prefill_queue:
            self._started_at = now
        self.prefill_queue[grant_id] = prefill_s
        self._queued_work_s += prefill_s

    def dequeue(self, grant_id: int, now: float) -> float | None:
        """Takes a prefill out; returns how long it ran, if it was first."""
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

        The transfers under way go first, as far as they are not over when
        the prefill ends in ``lead_s`` seconds.
        """
        queued_s = self._transfer_tokens * self._transfer_s_per_token.value
        own_s = tokens * self._transfer_s_per_token.value
        return FIRST_STEP_S + max(0.0, queued_s - lead_s) + own_s

    def start_transfer(self, grant_id: int, tokens: int) -> None:
        """Notes that the KV cache of a prefill is to leave."""
        self._transfer_tokens += tokens
        self.transfers[grant_id] = self._transfer_tokens

    def end_transfer(
        self, grant_id: int, tokens: int, took_s: float | None
    ) -> None:
        """Notes that a transfer is over; ``took_s`` if it tells the rate."""
        transferred_tokens = self.transfers.pop(grant_id)
        self._transfer_tokens -= tokens
        if took_s is not None:
            sample = max(0.0, took_s - FIRST_STEP_S) / max(
                transferred_tokens, 1
            )
            weight = min(1.0, transferred_tokens / FULL_WEIGHT_TOKENS)
            self._transfer_s_per_token.add(sample, weight)

    def update_speed(self, computed_tokens: int, run_time_s: float) -> None:
        """Takes in how long a prefill ran."""
        sample = max(0.0, run_time_s - PREFILL_BASE_S) / max(
            computed_tokens, 1
        )
        weight = min(1.0, computed_tokens / FULL_WEIGHT_TOKENS)
        self.s_per_token.add(sample, weight)


class DecodeEngine(Engine):
    """A decode engine, whose memory is granted in pieces."""

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
        """Whether memory is granted here."""
        return self.sequences > 0

    @property
    def is_too_slow(self) -> bool:
        """Whether not even one sequence meets the token target."""
        return self.max_sequences < 1

    @property
    def free_kv_blocks(self) -> int:
        """The pieces that are not granted."""
        return (
            self.total_kv_blocks
            - self.foreign_kv_blocks
            - self.granted_kv_blocks
        )

    def set_target(self, target_s: float, limit: int) -> None:
        """Starts to learn anew for a changed target or limit."""
        if (target_s, limit) == (
            self.batch_model.target_s,
            self.batch_model.limit,
        ):
            return
        self.batch_model = batching.BatchModel(target_s, limit)
        self.max_sequences = self.batch_model.max_batch_size()

    def free_slots(self, now: float) -> int:
        """Returns how many more sequences may be granted."""
        if self.is_too_slow:
            return int(
                self.sequences < MAX_PROBES and now >= self._next_probe_at
            )
        return self.max_sequences - self.sequences

    def grant(self, kv_blocks: int, is_deferrable: bool, now: float) -> None:
        """Takes memory for a sequence."""
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
        """Takes over a load report, which may be older than the grants.

        What the engine holds above all that was granted of late belongs to
        nobody here: another owner granted it, or it is not yet cancelled.
        """
        self.total_kv_blocks = total
        recent = self._granted_peak.get(self.granted_kv_blocks, now)
        self.foreign_kv_blocks = max(0, total - free - int(recent))

    def adjust_running(self, change: int, now: float) -> float:
        """Adds to the running sequences; returns their integral over time.

        The difference of two integrals over the time between them is the
        mean batch size of that time.
        """
        self._sequence_seconds += self._running * (now - self._running_since)
        self._running_since = now
        self._running += change
        return self._sequence_seconds

    def update_batch_model(
        self, batch_size: float, token_interval_s: float
    ) -> None:
        """Takes in the mean batch size and the mean gap of a request."""
        if (
            self.is_too_slow
            and token_interval_s < self.batch_model.target_s / 2
        ):
            # What was learned while it was slow no longer holds.
            self.batch_model = batching.BatchModel(
                self.batch_model.target_s, self.batch_model.limit
            )
        self.batch_model.add(batch_size, token_interval_s)
        self.max_sequences = self.batch_model.max_batch_size()
