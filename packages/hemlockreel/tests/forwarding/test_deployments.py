"""Route lookup, traffic splits by weight, and deployment versions."""

import collections

from hypothesis import given
from hypothesis import strategies

from hemlockreel_standins import forwarding_rig as rigs
from hemlockreel_standins import stage_rig

from hemlockreel.forwarding import active_deployment
from hemlockreel.forwarding import deployments

parts = strategies.text("ab", max_size=3)
prefixes = strategies.lists(parts, max_size=4).map(
    lambda found: "/" + "".join(f"{part}/" for part in found)
)


def route(prefix, host="h"):
    return rigs.ROUTE._replace(name=prefix, host=host, prefix=prefix)


@given(strategies.lists(prefixes, unique=True), prefixes)
def test_the_longest_matching_prefix_wins(known, path):
    made = deployments.Deployment(1, tuple(map(route, known)), {})
    found = deployments.find_route(made, "h", path)
    matching = [each for each in known if path.startswith(each)]
    best = max(matching, key=len) if matching else None
    assert (found.prefix if found else None) == best


def test_case_and_port_of_the_host_are_ignored():
    made = deployments.Deployment(1, (route("/a/"),), {})
    assert deployments.find_route(made, "H:8080", "/a/b") is not None
    assert deployments.find_route(made, "other", "/a/b") is None


def test_a_prefix_does_not_match_inside_a_name():
    made = deployments.Deployment(1, (route("/a/"),), {})
    assert deployments.find_route(made, "h", "/ab") is None


def test_a_split_follows_its_weights():
    shares = (
        deployments.WeightedService("x", 90),
        deployments.WeightedService("y", 10),
    )
    split = rigs.ROUTE._replace(shares=shares)
    counts = collections.Counter(
        deployments.pick_service(split, f"{number}") for number in range(5000)
    )
    assert 400 < counts["y"] < 600


def test_a_service_with_weight_zero_gets_no_requests():
    shares = (
        deployments.WeightedService("x", 0),
        deployments.WeightedService("y", 1),
    )
    split = rigs.ROUTE._replace(shares=shares)
    found = {deployments.pick_service(split, str(n)) for n in range(200)}
    assert found == {"y"}


def test_the_version_never_decreases():
    holder = stage_rig.Holder()
    for version in (7, 5, 7, 6):
        holder.post(
            active_deployment.DeploymentRead(
                stage_rig.DEPLOYMENT._replace(version=version)
            )
        )
        assert active_deployment.current(holder.board).version == 7
