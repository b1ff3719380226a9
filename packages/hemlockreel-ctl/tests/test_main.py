import json
import threading

import pytest
import pytest_bdd
from pytest_bdd import parsers

from hemlockreel_ctl import main
from hemlockreel_standins import server
from hemlockreel_standins import store

pytest_bdd.scenarios("features")

KEY = ("modelpools", "lesar")


def pool(margin_ms):
    return {"service": "lesar", "model": "lesar-7b", "margin_ms": margin_ms}


class FaultyStore(store.Store):
    """Runs an action just before or after the next read, write or watch.

    An action before a call that returns ``server.DROP`` closes the connection.
    """

    def __init__(self):
        super().__init__()
        self.before = {}
        self.after = {}

    def put(self, kind, name, value):
        request = server.Request(
            "PUT",
            f"/v1/objects/{kind}/{name}",
            {},
            {},
            json.dumps(value).encode(),
        )
        return self.respond(request)

    def remove(self):
        path = "/v1/objects/modelpools/lesar"
        return self.respond(server.Request("DELETE", path, {}, {}, b""))

    def handle(self, request):
        call = "read" if request.method == "GET" else "write"
        if request.path == "/v1/watch":
            call = "watch"
        action = self.before.pop(call, None)
        if action is not None and action() is server.DROP:
            return server.DROP
        response = super().handle(request)
        action = self.after.pop(call, None)
        if action is not None:
            action()
        return response

    def lose_response_then_write(self):
        self.after["write"] = lambda: self.put(*KEY, pool(250))
        self.faults["lose_answers"] = 1

    def write_unseen(self):
        self.faults["freeze_watches"] = True
        self.put(*KEY, pool(250))

    def remove_unseen(self):
        self.faults["freeze_watches"] = True
        self.remove()

    def write_and_drop(self):
        self.put(*KEY, pool(250))
        return server.DROP

    def make_fault(self, fault):
        return {
            "nothing happens": lambda: None,
            "the store has an outage": lambda: self.set_fault("outage", True),
            "the rate limit is reached": lambda: self.set_fault(
                "rate_limit", 0.5
            ),
            "the answer is lost": lambda: self.set_fault("lose_answers", 1),
            "the connection is closed once": lambda: server.DROP,
            "the store goes silent": lambda: self.set_fault("silent", True),
            "another operator writes 250": lambda: self.put(*KEY, pool(250)),
            "another operator deletes it": self.remove,
            "the answer is lost, then 250": self.lose_response_then_write,
            "another operator writes 250 unseen": self.write_unseen,
            "another operator deletes it unseen": self.remove_unseen,
            "the connection is closed once and 250 came": self.write_and_drop,
        }[fault]

    def set_fault(self, fault, value):
        self.faults[fault] = value

    def write_accepted(self, version, rejected=()):
        """Writes the accepted document of generation 7."""
        accepted = {"version": version, "value": pool(200)}
        items = {"modelpools/lesar": [7, accepted], "rejected": [7, rejected]}
        self.put("accepted", "current", {"version": 7, "items": items})

    def write_status(self, region, members, in_force=None, generation=7):
        value = {
            "region": region,
            "generation": generation,
            "members": members,
            "in_force": members if in_force is None else in_force,
            "behind": {},
        }
        self.put("status", f"configuration-{region}", value)

    def act_as_daemons(self, behave):
        """Writes what daemons would write after version 2 of the pool."""
        accepted = "accept" in behave or "force" in behave
        if accepted:
            self.write_accepted(1 if "before" in behave else 2)
        if behave == "reject it":
            fault = {"kind": KEY[0], "name": KEY[1], "version": 2}
            self.write_accepted(1, [{**fault, "reason": "it does not fit"}])
        if not accepted or "nothing" in behave:
            return
        self.write_status("midt-norge", 2)
        in_force = 2 if "one is behind" in behave else 3
        generation = 6 if "a region is behind" in behave else 7
        self.write_status("highlands", 3, in_force, generation)


class Operator:
    def __init__(self, address, path, capsys):
        self.address = address
        self.path = path
        self.capsys = capsys
        self.code = None
        self.output = ""

    def run(self, *arguments):
        command = [*arguments, "--store", self.address, "--timeout", "0.3"]
        self.code = main.main(command)
        self.output = "".join(self.capsys.readouterr())

    def apply(self, text, *arguments):
        self.path.write_text(text)
        self.run("apply", "-f", str(self.path), *arguments)

    def apply_pool(self, margin_ms, *arguments):
        value = pool(margin_ms)
        item = {"kind": KEY[0], "name": KEY[1], "value": value}
        self.apply(json.dumps(item), *arguments)


@pytest.fixture
def faulty_store():
    created = FaultyStore()
    yield created
    created.closing.set()


@pytest.fixture
def operator(faulty_store, tmp_path, capsys):
    address = server.start(faulty_store)
    return Operator(address, tmp_path / "objects.json", capsys)


