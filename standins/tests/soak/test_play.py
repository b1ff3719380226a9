"""Short seeded runs of the soak, and those that ever failed."""

import pytest

from hemlockreel_standins.soak import play

# A new seed each time would give CI another verdict each time; fresh ones are
# for `make soak`. Each is (seed, seconds, hosts, callers).
SHORT = (1, 4.0, 3, 6)
# A host stood still between two looks at the clock, and sent a request with a
# time-out below zero; see tests/forwarding/test_pauses.py of the daemon.
PAUSED = (212, 15.0, 4, 12)


@pytest.mark.parametrize("case", [SHORT, PAUSED])
def test_no_promise_is_broken(case, tmp_path):
    found = play.play(*case, tmp_path)
    assert found.violations == []
    assert found.steps > 0
