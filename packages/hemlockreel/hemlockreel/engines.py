"""What the owner of a shard knows of each of its engines."""

from collections.abc import Sequence

from . import affinity
from . import batching
from . import running_stats

BLOCK_TOKENS = 256  # tokens in one block of prefixes
DEFAULT_PIECES = 20  # pieces of an engine that has not reported yet
REPORT_WINDOW_S = 2.0  # a load report is never older than this
STALE_S = 3.0  # an engine whose report is this much older gets nothing new
PROBE_S = 2.0  # time between tries of an engine that was set aside
PROBES = 2  # tries of such an engine at once
BACKOFF_S = 0.5  # time without grants after a failure, doubled each time
MAX_BACKOFF_S = 8.0
PREFILL_BASE_S = 0.02
S_PER_TOKEN = 1 / 8000  # prefill speed before the first sample
FIRST_STEP_S = 0.05  # import and first step, without the transfer itself
TRANSFER_S_PER_TOKEN = 20e-6  # before the first sample
FULL_SAMPLE_TOKENS = 1000


class Station:
    """What prefill and decode engines have in common."""

    def __init__(self, address: str):
        self.address = address
        self.leaving = False
        self.reported_at: float | None = None
        self._failures = 0
        self._back_at = 0.0

    def failed(self, now: float) -> None:
        """Notes a request that the engine did not do its part for."""
        pause = min(MAX_BACKOFF_S, BACKOFF_S * 2**self._failures)
        self._failures += 1
        self._back_at = now + pause

    @property
    def busy(self) -> bool:
        """Whether grants stand at the engine."""
        raise NotImplementedError

    def worked(self) -> None:
        """Notes a request that the engine did its part for."""
        self._failures = 0

    def doubted(self, now: float) -> bool:
        """Returns whether it failed one request, a moment ago."""
        return self._failures == 1 and now < self._back_at

    def usable(self, now: float, freshest: float) -> bool:
        """Returns whether the engine may get new work.

        ``freshest`` is the time of the newest report of any engine.
        """
        if self.leaving or (now < self._back_at and not self.doubted(now)):
            return False
        if self.reported_at is None:
            return True
        return freshest - self.reported_at <= STALE_S


class Prefill(Station):
    """A prefill engine, which runs one prefill at a time."""

    def __init__(self, address: str):
        super().__init__(address)
        self.hints = affinity.PrefixHints()
        self.s_per_token = running_stats.Average(S_PER_TOKEN, 0.1)
        self.transfers: dict[int, int] = {}
        self._transfer_tokens = 0
        self._transfer_s = running_stats.Average(TRANSFER_S_PER_TOKEN, 0.1)
        self.line: dict[int, float] = {}
        self._yielding: set[int] = set()
        self._work_s = 0.0
        self._started_at = 0.0

    @property
    def busy(self) -> bool:
        """Whether prefills or transfers of grants run here."""
        return bool(self.line or self.transfers)

    def cached_tokens(self, prefixes: Sequence[int]) -> int:
        """Returns how much of a prompt is believed to be cached here."""
        return self.hints.match(prefixes) * BLOCK_TOKENS

    def work_s(self, tokens: int, prefixes: Sequence[int]) -> float:
        """Returns the time of a prefill once it runs."""
        computed = max(1, tokens - self.cached_tokens(prefixes))
        return PREFILL_BASE_S + computed * self.s_per_token.value

    def free_in(self, now: float) -> float:
        """Returns the time until its present line should be done."""
        if not self.line:
            return 0.0
        head_s = next(iter(self.line.values()))
        return max(0.0, self._work_s - min(now - self._started_at, head_s))

    @property
    def yielding(self) -> int:
        """The prefills in the line that leave room for others."""
        return len(self._yielding)

    def enter(
        self, grant_id: int, work_s: float, yields: bool, now: float
    ) -> None:
        """Adds a prefill to the line."""
        if yields:
            self._yielding.add(grant_id)
        if not self.line:
            self._started_at = now
        self.line[grant_id] = work_s
        self._work_s += work_s

    def leave(self, grant_id: int, now: float) -> float | None:
        """Takes a prefill out; returns how long it ran, if it was first."""
        work_s = self.line.get(grant_id)
        if work_s is None:
            return None
        first = next(iter(self.line)) == grant_id
        del self.line[grant_id]
        self._yielding.discard(grant_id)
        self._work_s = self._work_s - work_s if self.line else 0.0
        if not first:
            return None
        ran_s = now - self._started_at
        self._started_at = now
        return ran_s

    def transfer_s(self, tokens: int, lead_s: float = 0.0) -> float:
        """Returns the time from the end of a prefill to the first token.

        The transfers under way go first, as far as they are not over when
        the prefill ends in ``lead_s`` seconds.
        """
        queued_s = self._transfer_tokens * self._transfer_s.value
        own_s = tokens * self._transfer_s.value
        return FIRST_STEP_S + max(0.0, queued_s - lead_s) + own_s

    def start_transfer(self, grant_id: int, tokens: int) -> None:
        """Notes that the KV cache of a prefill is to leave."""
        self._transfer_tokens += tokens
        self.transfers[grant_id] = self._transfer_tokens

    def end_transfer(
        self, grant_id: int, tokens: int, took_s: float | None
    ) -> None:
        """Notes that a transfer is over; ``took_s`` if it tells the rate."""
        moved = self.transfers.pop(grant_id)
        self._transfer_tokens -= tokens
        if took_s is not None:
            sample = max(0.0, took_s - FIRST_STEP_S) / max(moved, 1)
            weight = min(1.0, moved / FULL_SAMPLE_TOKENS)
            self._transfer_s.add(sample, weight)

    def learn(self, computed_tokens: int, ran_s: float) -> None:
        """Takes in how long a prefill ran."""
        sample = max(0.0, ran_s - PREFILL_BASE_S) / max(computed_tokens, 1)
        weight = min(1.0, computed_tokens / FULL_SAMPLE_TOKENS)
        self.s_per_token.add(sample, weight)


