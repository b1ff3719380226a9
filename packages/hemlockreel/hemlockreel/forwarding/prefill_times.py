"""Predicts how long replicas take for the prefill of a prompt.

A prefill replica processes the prompts of all hosts one after the other. A
host sees the queue there only in the time that its own prompts took. A decode
replica could do the prefill too, but at half the speed and between the tokens
of its streams: all of them would pause for longer than callers accept. So a
prompt waits for a prefill replica as long as there is one.
"""

import math
from typing import NamedTuple

QUEUE_HALF_LIFE_S = 1.0  # assumed half-life of a queue
SPEED_DECAY = 0.98  # of the highest observed speed, at each prompt
DEFAULT_TOKENS_PER_S = 20_000.0  # until the first prompt was processed
MIN_TOKENS = 500  # shorter prompts say little about the speed


class Observation(NamedTuple):
    """The speed of a replica in tokens a second and its queue at ``at``.

    ``queue_s`` is the time that the last prompt waited in the queue.
    """

    speed: float = 0.0
    queue_s: float = 0.0
    at: float = 0.0


class State:
    """The last observation of each prefill replica, by id."""

    def __init__(self):
        self.observations: dict[str, Observation] = {}


def record(
    state: State, id: str, tokens: int, seconds: float, now: float
) -> None:
    """Records a prompt of ``tokens`` that took ``seconds``, queue included."""
    if tokens < MIN_TOKENS or seconds <= 0:
        return
    observed = state.observations.get(id, Observation())
    speed = max(SPEED_DECAY * observed.speed, tokens / seconds)
    queue_s = max(0.0, seconds - tokens / speed)
    state.observations[id] = Observation(speed, queue_s, now)


def predict_prefill_s(
    state: State, id: str, tokens: int, ahead: int, now: float
) -> float:
    """Returns the predicted seconds of a prefill at the replica ``id``.

    ``ahead`` is the number of tokens of this host's other prompts there.
    """
    observed = state.observations.get(id, Observation(at=now))
    speed = observed.speed or DEFAULT_TOKENS_PER_S
    queue_share = math.exp2(-(now - observed.at) / QUEUE_HALF_LIFE_S)
    return (tokens + ahead) / speed + observed.queue_s * queue_share


def forget(state: State, id: str) -> None:
    """Drops the observation of a removed replica."""
    state.observations.pop(id, None)
