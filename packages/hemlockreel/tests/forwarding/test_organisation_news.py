"""Keys that were taken away, at hosts that the store turns away."""

import math

import pytest

from hemlockreel import actions
from hemlockreel import messages
from hemlockreel_standins import feed_rig

from hemlockreel.forwarding import active_deployment
from hemlockreel.forwarding import organisation_news
from hemlockreel.forwarding import organisations

CONFIG_APPLY_S = 3.0  # the platform's config_apply_ms
KEPT, TAKEN = organisations.digest("kept"), organisations.digest("taken")
CAP = organisations.UsageCap(10.0, 5.0, organisations.Unit.TOKENS, 200)
BEFORE = (organisations.Organisation("fjellpulver", (KEPT, TAKEN), 2, CAP),)
AFTER = (organisations.Organisation("fjellpulver", (KEPT,), 3, CAP),)


def make(count, seed=1):
    made = feed_rig.Fleet(count, seed)
    made.organisations = BEFORE
    made.configure()
    made.run(8.0)
    assert known(made) == dict.fromkeys(made.hosts, BEFORE)
    return made


def known(fleet):
    return {
        at: active_deployment.current(board).organisations
        for at, board in fleet.fabric.boards.items()
    }


def take_key_away(fleet):
    fleet.organisations = AFTER
    fleet.configure()


@pytest.mark.parametrize("count", [3, 36])
@pytest.mark.parametrize("seed", range(3))
def test_a_host_that_the_store_turns_away_refuses_a_taken_key(count, seed):
    """CONFIG of issue 42: such hosts went on with what they had read."""
    fleet = make(count, seed)
    away = set(fleet.fabric.rng.sample(fleet.hosts, 1 + count // 4))
    fleet.unreachable = away
    take_key_away(fleet)
    fleet.run(CONFIG_APPLY_S)
    assert known(fleet) == dict.fromkeys(fleet.hosts, AFTER)
    # The routes are still those that these hosts have read themselves.
    assert fleet.hosts_with_version(3) == set(fleet.hosts) - away
    fleet.unreachable = set()
    fleet.run(8.0)
    assert fleet.hosts_with_version(3) == set(fleet.hosts)


@pytest.mark.parametrize("seed", range(3))
def test_one_peer_and_lossy_links_are_enough(seed):
    fleet = make(5, seed)
    away, _, *others = fleet.hosts
    fleet.unreachable = {away}
    fleet.fabric.cut({away}, others)
    fleet.fabric.cut(others, {away})
    fleet.fabric.loss = 0.3
    take_key_away(fleet)
    fleet.run(3 * CONFIG_APPLY_S)
    assert known(fleet)[away] == AFTER


def test_a_host_never_goes_back_to_older_organisations():
    fleet = make(3)
    at = fleet.hosts[0]
    fleet.unreachable = {at}
    take_key_away(fleet)
    fleet.run(CONFIG_APPLY_S)
    holder = messages.KnownOrganisation(
        "fjellpulver", [TAKEN], None, 0.0, 0.0, "requests", 0
    )
    for version in (1, 2, 3):
        late = messages.OrganisationsKnown(
            sender=fleet.hosts[1], epoch=1, version=version, age_s=0.0,
            organisations=[holder],
        )  # fmt: skip
        fleet.fabric.post(at, late)
    older = active_deployment.current(fleet.fabric.boards[at])._replace(
        version=2, organisations=BEFORE
    )
    fleet.fabric.post(at, active_deployment.DeploymentRead(older))
    fleet.run(0.3)
    assert known(fleet)[at] == AFTER


def test_an_unknown_unit_of_a_later_build_changes_nothing():
    fleet = make(3)
    at = fleet.hosts[0]
    holder = messages.KnownOrganisation("a", [KEPT], None, 1.0, 1.0, "x", 0)
    late = messages.OrganisationsKnown(
        sender=fleet.hosts[1], epoch=1, version=9, age_s=0.0,
        organisations=[holder],
    )  # fmt: skip
    fleet.fabric.post(at, late)
    fleet.run(0.3)
    assert known(fleet)[at] == BEFORE


def test_hosts_that_read_the_store_ask_nobody():
    fleet = make(36)
    take_key_away(fleet)
    fleet.run(CONFIG_APPLY_S)
    asked = [
        each
        for sent in fleet.fabric.sent.values()
        for each in sent
        if isinstance(each.message, messages.OrganisationsAsked)
    ]
    assert len(asked) <= len(fleet.hosts)


def strict(fleet):
    for board in fleet.fabric.boards.values():
        state = board.state(organisation_news.State)
        state.limits = organisation_news.RevokeLimits(True, 5.0)


def trusted(fleet):
    return {
        at
        for at, board in fleet.fabric.boards.items()
        if organisation_news.trusted_until(board) > fleet.fabric.now
    }


def test_a_strict_host_in_touch_with_peers_goes_on():
    fleet = make(4)
    strict(fleet)
    fleet.unreachable = {fleet.hosts[0]}
    for _ in range(30):
        fleet.run(0.5)
        assert trusted(fleet) == set(fleet.hosts)


def test_a_strict_host_that_hears_nothing_trusts_no_key():
    fleet = make(4)
    strict(fleet)
    at, *others = fleet.hosts
    fleet.unreachable = {at}
    fleet.fabric.cut(others, {at})
    fleet.run(9.0)
    assert trusted(fleet) == set(others)
    fleet.unreachable = set()
    fleet.run(4.0)
    assert trusted(fleet) == set(fleet.hosts)


def test_a_strict_fleet_without_a_store_trusts_no_key():
    """Hosts confirm each other only as far as a store confirmed one."""
    fleet = make(4)
    strict(fleet)
    fleet.unreachable = set(fleet.hosts)
    fleet.run(9.0)
    assert trusted(fleet) == set()


def test_without_strictness_a_host_goes_on_with_what_it_knows():
    fleet = make(4)
    fleet.unreachable = set(fleet.hosts)
    fleet.run(9.0)
    board = fleet.fabric.boards[fleet.hosts[0]]
    assert organisation_news.trusted_until(board) == math.inf


def test_messages_and_logs_have_no_keys():
    fleet = make(3)
    fleet.unreachable = {fleet.hosts[0]}
    take_key_away(fleet)
    fleet.run(CONFIG_APPLY_S)
    logs = fleet.fabric.performed(fleet.hosts[0], actions.Log)
    news = [each for each in logs if each.event == "organisations_in_force"]
    assert [set(each.fields) for each in news] == [
        {"version", "before", "from"}
    ]
    for sent in fleet.fabric.sent.values():
        for each in sent:
            assert b"taken" not in messages.encode(each.message)
            assert b"kept" not in messages.encode(each.message)