@pytest_bdd.given(
    parsers.parse(
        "a store that holds the pool lesar with a margin of {margin:d} ms"
    )
)
@pytest_bdd.given(
    parsers.parse("a second write with a margin of {margin:d} ms")
)
def given_pool(faulty_store, margin):
    faulty_store.put(*KEY, pool(margin))


@pytest_bdd.given("a rollout of the pool lesar")
def given_rollout(faulty_store):
    faulty_store.put("rollouts", "lesar", {"pool": "lesar", "version": "2"})


@pytest_bdd.given("reads that are one revision behind")
def given_stale_reads(faulty_store):
    faulty_store.set_fault("stale_reads", 1)


@pytest_bdd.given(
    parsers.re(r"at the (?P<call>write|read|watch) (?P<fault>.*)")
)
def given_fault(faulty_store, call, fault):
    faulty_store.before[call] = faulty_store.make_fault(fault)


@pytest_bdd.given(parsers.parse("daemons that {behave}"))
def given_daemons(faulty_store, behave):
    faulty_store.after["write"] = lambda: faulty_store.act_as_daemons(behave)


@pytest_bdd.given(parsers.parse("at the second write {fault}"))
def given_late_fault(faulty_store, fault):
    faulty_store.after["write"] = lambda: faulty_store.before.update(
        write=faulty_store.make_fault(fault)
    )


@pytest_bdd.when(
    parsers.parse(
        "the operator applies the pool with a margin of {margin:d} ms"
    )
)
def when_applied(operator, margin):
    operator.apply_pool(margin)


@pytest_bdd.when(
    parsers.parse(
        "the operator applies the pool with a margin of {margin:d} ms "
        "over version {version}"
    )
)
def when_applied_over(operator, margin, version):
    operator.apply_pool(margin, "--if-version", version)


@pytest_bdd.when(
    parsers.parse(
        "the operator applies the pool with a margin of {margin:d} ms "
        "and waits"
    )
)
def when_applied_and_waited(operator, margin):
    operator.apply_pool(margin, "--wait", "0.1")


@pytest_bdd.when(
    parsers.parse("the operator tries the pool with a margin of {margin:d} ms")
)
def when_dry_run(operator, margin):
    operator.apply_pool(margin, "--dry-run", "--diff")


@pytest_bdd.when(parsers.re("the operator applies the file (?P<text>.*)"))
def when_file_applied(operator, text):
    operator.apply(text)


@pytest_bdd.when(parsers.parse("the operator runs: {command}"))
def when_run(operator, command):
    operator.run(*command.split())


@pytest_bdd.when("the operator reads from a store that nobody serves")
def when_store_unreachable(operator):
    opened, operator.address = server.open_server(store.Store())
    opened.server_close()
    operator.run("get", "modelpools")


@pytest_bdd.then(parsers.parse("the exit code is {code:d}"))
def then_code(operator, code):
    assert operator.code == code, operator.output
    assert "Traceback" not in operator.output


@pytest_bdd.then(parsers.re('the operator is told "(?P<message>.*)"'))
def then_output(operator, message):
    assert message in operator.output


@pytest_bdd.then(parsers.parse("the store holds a margin of {margin} ms"))
def then_margin(faulty_store, margin):
    found = faulty_store.objects.get(KEY)
    actual = "none" if found is None else str(found["value"]["margin_ms"])
    assert actual == margin


@pytest_bdd.then(parsers.parse("the store is at revision {revision:d}"))
def then_revision(faulty_store, revision):
    assert faulty_store.revision == revision


@pytest_bdd.then(parsers.parse("the margins that were seen are {margins}"))
def then_margins_printed(operator, margins):
    seen = []
    for line in operator.output.splitlines():
        event = json.loads(line)
        gone = event["type"] == "delete"
        seen.append("gone" if gone else event["object"]["value"]["margin_ms"])
    assert " ".join(map(str, seen)) == margins


class RacingStore(store.Store):
    """Delays two writes until both have arrived."""

    def __init__(self):
        super().__init__()
        self.barrier = threading.Barrier(2, timeout=30)

    def handle(self, request):
        if request.method == "PUT":
            self.barrier.wait()
        return super().handle(request)


def test_one_of_two_concurrent_writes_conflicts(tmp_path):
    address = server.start(RacingStore())
    codes = []

    def apply(margin_ms):
        path = tmp_path / f"{margin_ms}.json"
        item = {"kind": KEY[0], "name": KEY[1], "value": pool(margin_ms)}
        path.write_text(json.dumps(item))
        arguments = ["apply", "-f", str(path), "--store", address]
        codes.append(main.main(arguments))

    operators = [
        threading.Thread(target=apply, args=(margin_ms,))
        for margin_ms in (201, 202)
    ]
    for each in operators:
        each.start()
    for each in operators:
        each.join()
    assert sorted(codes) == [0, 3]
