"""Bursts in which requests wait for memory and then for the prefill."""

from hypothesis import given
from hypothesis import strategies as st

from hemlockreel.forwarding import first_event_times

objectives = st.floats(0.05, 60.0)


@given(objectives)
def test_what_follows_the_memory_has_a_third_of_the_objective(objective_s):
    until = first_event_times.reserve_until(0.0, objective_s)
    assert 0.6 * objective_s <= until <= 2 / 3 * objective_s


@given(objectives, st.floats(0.0, 0.65))
def test_no_prompt_waits_for_longer_than_the_objective(objective_s, waited):
    """A queue of prompts that are late anyway makes all later ones late."""
    now = waited * objective_s
    until = first_event_times.prefill_until(now, 0.0, objective_s)
    assert now + 0.2 * objective_s <= until <= objective_s
