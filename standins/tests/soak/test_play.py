"""Short soak runs with fixed seeds, among them one that once failed."""

import pytest

from hemlockreel_standins.soak import play

# The seeds are fixed, so that CI runs are repeatable; `make soak` uses new
# ones. Each case is (seed, seconds, hosts, callers).
SHORT = (1, 4.0, 3, 6)
# Here a host was paused between two readings of the clock and sent a request
# with a negative timeout; see tests/forwarding/test_pauses.py of the daemon.
PAUSED = (212, 15.0, 4, 12)


@pytest.mark.parametrize("case", [SHORT, PAUSED])
def test_no_promise_is_broken(case, tmp_path):
    found = play.play(*case, tmp_path)
    assert found.violations == []
    assert found.steps > 0
