"""Usage caps over all hosts: load, failures of hosts and links, any order."""

import pytest

from hemlockreel import actions
from hemlockreel import core
from hemlockreel import membership
from hemlockreel import messages
from hemlockreel import outcomes
from hemlockreel import probes
from hemlockreel import process_pauses
from hemlockreel_standins import fabric

from hemlockreel.forwarding import active_deployment
from hemlockreel.forwarding import deployments
from hemlockreel.forwarding import organisations
from hemlockreel.forwarding import usage_accounts
from hemlockreel.forwarding import usage_bounds
from hemlockreel.forwarding import usage_caps
from hemlockreel.forwarding import usage_lending

CONTROLLERS = (
    process_pauses,
    membership,
    probes,
    active_deployment,
    usage_lending,
    usage_caps,
)
NAME = "fjellpulver"
LIMITS = usage_bounds.UsageLimits(8.0, 0.1, 120_000.0)
TOKENS = organisations.Unit.TOKENS
CAP = organisations.UsageCap(29_000.0, 29_000.0, TOKENS, 200)
LARGE, SMALL = 3270, 200  # of the grown site's streams and plain requests
SMALL_SHARE = 0.9  # of the requests


class Fleet:
    """Hosts on a simulated network whose requests count towards a cap."""

    def __init__(self, hosts, cap=CAP, limits=LIMITS, seed=1, settle_s=4.0):
        self.fabric = fabric.Fabric(seed)
        self.fabric.step = lambda board, event, now: core.step(
            board, event, now, CONTROLLERS
        )
        self.fabric.call = self._note
        self.limits = limits
        self.costs = {}
        self.used = []
        self.refused = []
        self.version = 0
        self.caps = {}
        self.allowed = 0.0
        self.hosts = [f"10.0.0.{number}:9" for number in range(hosts)]
        self.configure(cap)
        for host in self.hosts:
            self.start(host)
        self.fabric.run(settle_s)

    def start(self, host, epoch=1):
        board = self.fabric.add(host, seeds=tuple(self.hosts[:3]), epoch=epoch)
        board.state(usage_lending.State).limits = self.limits
        self._tell(host)

    def _tell(self, host):
        holder = organisations.Organisation(NAME, (), cap=self.cap)
        found = deployments.Deployment(
            self.version, (), {}, organisations=(holder,)
        )
        self.fabric.post(host, active_deployment.DeploymentRead(found))

    def configure(self, cap, hosts=()):
        self.cap = cap
        self.version += 1
        self.allowed = max(
            self.allowed, usage_bounds.allowed(self.limits, cap)
        )
        for host in hosts or self.fabric.boards:
            self._tell(host)

    def _note(self, host, action):
        if not isinstance(action, actions.Reply):
            return
        cost = self.costs.pop(action.request_id)
        if isinstance(action.value, usage_caps.Allowed):
            self.used.append((self.fabric.now, cost))
        else:
            self.refused.append((cost, action.value))

    def ask(self, host, cost):
        number = f"r{len(self.used)}-{len(self.refused)}-{len(self.costs)}"
        number += f"-{self.fabric.now}-{host}"
        self.costs[number] = cost
        asked = usage_caps.UsageRequested(number, NAME, cost)
        self.fabric.post(host, asked)

    def demand(self, seconds, tokens_per_s, hosts=None):
        """Has requests of both sizes at random hosts."""
        rng = self.fabric.rng
        mean = SMALL_SHARE * SMALL + (1 - SMALL_SHARE) * LARGE
        ends_at = self.fabric.now + seconds
        while self.fabric.now < ends_at:
            self.fabric.run(rng.expovariate(tokens_per_s / mean))
            running = [
                each
                for each in hosts or self.fabric.boards
                if each in self.fabric.boards
                and each not in self.fabric.frozen
            ]
            if running:
                small = rng.random() < SMALL_SHARE
                self.ask(rng.choice(running), SMALL if small else LARGE)

    def most(self):
        """Returns the most that was used in one window."""
        found, total, first = 0.0, 0.0, 0
        times = sorted(self.used)
        for at, cost in times:
            total += cost
            while times[first][0] <= at - self.limits.window_s:
                total -= times[first][1]
                first += 1
            found = max(found, total)
        return found

    def sum_used(self):
        return sum(cost for _, cost in self.used)

    def refused_share(self):
        lost = sum(cost for cost, _ in self.refused)
        return lost / max(1.0, lost + self.sum_used())

    def lenders(self):
        board = self.fabric.boards[self.hosts[-1]]
        return usage_lending.lenders(board, NAME, self.cap)

    def forget(self):
        self.used.clear()
        self.refused.clear()


