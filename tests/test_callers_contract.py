import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from hemlockreel_standins import processes

scenarios("features/callers.feature")

ROUTES = {
    "orders": {"service": "ordrebok", "prefix": "/orders", "timeout_ms": 700},
    "strict": {
        "service": "ordrebok",
        "prefix": "/strict",
        "key_required": True,
    },
}


class World:
    """A deployment with three plain replicas, and the last response."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.plain = [
            deployment.add_replica("ordrebok", "trondheim-a", "plain")
            for _ in range(3)
        ]
        for name, value in ROUTES.items():
            deployment.apply("routes", name, value)
        deployment.add_daemon("trondheim-a").await_ready()
        self.response = None
        self.before = 0

    def count_runs(self):
        return sum(
            len(processes.get(server.address, "/_journal")["runs"])
            for server in self.plain
        )


@pytest.fixture(scope="module")
def deployed():
    with processes.Deployment("midt-norge") as deployment:
        yield World(deployment)


@pytest.fixture
def world(deployed):
    deployed.before = deployed.count_runs()
    yield deployed
    for server in deployed.plain:
        processes.HTTP.request("DELETE", f"http://{server.address}/_faults")


@given(parsers.parse("the service has the fault {fault} of {value}"))
def has_fault(world, fault, value):
    given_value = True if value == "true" else int(value)
    # A call is tried three times. If a fault affects one request only, one
    # replica stays without it, so that a retry can succeed.
    chosen = world.plain[:2] if value == "1" else world.plain
    for server in chosen:
        processes.put(server.address, "/_faults", {fault: given_value})


@when(parsers.parse("a caller sends {method} to {path} with the body {body}"))
def send(world, method, path, body):
    world.response = processes.HTTP.request(
        method,
        f"http://{world.deployment.daemons[0].callers}{path}",
        body=None if body == "nothing" else body.encode(),
        headers={"Content-Type": "application/json"},
    )


@then(parsers.parse("the status is {status:d}"))
def status_is(world, status):
    assert world.response.status == status, world.response.data


@then(parsers.parse("the reason is {reason}, which ran as {ran}"))
def reason_is(world, reason, ran):
    error = world.response.json()["error"]
    assert (error["reason"], error["ran"]) == (reason, ran)


@then("no backend server ran it")
def ran_nowhere(world):
    assert world.count_runs() == world.before


@then(parsers.parse("it ran {runs:d} times"))
def ran_times(world, runs):
    assert world.count_runs() - world.before == runs
