"""Blame for a part of prompts beside faults in any order, as a model check.

Prompts with a crashing part and sound ones come all the time, while hosts are
killed, frozen and cut off, messages and the store's objects are lost, and
streams are cut at engines that go on running. What is true is kept here:
which part crashes engines, and which hosts had a fault of their own.
"""

import math

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from hemlockreel_standins import forwarding_rig as rigs
from hemlockreel_standins import parts_rig

from hemlockreel.forwarding import block_records
from hemlockreel.forwarding import blocked_parts
from hemlockreel.forwarding import crash_evidence
from hemlockreel.forwarding import instances

HOST_COUNT = 7
ENGINE_COUNT = 4
HOSTS = strategies.integers(0, HOST_COUNT - 1)
FIRST = "first"
SOUND = ("sound0", "sound1", "sound2")
RARE = "rare"  # sound, but no answer on it has been complete for long
STEP_S = 0.25
BAD_PERIOD_S = 0.75
RESTART_S = 1.5
ANSWER_S = 1.0
# The entry of a replica that crashed disappears after this.
ENTRY_S = 4.0
COUNTED_CRASHES = 5  # after which no more than three prompts are sent
COUNTED_REQUEST_CRASHES = 3  # the same for one request
MAX_LATE = 3
# A block that rests on cut streams ends when the replicas are still listed.
MAX_SOUND_BLOCK_S = crash_evidence.DISPROOF_S + 2 * blocked_parts.PERIOD_S