@pytest.mark.parametrize("hosts", [1, 3, 122])
def test_use_below_the_cap_is_not_refused(hosts):
    """The usual load of the grown site: a cap is 1.8 times the usual."""
    fleet = Fleet(hosts)
    fleet.demand(12.0, CAP.rate / 1.8)
    assert fleet.refused_share() < 0.01
    assert fleet.most() <= fleet.allowed


@pytest.mark.parametrize("hosts", [3, 122])
def test_a_hot_organisation_gets_its_cap_and_no_more(hosts):
    """7.5 times the usual within a second, at a few hosts that change."""
    fleet = Fleet(hosts)
    fleet.demand(6.0, CAP.rate / 1.8)
    fleet.forget()
    began = fleet.fabric.now
    for _ in range(4):
        some = fleet.fabric.rng.sample(fleet.hosts, min(hosts, 12))
        fleet.demand(3.0, 7.5 * CAP.rate / 1.8, some)
    seconds = fleet.fabric.now - began
    assert fleet.most() <= fleet.allowed
    # What is refused is above the cap, but for one in a hundred.
    assert fleet.sum_used() >= 0.99 * CAP.rate * seconds
    waits = [each.retry_after_s for _, each in fleet.refused]
    assert all(
        each.reason is outcomes.Reason.QUOTA for _, each in fleet.refused
    )
    assert all(0 < each <= 3 * LARGE / CAP.rate for each in waits)


def test_use_just_below_the_cap_is_hardly_refused():
    fleet = Fleet(122)
    fleet.demand(20.0, 0.9 * CAP.rate)
    assert fleet.refused_share() < 0.01
    assert fleet.most() <= fleet.allowed


def test_one_silent_lender_refuses_nothing_below_the_cap():
    """Until the others take it for dead, and while a new one begins."""
    fleet = Fleet(40)
    fleet.demand(4.0, CAP.rate / 1.8)
    fleet.forget()
    fleet.fabric.kill(fleet.lenders()[0])
    fleet.demand(12.0, CAP.rate / 1.8)
    assert fleet.refused_share() < 0.01
    assert fleet.most() <= fleet.allowed


def test_all_hosts_restarted_begin_with_little():
    fleet = Fleet(40)
    fleet.demand(8.0, 4 * CAP.rate)
    for epoch in (2, 3):
        for host in fleet.hosts:
            fleet.start(host, epoch)
        fleet.demand(5.0, 4 * CAP.rate)
    assert fleet.most() <= fleet.allowed
    fleet.forget()
    fleet.demand(8.0, 4 * CAP.rate)
    assert fleet.sum_used() >= 0.95 * CAP.rate * 8.0


@pytest.mark.parametrize("part", [1, 13, 20])
def test_parts_that_do_not_reach_each_other_share_the_cap(part):
    fleet = Fleet(40)
    some, rest = fleet.hosts[-part:], fleet.hosts[:-part]
    fleet.fabric.cut(some, rest)
    fleet.fabric.cut(rest, some)
    fleet.demand(20.0, 4 * CAP.rate)
    assert fleet.most() <= fleet.allowed
    fleet.forget()
    fleet.fabric.cuts.clear()
    fleet.demand(20.0, 4 * CAP.rate)
    assert fleet.most() <= fleet.allowed
    assert fleet.sum_used() >= 0.9 * CAP.rate * 20.0


def test_a_lowered_cap_holds_after_one_window_and_a_raised_one_is_used():
    fleet = Fleet(40)
    fleet.demand(6.0, 2 * CAP.rate)
    lower = CAP._replace(rate=CAP.rate / 10, burst=CAP.burst / 10)
    fleet.configure(lower)
    fleet.demand(LIMITS.window_s, 2 * CAP.rate)
    fleet.forget()
    fleet.demand(12.0, 2 * CAP.rate)
    assert fleet.most() <= usage_bounds.allowed(LIMITS, lower)
    fleet.configure(CAP)
    fleet.forget()
    fleet.demand(8.0, 2 * CAP.rate)
    assert fleet.sum_used() >= 0.99 * CAP.rate * 8.0
    assert fleet.most() <= fleet.allowed


def test_a_raised_cap_is_lent_once_while_versions_alternate():
    """One host is told; the lenders and another host are a version behind."""
    fleet = Fleet(12)
    others = [each for each in fleet.hosts if each not in fleet.lenders()]
    fleet.configure(CAP._replace(burst=4 * CAP.burst), others[:1])
    for _ in range(40):
        fleet.ask(others[0], LARGE)
        fleet.ask(others[1], LARGE)
        fleet.fabric.run(0.02)
    lent = fleet.sum_used()
    assert lent <= 4 * CAP.burst + 2 * CAP.rate