class Decode(Station):
    """A decode engine, whose memory is granted in pieces."""

    def __init__(self, address: str, target_s: float, limit: int):
        super().__init__(address)
        self.total = DEFAULT_PIECES
        self.granted = 0
        self.decoding = 0
        self.count = 0
        self.deferrable = 0
        self.foreign = 0
        self.batch = batching.BatchModel(target_s, limit)
        self.cap = self.batch.cap()
        self._peak = running_stats.Peak(REPORT_WINDOW_S)
        self._batch_s = 0.0
        self._running = 0
        self._running_since = 0.0
        self._probe_at = 0.0

    @property
    def busy(self) -> bool:
        """Whether memory is granted here."""
        return self.count > 0

    @property
    def slow(self) -> bool:
        """Whether not even one sequence meets the token target."""
        return self.cap < 1

    @property
    def free(self) -> int:
        """The pieces that are not granted."""
        return self.total - self.foreign - self.granted

    def set_target(self, target_s: float, limit: int) -> None:
        """Starts to learn anew for a changed target or limit."""
        if (target_s, limit) == (self.batch.target_s, self.batch.limit):
            return
        self.batch = batching.BatchModel(target_s, limit)
        self.cap = self.batch.cap()

    def room(self, now: float) -> int:
        """Returns how many more sequences may be granted."""
        if self.slow:
            return int(self.count < PROBES and now >= self._probe_at)
        return self.cap - self.count

    def grant(self, pieces: int, deferrable: bool, now: float) -> None:
        """Takes memory for a sequence."""
        self.granted += pieces
        self.deferrable += pieces * deferrable
        self.count += 1
        self._peak.note(self.granted, now)
        if self.slow:
            self._probe_at = now + PROBE_S

    def release(self, pieces: int, deferrable: bool, now: float) -> None:
        """Frees the memory of a sequence."""
        self.deferrable -= pieces * deferrable
        self._peak.note(self.granted, now)
        self.granted -= pieces
        self.count -= 1

    def report(self, total: int, free: int, now: float) -> None:
        """Takes over a load report, which may be older than the grants.

        What the engine holds above all that was granted of late belongs to
        nobody here: another owner granted it, or it is not yet cancelled.
        """
        self.total = total
        recent = self._peak.get(self.granted, now)
        self.foreign = max(0, total - free - int(recent))

    def run(self, change: int, now: float) -> float:
        """Adds to the running sequences; returns their integral over time.

        The difference of two integrals over the time between them is the
        mean batch size of that time.
        """
        self._batch_s += self._running * (now - self._running_since)
        self._running_since = now
        self._running += change
        return self._batch_s

    def learn(self, batch: float, gap_s: float) -> None:
        """Takes in the mean batch size and the mean gap of a request."""
        if self.slow and gap_s < self.batch.target_s / 2:
            # What was learned while it was slow no longer holds.
            self.batch = batching.BatchModel(
                self.batch.target_s, self.batch.limit
            )
        self.batch.add(batch, gap_s)
        self.cap = self.batch.cap()
