"""Profiles of deployments and the load on them, drawn with a fixed seed.

Lengths of prompts and responses are heavy-tailed, organisations differ in
size, and half of the prompts of an organisation start with the same text.
"""

from collections.abc import Iterator
import math
import random
from typing import NamedTuple

import xxhash

from hemlockreel import declared_objects

from . import engine_model

BLOCK_TOKENS = 256


class Lengths(NamedTuple):
    """A log-normal distribution of lengths in tokens, clipped to a range."""

    median: float
    sigma: float
    low: int
    high: int

    def draw(self, rng: random.Random) -> int:
        """Returns a random length."""
        drawn = rng.lognormvariate(math.log(self.median), self.sigma)
        return min(self.high, max(self.low, round(drawn)))


class Profile(NamedTuple):
    """A deployment: its engines, its model pool and its callers' requests."""

    name: str
    prefills: int
    decodes: int
    engine: engine_model.Settings
    pool: declared_objects.ModelPool
    prompt: Lengths
    output: Lengths
    organisations: int = 40
    shared_blocks: int = 8
    deferrable_share: float = 0.0


class Call(NamedTuple):
    """One request of a caller.

    ``max_tokens`` is the caller's limit, ``length`` the number of tokens that
    the model generates. ``cancel_after_s`` is infinite for callers that wait.
    ``obeys_retry_after`` is set for callers that retry when a refusal names a
    delay.
    """

    request_id: str
    at: float
    organisation: str
    klass: str
    prompt_tokens: int
    prefixes: tuple[int, ...]
    max_tokens: int
    length: int
    cancel_after_s: float
    obeys_retry_after: bool


FJELLPULVER = Profile(
    "fjellpulver",
    2,
    3,
    engine_model.Settings(),
    declared_objects.ModelPool(service="lesar", model="lesar-7b"),
    Lengths(1000, 1.2, 20, 28000),
    Lengths(160, 0.8, 4, 2048),
)
LOCH_ASHIE = Profile(
    "loch-ashie",
    2,
    2,
    engine_model.Settings(
        prefill_tokens_per_s=4000.0,
        step_base_s=0.04,
        step_per_sequence_s=0.003,
        link_bytes_per_s=5e9,
    ),
    declared_objects.ModelPool(
        service="drafter",
        model="drafter-13b",
        first_token_ms=15000,
        between_tokens_ms=100,
        margin_ms=1500,
    ),
    Lengths(6000, 0.8, 50, 28000),
    Lengths(300, 0.7, 8, 2048),
    organisations=12,
)
LETTER = FJELLPULVER._replace(name="letter", prefills=2, decodes=6)
SHORT_PROMPTS = FJELLPULVER._replace(
    name="short prompts", prompt=Lengths(300, 0.8, 20, 4000)
)
LONG_PROMPTS = FJELLPULVER._replace(
    name="long prompts",
    prefills=4,
    decodes=1,
    prompt=Lengths(4000, 0.6, 500, 28000),
    output=Lengths(50, 0.5, 4, 400),
)
SHARED_PREFIXES = FJELLPULVER._replace(
    name="shared prefixes",
    prefills=5,
    decodes=3,
    engine=engine_model.Settings(cache_blocks=128, prefill_tokens_per_s=4000),
    prompt=Lengths(400, 1.0, 20, 20000),
    output=Lengths(60, 0.8, 4, 1024),
    shared_blocks=32,
)
PROFILES = {
    profile.name: profile
    for profile in (
        FJELLPULVER,
        LOCH_ASHIE,
        LETTER,
        SHORT_PROMPTS,
        LONG_PROMPTS,
        SHARED_PREFIXES,
    )
}


