"""A host that holds the lease for stage assignment, on a simulated clock."""

from hemlockreel import actions
from hemlockreel import core
from hemlockreel import events
from hemlockreel import leader

from hemlockreel.forwarding import active_deployment
from hemlockreel.forwarding import deployments
from hemlockreel.forwarding import instances

from . import forwarding_rig as rigs
from . import helper

DEPLOYMENT = deployments.Deployment(1, (rigs.ROUTE,), {"lesar": rigs.SERVICE})


class Holder:
    """Steps the forwarding controllers of the lease holder."""

    def __init__(self, *listed):
        self.board = helper.make_board()
        self.now = 0.0
        self.seen = []
        self.post(active_deployment.DeploymentRead(DEPLOYMENT))
        self.post(instances.InstancesListed(listed))

    def post(self, event):
        """Handles an event; calls to engines get immediate responses."""
        found = core.step(
            self.board, event, self.now, core.FORWARDING_CONTROLLERS
        )
        self.seen.extend(found)
        for action in found:
            if isinstance(action, actions.CallEngine):
                self.post(self.answer(action))

    def answer(self, action):
        """Returns the response of an idle engine."""
        body = {"busy": False, "orders": 0}
        status = 200 if action.operation == "load" else 202
        return events.EngineResponded(
            action.call_id, action.address, action.operation, status, body
        )

    def pass_time(self, seconds, hold=True):
        """Advances the clock in ticks of 0.1 s.

        With ``hold`` the lease is renewed at each tick.
        """
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            if hold:
                state = self.board.state(leader.State)
                state.lease_version, state.lease_until = 5, self.now + 8.0
                state.next_call = self.now + 1.0
            self.post(events.Tick())

    def orders(self):
        """Returns the orders that were sent, as pairs (replica, stage)."""
        return [
            (action.instance, action.body["stage"])
            for action in self.seen
            if isinstance(action, actions.CallEngine)
            and action.operation == "orders"
        ]
