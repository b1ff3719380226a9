"""Memory reservations for responses far shorter than their limit."""

import random

from hemlockreel.forwarding import output_lengths

LIMIT = 9000


def draw(rng, count):
    """Returns output lengths with estimates of the right median."""
    found = []
    for _ in range(count):
        output = min(LIMIT, int(rng.lognormvariate(8.2, 0.45)))
        found.append((output, int(output * rng.lognormvariate(0, 0.5))))
    return found


def reserved(state, sizes):
    return [
        output_lengths.tokens_to_reserve(state, "s", LIMIT, expected)
        for _, expected in sizes
    ]


def test_reservations_are_smaller_than_the_limit():
    sizes = draw(random.Random(1), 500)
    total = sum(reserved(output_lengths.State(), sizes))
    assert total < 0.75 * LIMIT * len(sizes)


def test_the_reservations_of_a_replica_rarely_fall_short():
    rng = random.Random(2)
    state = output_lengths.State()
    for output, expected in draw(rng, 200):
        output_lengths.record_output(state, "s", LIMIT, expected, output)
    exceeded = 0
    for _ in range(200):
        sizes = draw(rng, 8)
        need = sum(output for output, _ in sizes)
        exceeded += need > sum(reserved(state, sizes))
    # The worst case is all eight at their full length at the same time.
    assert exceeded <= 20


def test_short_responses_are_learned():
    state = output_lengths.State()
    before = output_lengths.tokens_to_reserve(state, "s", LIMIT, LIMIT)
    for _ in range(100):
        output_lengths.record_output(state, "s", LIMIT, LIMIT, 300)
    assert (
        output_lengths.tokens_to_reserve(state, "s", LIMIT, LIMIT) < before / 4
    )


def test_long_responses_are_learned():
    state = output_lengths.State()
    for _ in range(100):
        output_lengths.record_output(state, "s", LIMIT, LIMIT, LIMIT)
    assert (
        output_lengths.tokens_to_reserve(state, "s", LIMIT, LIMIT)
        > 0.9 * LIMIT
    )


def test_a_reservation_never_exceeds_the_limit():
    assert (
        output_lengths.tokens_to_reserve(
            output_lengths.State(), "s", 100, 10**6
        )
        == 100
    )


def test_a_response_without_tokens_is_ignored():
    state = output_lengths.State()
    output_lengths.record_output(state, "s", LIMIT, 0, 0)
    assert not state.output_shares