def test_a_lender_that_is_behind_keeps_the_newer_cap_when_hosts_change():
    fleet = Fleet(12)
    lenders = fleet.lenders()
    others = [each for each in fleet.hosts if each not in lenders]
    lower = CAP._replace(burst=CAP.burst / 2)
    fleet.configure(lower, others)
    for each in others[:4]:
        fleet.ask(each, LARGE)
        fleet.fabric.run(0.1)
    states = [
        fleet.fabric.boards[each].state(usage_lending.State)
        for each in lenders
    ]
    told = [each for each in states if each.lent[NAME].cap.burst < CAP.burst]
    assert told
    fleet.fabric.kill(others[-1])
    fleet.fabric.run(10.0)
    assert all(each.lent[NAME].cap.burst < CAP.burst for each in told)


@pytest.mark.parametrize("part", [1.0, 0.2, 0.1])
def test_full_lenders_together_lend_no_more_than_is_allowed(part):
    """Each host asks for a part of what is allowed in a window."""
    fleet = Fleet(12, settle_s=12.0)
    for _ in range(3):
        for host in fleet.hosts:
            fleet.ask(host, part * fleet.allowed)
        fleet.fabric.run(0.3)
    assert fleet.sum_used() <= fleet.allowed
    # What can never be lent has no time of return.
    assert all(each.retry_after_s is None for _, each in fleet.refused)


def test_a_full_lender_lends_a_request_above_its_part():
    fleet = Fleet(12, settle_s=12.0)
    number = len(fleet.lenders())
    part = usage_bounds.depth(LIMITS, CAP) / number
    for host in fleet.hosts:
        fleet.ask(host, part + 2000.0)
    fleet.fabric.run(0.3)
    assert fleet.sum_used() == number * (part + 2000.0) <= fleet.allowed


@pytest.mark.parametrize("rate", [5e3, 15e3, 29e3, 60e3, 112e3])
def test_the_largest_request_below_a_cap_is_lent(rate):
    """A prompt of 11,000 tokens with the longest answer of 9,360."""
    fleet = Fleet(12, cap=CAP._replace(rate=rate, burst=rate), settle_s=12.0)
    fleet.ask(fleet.hosts[0], 20_360.0)
    fleet.fabric.run(0.3)
    assert not fleet.refused
    assert fleet.sum_used() == 20_360.0


def test_a_loan_to_another_organisation_allows_no_request():
    fleet = Fleet(3)
    host = fleet.hosts[0]
    for lender in fleet.hosts[1:]:
        fleet.fabric.cut([host], [lender])
    state = fleet.fabric.boards[host].state(usage_caps.State)
    while not state.waiting:
        fleet.ask(host, LARGE)
        fleet.fabric.run(0.0)
    used = len(fleet.used)
    state.accounts["kvernhus"] = usage_accounts.Account()
    loans = [messages.Loan("kvernhus", LARGE, LARGE, 1.0)]
    for key, each in list(state.waiting.items()):
        lent = messages.UsageLent(
            sender=each.asked[-1], epoch=1, key=key, loans=loans
        )
        fleet.fabric.post(host, lent)
    fleet.fabric.run(0.0)
    assert len(fleet.used) == used


def test_answers_to_an_earlier_run_are_not_taken_for_others():
    keys = []
    fleet = Fleet(12)
    host = fleet.hosts[0]
    for epoch in (1, 2):
        fleet.start(host, epoch)
        fleet.fabric.sent[host].clear()
        fleet.fabric.run(4.0)
        for _ in range(20):
            fleet.ask(host, LARGE)
        fleet.fabric.run(0.5)
        keys.append(
            {
                each.message.key
                for each in fleet.fabric.sent[host]
                if isinstance(each.message, messages.UsageAsked)
            }
        )
    assert all(keys)
    assert not keys[0] & keys[1]


def test_hosts_and_organisations_that_left_are_forgotten():
    fleet = Fleet(6)
    host = fleet.hosts[0]
    state = fleet.fabric.boards[host].state(usage_caps.State)
    fleet.ask(host, LARGE)
    fleet.fabric.run(0.5)
    seen = state.accounts[NAME].seen
    for number in range(8):
        state.silent_until[f"gone{number}"] = fleet.fabric.now
        seen[f"gone{number}"] = usage_accounts.Seen(1.0, 1.0, 0.0)
    fleet.fabric.run(1.0)
    assert len(seen) <= usage_bounds.LENDERS
    assert not state.silent_until
    fleet.configure(organisations.UsageCap())
    fleet.fabric.run(LIMITS.window_s - 3.0)
    assert state.accounts
    fleet.fabric.run(4.0)
    assert not state.accounts