class Source:
    """Draws random calls of one profile."""

    def __init__(self, profile: Profile, seed: int):
        self.profile = profile
        self._rng = random.Random(seed)
        self._count = 0
        self._names = [f"org-{x}" for x in range(profile.organisations)]
        self._sizes = [1 / (x + 1) for x in range(profile.organisations)]
        self._shared = {
            name: self._rng.randint(0, profile.shared_blocks * BLOCK_TOKENS)
            for name in self._names
        }

    def draw(self, at: float, organisation: str = "", klass: str = "") -> Call:
        """Returns the next call, which arrives at ``at``."""
        rng = self._rng
        profile = self.profile
        self._count += 1
        if not organisation:
            organisation = rng.choices(self._names, self._sizes)[0]
        shared = self._shared.get(organisation, 0)
        prompt = profile.prompt.draw(rng)
        if rng.random() < 0.5:
            prompt = min(profile.prompt.high, prompt + shared)
        else:
            shared = 0
        length = profile.output.draw(rng)
        max_tokens = min(
            profile.output.high, round(length * rng.uniform(1, 3))
        )
        if not klass:
            deferrable = rng.random() < profile.deferrable_share
            klass = "deferrable" if deferrable else "interactive"
        return Call(
            f"c{self._count}",
            at,
            organisation,
            klass,
            prompt,
            self._prefixes(organisation, shared, prompt),
            max_tokens,
            length,
            rng.expovariate(0.2) if rng.random() < 0.02 else math.inf,
            rng.random() < 0.8,
        )

    def _prefixes(
        self, organisation: str, shared: int, prompt: int
    ) -> tuple[int, ...]:
        """Returns a hash for each block of a prompt.

        The leading blocks that lie in the organisation's shared text have the
        same hashes in all its prompts.
        """
        blocks = min(prompt // BLOCK_TOKENS, 64)
        common = min(shared // BLOCK_TOKENS, blocks)
        names = [f"{organisation}/{x}" for x in range(common)]
        names += [f"{self._count}/{x}" for x in range(blocks - common)]
        return tuple(xxhash.xxh64_intdigest(name.encode()) for name in names)


def capacity(profile: Profile, prefills: int = 0, decodes: int = 0) -> float:
    """Returns the highest rate, in calls per second, that engines can serve.

    This is the lower of the rates at which all prefill engines and all decode
    engines are busy. It follows from the mean work of a call and leaves
    queueing out. The decode batch is the largest that fits into the KV
    cache, the pool's limit and the target between tokens.
    """
    source = Source(profile, 0)
    calls = [source.draw(0.0) for _ in range(20000)]
    engine = profile.engine
    prompts = sum(call.prompt_tokens for call in calls) / len(calls)
    prefill_s = engine.prefill_base_s + prompts / engine.prefill_tokens_per_s
    lengths = sum(call.length for call in calls) / len(calls)
    kv_blocks = sum(
        -(-(call.prompt_tokens + call.max_tokens) // engine.piece_tokens)
        for call in calls
    )
    batch = min(
        engine.pieces * len(calls) / kv_blocks, profile.pool.decode_batch
    )
    target_s = profile.pool.between_tokens_ms / 1000
    batch_in_target = (
        target_s - engine.step_base_s
    ) / engine.step_per_sequence_s
    batch = min(batch, batch_in_target)
    step_s = engine.step_base_s + batch * engine.step_per_sequence_s
    return min(
        (prefills or profile.prefills) / prefill_s,
        (decodes or profile.decodes) * batch / (lengths * step_s),
    )


def arrivals(
    rate: float, start: float, end: float, rng: random.Random
) -> Iterator[float]:
    """Yields the times of a Poisson process of ``rate`` per second."""
    at = start + rng.expovariate(rate)
    while at < end:
        yield at
        at += rng.expovariate(rate)


def load_share(at: float, day_s: float, position: float) -> float:
    """Returns the load at ``at`` as a share of the peak load.

    ``position`` is when in a day of ``day_s`` the peak lies, from 0 to 1.
    """
    distance = (at / day_s - position) / 0.15
    return 0.25 + 0.75 * math.exp(-distance * distance / 2)