class Blame(stateful.RuleBasedStateMachine):
    """Hosts that judge parts, and engines that crash on one of them."""

    def __init__(self):
        super().__init__()
        self.fleet = parts_rig.Fleet(HOST_COUNT)
        self.number = 0
        self.engines = [self.new_engine() for _ in range(ENGINE_COUNT)]
        self.up_at = [0.0] * ENGINE_COUNT
        self.gone_at = {}
        self.epochs = dict.fromkeys(self.fleet.hosts, 1)
        self.troubled_until = dict.fromkeys(self.fleet.hosts, 0.0)
        self.bad = "bad0"
        self.crashes = []
        self.late = 0
        # Answers that the next crashes cut, on parts that nobody else has.
        self.beside = []
        self.quiet_parts = []
        self.next_bad_at = 5.0
        self.refused_since = {}
        self.rare_cut_at = -math.inf
        self.is_rare_crashed = False
        self.turn = 0
        self.list_engines()

    # What is true

    def new_engine(self):
        self.number += 1
        name = f"d{self.number}"
        return rigs.engine(name, "decode")._replace(born=self.number)

    def list_engines(self):
        """Shows all hosts the engines, and those that crashed just now."""
        now = self.fleet.fabric.now
        for each, at in list(self.gone_at.items()):
            if at <= now:
                del self.gone_at[each]
        listed = (*self.engines, *self.gone_at)
        for host in self.fleet.fabric.boards:
            event = instances.InstancesListed(listed)
            self.fleet.fabric.post(host, event)

    def is_in_touch(self, host):
        fabric = self.fleet.fabric
        return (
            host in fabric.boards
            and host not in fabric.frozen
            and not any(host in pair for pair in fabric.cuts)
            and not fabric.loss
            and self.troubled_until[host] <= fabric.now
        )

    def trouble(self, *hosts):
        for host in hosts:
            until = self.fleet.fabric.now + parts_rig.SETTLED_S
            self.troubled_until[host] = until

    # Traffic

    def pass_time(self, steps):
        for _ in range(steps):
            self.turn += 1
            fabric = self.fleet.fabric
            fabric.run(STEP_S)
            for number, at in enumerate(self.up_at):
                if fabric.now - STEP_S < at <= fabric.now:
                    self.engines[number] = self.new_engine()
                    self.list_engines()
            if self.gone_at and min(self.gone_at.values()) <= fabric.now:
                self.list_engines()
            host = self.fleet.hosts[self.turn % HOST_COUNT]
            if host in fabric.boards and host not in fabric.frozen:
                self.send_sound(host)
                if fabric.now >= self.next_bad_at:
                    self.next_bad_at = fabric.now + BAD_PERIOD_S
                    self.send_bad(host)

    def send_sound(self, host):
        part = SOUND[self.turn % len(SOUND)]
        self.check_sound(host, part)
        for each in self.untried_parts():
            self.check_sound(host, each)
        now = self.fleet.fabric.now
        is_up = self.up_at[self.turn % ENGINE_COUNT] <= now - ANSWER_S
        if is_up and host not in self.fleet.blocking(FIRST, part):
            done = blocked_parts.RunCompleted("lesar", (FIRST, part), ANSWER_S)
            self.fleet.fabric.post(host, done)

    def untried_parts(self):
        """Returns sound parts on which no answer has been complete."""
        rare = [] if self.is_rare_crashed else [RARE]
        return [*self.quiet_parts, *rare]

    def check_sound(self, host, part):
        now = self.fleet.fabric.now
        if host in self.fleet.blocking(FIRST, part):
            since = self.refused_since.setdefault((host, part), now)
            in_touch_s = now - max(since, self.troubled_until[host])
            if self.is_in_touch(host):
                assert in_touch_s <= MAX_SOUND_BLOCK_S, "a sound part"
        else:
            self.refused_since.pop((host, part), None)

    def send_bad(self, host):
        now = self.fleet.fabric.now
        engine = next(
            (each for each in range(ENGINE_COUNT) if self.up_at[each] <= now),
            None,
        )
        if engine is None or host in self.fleet.blocking(FIRST, self.bad):
            return
        if self.is_in_touch(host):
            self.crashes.append(now)
            is_request = self.bad.startswith(crash_evidence.REQUEST_PREFIX)
            counted = (
                COUNTED_REQUEST_CRASHES if is_request else COUNTED_CRASHES
            )
            known = self.crashes[:counted]
            if len(known) == counted:
                self.late += now > known[-1] + parts_rig.SETTLED_S
        assert self.late <= MAX_LATE, "after the counted crashes"
        # An engine that ends soon after it was cut off can't be cleared.
        if now - self.rare_cut_at < MAX_SOUND_BLOCK_S:
            self.is_rare_crashed = True
        self.up_at[engine] = now + RESTART_S
        self.gone_at[self.engines[engine]] = now + ENTRY_S
        self.break_runs(host, engine, (self.bad, *SOUND))
        for part, request in [each.pop() for each in self.beside if each]:
            self.break_runs(host, engine, (part,), request)

    def break_runs(self, host, engine, parts, request=""):
        """Cuts young answers on ``parts`` at ``host`` and the next hosts."""
        first = self.fleet.hosts.index(host)
        for number, part in enumerate(parts):
            at = self.fleet.hosts[(first + number) % HOST_COUNT]
            broken = blocked_parts.RunBroken(
                "lesar", request or f"{part}-{self.turn}",
                self.engines[engine].id, self.engines[engine].born,
                (FIRST, part), 0.1,
            )  # fmt: skip
            if at in self.fleet.fabric.boards:
                self.fleet.fabric.post(at, broken)

    @stateful.rule(steps=strategies.sampled_from([1, 4, 16, 60]))
    def run(self, steps):
        self.pass_time(steps)

    @stateful.rule()
    def crash_on_another_part(self):
        self.number += 1
        self.bad = f"bad{self.number}"
        self.crashes, self.late = [], 0

    @stateful.rule()
    def crash_on_a_request(self):
        """The same request comes again, and crashes what runs it."""
        self.number += 1
        self.bad = f"{crash_evidence.REQUEST_PREFIX}{self.number}"
        self.crashes, self.late = [], 0

    @stateful.rule(is_one=strategies.booleans())
    def cut_beside_crashes(self, is_one):
        """Two crashes cut two requests with a part, or four the same one."""
        self.number += 1
        part = f"part{self.number}"
        self.quiet_parts.append(part)
        requests = ["same"] * 4 if is_one else ["r1", "r2"]
        self.beside.append([(part, each) for each in requests])

    # Faults

    @stateful.rule(index=HOSTS, engine=strategies.integers(0, 3))
    def cut_streams(self, index, engine):
        if self.up_at[engine] <= self.fleet.fabric.now:
            self.break_runs(self.fleet.hosts[index], engine, (RARE, *SOUND))
            self.rare_cut_at = self.fleet.fabric.now

    @stateful.rule(index=HOSTS)
    def restart(self, index):
        host = self.fleet.hosts[index]
        self.epochs[host] += 1
        self.fleet.fabric.frozen.discard(host)
        self.fleet.fabric.add(
            host, seeds=tuple(self.fleet.hosts[:3]), epoch=self.epochs[host]
        )
        self.list_engines()
        self.trouble(host)

    @stateful.rule(index=HOSTS)
    def kill(self, index):
        self.fleet.fabric.kill(self.fleet.hosts[index])

    @stateful.rule(index=HOSTS)
    def freeze(self, index):
        if self.fleet.hosts[index] in self.fleet.fabric.boards:
            self.fleet.fabric.frozen.add(self.fleet.hosts[index])

    @stateful.rule(index=HOSTS)
    def cut_off(self, index):
        alone = {self.fleet.hosts[index]}
        rest = set(self.fleet.hosts) - alone
        self.fleet.fabric.cut(alone, rest)
        self.fleet.fabric.cut(rest, alone)

    @stateful.rule()
    def lose_messages(self):
        self.fleet.fabric.loss = 0.3

    @stateful.rule()
    def lose_store(self):
        self.fleet.lose_store()

    @stateful.rule()
    def restart_all(self):
        """All hosts end at once, and the store has what they blocked."""
        before = self.saved_parts()
        for index in range(HOST_COUNT):
            self.restart(index)
        self.fleet.fabric.run(parts_rig.SETTLED_S)
        if not self.fleet.fabric.cuts and not self.fleet.fabric.loss:
            for part in before:
                assert self.fleet.blocking(part) == set(self.fleet.hosts)

    def saved_parts(self):
        """Returns the blocked parts in the store."""
        return {
            each["part"]
            for path, found in self.fleet.objects.items()
            if block_records.KIND in path
            for each in found["value"]["parts"]
        }

    @stateful.rule()
    def heal(self):
        fabric = self.fleet.fabric
        self.trouble(*(h for h in self.fleet.hosts if not self.is_in_touch(h)))
        fabric.cuts.clear()
        fabric.frozen.clear()
        fabric.loss = 0.0
        for index, host in enumerate(self.fleet.hosts):
            if host not in fabric.boards:
                self.restart(index)

    @stateful.rule()
    def agree(self):
        """Without faults all hosts block the crashing part, and no other."""
        self.heal()
        self.pass_time(80)
        assert self.fleet.blocking(FIRST, self.bad) == set(self.fleet.hosts)
        assert self.bad in self.saved_parts()
        for part in (FIRST, *SOUND, *self.untried_parts()):
            assert not self.fleet.blocking(part)


Blame.TestCase.settings = hypothesis.settings(
    max_examples=12,
    stateful_step_count=14,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
    derandomize=True,
)
TestBlame = Blame.TestCase
