import pytest

from hemlockreel import replicas
from hemlockreel import role_balance

P = replicas.Role.PREFILL
D = replicas.Role.DECODE


@pytest.mark.parametrize(
    ("prefills", "decodes", "demand", "wanted"),
    [
        (4, 4, (1.0, 5.0), D),
        (2, 6, (3.0, 2.0), P),
        (4, 4, (0.5, 1.0), None),  # The present roles suffice.
        (2, 6, (1.5, 5.7), None),  # No other split serves more.
        (1, 3, (0.1, 9.0), None),  # The last prefill replica is kept.
        (3, 1, (9.0, 0.1), None),
    ],
)
def test_role_change_is_proposed_for_the_scarce_role(
    prefills, decodes, demand, wanted
):
    load = role_balance.ShardLoad(
        {f"p{x}": x for x in range(prefills)},
        {f"d{x}": 9 - x for x in range(decodes)},
        *demand,
        False,
    )
    change = role_balance.propose_role_change(load)
    assert (change and change.role) == wanted
    assert (
        role_balance.propose_role_change(
            load._replace(is_role_change_pending=True)
        )
        is None
    )
    if change is not None:
        emptiest = "p0" if wanted is D else f"d{decodes - 1}"
        assert change.address == emptiest


def test_repeated_proposals_converge():
    prefills, decodes = 7, 1
    for _ in range(20):
        load = role_balance.ShardLoad(
            {f"p{x}": 0 for x in range(prefills)},
            {f"d{x}": 0 for x in range(decodes)},
            1.2,
            5.0,
            False,
        )
        change = role_balance.propose_role_change(load)
        if change is None:
            break
        step = 1 if change.role is D else -1
        prefills, decodes = prefills - step, decodes + step
    assert (prefills, decodes) == (2, 6)
