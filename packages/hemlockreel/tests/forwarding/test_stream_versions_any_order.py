"""Streams of several software versions beside faults in any order.

What is true is kept here: which version began each stream.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from hemlockreel import outcomes
from hemlockreel_standins import parts_rig
from hemlockreel_standins import stream_rig

from hemlockreel.forwarding import stream_versions

HOST_COUNT = 7
HOSTS = strategies.integers(0, HOST_COUNT - 1)
MAX_ASKED = 8  # streams
FAULTS = ("kill", "freeze", "cut", "restore", "outage", "restart")


class Streams(stateful.RuleBasedStateMachine):
    """Hosts that begin streams and resume each other's."""

    def __init__(self):
        super().__init__()
        self.site = stream_rig.Site(HOST_COUNT)
        self.fabric = self.site.fleet.fabric
        self.number = 1
        self.listed = ["v1"]
        self.began_at = {}
        self.cut = set()
        # Since when every host is in touch with all others and the store.
        self.calm_since = self.fabric.now
        self.must_know_from = self.fabric.now

    def all_hosts(self):
        return self.site.fleet.hosts

    def list_all(self):
        """Shows the replicas to the hosts that reach the store."""
        away = {*self.cut, *self.fabric.frozen}
        hosts = [host for host in self.fabric.boards if host not in away]
        if hosts and not self.site.fleet.store_is_down:
            self.site.list_versions(*self.listed, hosts=tuple(hosts))

    @stateful.rule(seconds=strategies.sampled_from([0.3, 4.0, 33.0]))
    def pass_time(self, seconds):
        self.fabric.run(seconds)

    @stateful.rule(leaves=strategies.booleans())
    def release(self, leaves):
        self.number += 1
        self.listed.append(f"v{self.number}")
        self.listed = self.listed[-2:]
        self.list_all()
        if leaves:
            self.fabric.run(2.0)
            self.listed = self.listed[-1:]
            self.list_all()
        self.fabric.run(0.5)

    def running(self):
        return [
            host
            for host in self.all_hosts()
            if host in self.fabric.boards and host not in self.fabric.frozen
        ]

    @stateful.rule(index=HOSTS, wait_s=strategies.sampled_from([0.05, 1.5]))
    def begin(self, index, wait_s):
        """Begins streams at some hosts, at all versions that they know."""
        for host in self.running()[index:]:
            board = self.fabric.boards[host]
            state = board.state(stream_versions.State)
            service = stream_rig.SERVICE
            for software in sorted(
                stream_versions.recent(state, service, self.fabric.now)
            )[-2:]:
                id = self.site.begin(host, software)
                self.began_at[id] = self.fabric.now
        self.fabric.run(wait_s)

    @stateful.invariant()
    def resume(self):
        """Asks all hosts for all streams whose callers may still come."""
        now = self.fabric.now
        open_ids = [
            id
            for id, at in self.began_at.items()
            if now - at < stream_versions.KEEP_S / 2
        ][-MAX_ASKED:]
        if not open_ids:
            return
        asked = [(host, id) for host in self.running() for id in open_ids]
        is_calm = (
            self.calm_since is not None
            and now - self.calm_since > parts_rig.SETTLED_S
        )
        for (_, id), found in zip(
            asked, self.site.ask_all(asked), strict=True
        ):
            if isinstance(found, outcomes.Refused):
                assert found.reason is outcomes.Reason.STREAM_LOST
                must_know = self.began_at[id] > self.must_know_from
                assert not (is_calm and must_know), "it must be known"
            else:
                assert found == self.site.began[id], "joined from two"

    @stateful.rule(index=HOSTS, kind=strategies.sampled_from(FAULTS))
    def harm(self, index, kind):
        self.calm_since = None
        host = self.all_hosts()[index]
        if kind == "kill":
            self.fabric.kill(host)
        elif kind == "freeze" and host in self.fabric.boards:
            self.fabric.frozen.add(host)
        elif kind == "cut":
            self.cut.add(host)
            rest = set(self.all_hosts()) - {host}
            self.fabric.cut({host}, rest)
            self.fabric.cut(rest, {host})
        elif kind == "restore":
            self.site.fleet.lose_store()
        elif kind == "outage":
            self.site.fleet.store_is_down = True
        elif kind == "restart":
            self.restart_all()

    def restart_all(self):
        """All hosts lose power, and what they had no time to write is lost."""
        self.fabric.frozen.clear()
        self.fabric.cuts.clear()
        self.cut.clear()
        self.must_know_from = self.fabric.now
        self.site.restart_all()
        self.list_all()
        self.fabric.run(0.5)

    @stateful.rule()
    def heal(self):
        self.fabric.cuts.clear()
        self.cut.clear()
        self.fabric.frozen.clear()
        self.site.fleet.store_is_down = False
        missing = [h for h in self.all_hosts() if h not in self.fabric.boards]
        if missing:
            self.site.fleet.start(missing, int(self.fabric.now))
        self.list_all()
        self.fabric.run(parts_rig.SETTLED_S)
        self.calm_since = self.fabric.now
        self.must_know_from = self.fabric.now


Streams.TestCase.settings = hypothesis.settings(
    max_examples=40,
    stateful_step_count=25,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
    derandomize=True,
)
TestStreams = Streams.TestCase
