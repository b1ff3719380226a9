"""How long a prefill replica takes to read a prompt, as far as is known.

The replicas read one prompt after the other, those of all hosts. What waits
there shows in the time that this host's own prompts took. A decode replica
reads a prompt too, at a part of the speed, and is better while the prefill
replicas have a queue.
"""

import math
from typing import NamedTuple

DECODE_SPEED_RATIO = 0.5  # of a prefill replica, as the platform states it
# A prompt that is read by a decode replica is read between the tokens of its
# other requests, and delays them.
DECODE_MARGIN = 1.25
QUEUE_HALF_LIFE_S = 1.0  # after this time half of a queue is gone
SPEED_DECAY = 0.98  # of the highest speed, at each prompt
DEFAULT_TOKENS_PER_S = (
    20_000.0  # tokens a second, until the first prompt was read
)
MIN_TOKENS = 500  # less says little about the speed


class Observation(NamedTuple):
    """What the last prompt at a replica showed at ``at``.

    ``queue_s`` is the time that it waited before it was read.
    """

    speed: float = 0.0
    queue_s: float = 0.0
    at: float = 0.0


class State:
    """What was seen of each prefill replica, by id."""

    def __init__(self):
        self.observations: dict[str, Observation] = {}


def record(
    state: State, id: str, tokens: int, seconds: float, now: float
) -> None:
    """Takes in a prompt of ``tokens`` that took ``seconds`` in all."""
    if tokens < MIN_TOKENS or seconds <= 0:
        return
    known = state.observations.get(id, Observation())
    speed = max(SPEED_DECAY * known.speed, tokens / seconds)
    queue_s = max(0.0, seconds - tokens / speed)
    state.observations[id] = Observation(speed, queue_s, now)


def predict_prefill_s(
    state: State, id: str, tokens: int, ahead: int, now: float
) -> float:
    """Returns in how many seconds the replica ``id`` will have read a prompt.

    ``ahead`` are the tokens that this host itself has waiting there.
    """
    known = state.observations.get(id, Observation(at=now))
    speed = known.speed or DEFAULT_TOKENS_PER_S
    left = math.exp2(-(now - known.at) / QUEUE_HALF_LIFE_S)
    return (tokens + ahead) / speed + known.queue_s * left


def predict_decode_s(state: State, tokens: int) -> float:
    """Returns in how many seconds a decode replica would have read it."""
    speed = max(
        (known.speed for known in state.observations.values()), default=0.0
    )
    return (
        DECODE_MARGIN
        * tokens
        / (DECODE_SPEED_RATIO * (speed or DEFAULT_TOKENS_PER_S))
    )


def forget(state: State, id: str) -> None:
    """Forgets a replica that has gone."""
    state.observations.pop(id, None)