def test_the_last_host_has_the_whole_cap_once_others_are_forgotten():
    fleet = Fleet(3)
    for host in fleet.hosts[1:]:
        fleet.fabric.kill(host)
    fleet.fabric.run(80.0)
    fleet.demand(10.0, CAP.rate / 1.8)
    assert fleet.refused_share() < 0.01


def test_a_host_that_never_met_its_seeds_has_a_part_of_the_cap():
    fleet = Fleet(3, settle_s=0.0)
    for host in fleet.hosts[1:]:
        fleet.fabric.kill(host)
    fleet.start(fleet.hosts[0], 2)
    fleet.fabric.run(12.0)
    fleet.demand(10.0, 4 * CAP.rate)
    assert 0.9 * CAP.rate * 10 / 3 <= fleet.sum_used()
    assert fleet.sum_used() <= fleet.allowed / 2


def test_what_no_replica_ran_counts_again():
    fleet = Fleet(3)
    for _ in range(100):
        at = fleet.hosts[0]
        fleet.ask(at, LARGE)
        fleet.fabric.run(0.02)
        fleet.fabric.post(at, usage_caps.UsageUnused(NAME, LARGE, 0.01))
    fleet.fabric.run(0.5)
    assert not fleet.refused


def test_an_organisation_without_a_cap_sends_no_messages():
    fleet = Fleet(3, cap=organisations.UsageCap())
    sent = {host: len(each) for host, each in fleet.fabric.sent.items()}
    for _ in range(50):
        fleet.ask(fleet.hosts[0], LARGE)
    fleet.fabric.run(0.01)
    assert len(fleet.used) == 50
    assert sent == {
        host: len(each) for host, each in fleet.fabric.sent.items()
    }


def test_small_requests_in_calm_cost_less_than_a_message_each():
    fleet = Fleet(6)
    fleet.fabric.sent.clear()
    for _ in range(200):
        fleet.ask(fleet.hosts[0], SMALL)
        fleet.fabric.run(0.05)
    asked = [
        each
        for each in fleet.fabric.sent[fleet.hosts[0]]
        if isinstance(each.message, messages.UsageAsked)
    ]
    assert len(fleet.used) == 200
    assert len(asked) <= 50


SMALL_CAPS = (
    (CAP, LIMITS),
    (CAP._replace(rate=60_000.0, burst=30_000.0), LIMITS),
    (CAP, LIMITS._replace(slack=0.0)),
    (CAP._replace(burst=0.0), LIMITS),
)


@pytest.mark.parametrize(("cap", "limits"), SMALL_CAPS)
@pytest.mark.parametrize("seed", range(4))
def test_the_bound_holds_in_any_order_of_faults(cap, limits, seed):
    """Hosts end and freeze, links are cut and lossy, caps change."""
    fleet = Fleet(14, cap, limits, seed)
    rng, net = fleet.fabric.rng, fleet.fabric
    epoch = 1
    for _ in range(20):
        epoch += 1
        fault = rng.choice(
            ["kill", "restart", "freeze", "cut", "loss", "heal", "cap"]
        )
        some = rng.sample(fleet.hosts, rng.choice([1, 1, 2, 5]))
        rest = [each for each in fleet.hosts if each not in some]
        if fault == "kill" and len(net.boards) > 5:
            net.kill(some[0])
        elif fault == "restart":
            fleet.start(some[0], epoch)
        elif fault == "freeze":
            net.frozen = set(some[:2])
        elif fault == "cut":
            net.cut(some, rest)
            if rng.random() < 0.7:
                net.cut(rest, some)
        elif fault == "loss":
            net.loss = rng.choice([0.1, 0.5])
        elif fault == "cap":
            lower = cap._replace(rate=cap.rate * rng.choice([0.2, 1.0]))
            told = rng.sample(fleet.hosts, 7)
            fleet.configure(lower, [a for a in told if a in net.boards])
        elif fault == "heal":
            net.cuts.clear()
            net.frozen = set()
            net.loss = 0.0
        fleet.demand(rng.choice([0.2, 1.0, 3.0]), 4 * cap.rate)
    assert fleet.most() <= fleet.allowed
