"""The claims of several daemons on one store, with a simulated clock.

The test decides when, in which order and with which result the calls to the
store complete.
"""

from hemlockreel import actions
from hemlockreel import board
from hemlockreel import claims
from hemlockreel import events
from hemlockreel import outcomes

from . import helper
from . import store
from . import store_calls

DOWN = {"error": "outage"}
ANSWER = outcomes.Responded(201, (("Location", "/lots/7"),), b'{"lot": 7}')
NOT_RUN = outcomes.not_run(outcomes.Reason.BACKEND_FAILED)
UNKNOWN = outcomes.may_have_run(outcomes.Reason.BACKEND_SILENT)


class Rig:
    """Daemons that step only the claims controller.

    ``calls`` are in progress; ``late`` are those that timed out at their
    daemon and can still reach the store. ``journal`` holds the request ids
    that ran, by idempotency key, and ``replies`` the replies to the workers,
    by request id.
    """

    def __init__(self, hosts=1):
        self.store = store.Store()
        self.now = 0.0
        self.epoch = 0
        self.boards = [self._board(index) for index in range(hosts)]
        self.calls = []
        self.late = []
        self.replies = {}
        self.keys = {}
        self.journal = {}

    def _board(self, index):
        self.epoch += 1
        made = helper.make_board(f"127.0.0.1:{9000 + index}")
        return board.Board(
            made.identity._replace(epoch=self.epoch), (), made.rng
        )

    def step(self, index, event):
        """Lets one daemon handle ``event``."""
        for action in claims.handle(event, self.boards[index], self.now):
            if isinstance(action, actions.CallStore):
                self.calls.append((index, self.boards[index], action))
            elif isinstance(action, actions.Reply):
                self.replies.setdefault(action.request_id, []).append(
                    action.value
                )

    def request_claim(self, request_id, index=0, key="k", fingerprint="f"):
        """Requests a claim for ``key`` at one daemon."""
        self.keys[request_id] = (index, self.boards[index], key)
        self.step(
            index, events.ClaimRequested(request_id, 1, "o", key, fingerprint)
        )

    def answer(self, position=0, how="whole"):
        """Completes one call in progress.

        With ``how`` "whole" the store executes it and responds, with "lost" it
        executes it but the response is lost, with "late" the call times out
        and can be executed later, with "down" the store responds with 503. Any
        other value: the call never reaches the store.
        """
        index, made, action = self.calls.pop(position)
        response = events.StoreResponded(action.call_id, 0, {})
        if how == "whole":
            response = store_calls.perform(self.store, action)
        elif how == "lost":
            store_calls.perform(self.store, action)
        elif how == "late":
            self.late.append(action)
        elif how == "down":
            response = events.StoreResponded(action.call_id, 503, DOWN)
        if made is self.boards[index]:
            self.step(index, response)

    def deliver_late(self, position=0):
        """Lets a call that has timed out reach the store after all."""
        store_calls.perform(self.store, self.late.pop(position))

    def settle(self, how="whole", most=50):
        """Completes up to ``most`` calls, also those that follow from them."""
        while self.calls and most:
            self.answer(0, how)
            most -= 1

    def pass_time(self, seconds, how="whole"):
        """Ticks all daemons every 0.1 s and completes their calls."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.1
            for index in range(len(self.boards)):
                self.step(index, events.Tick(1e9 + self.now))
            self.settle(how)

    def crash(self, index):
        """Replaces a daemon by a new one with empty state."""
        self.boards[index] = self._board(index)

    def may_send(self, request_id):
        """Returns whether the worker of a request holds an unused claim."""
        index, made, _ = self.keys[request_id]
        received = self.replies.get(request_id, [])
        alive = made is self.boards[index]
        return alive and [type(value) for value in received] == [
            claims.Claimed
        ]

    def run(self, request_id, outcome=ANSWER):
        """Records that the call ran and reports its outcome, as a worker does.

        A call whose outcome is ``NOT_RUN`` is not recorded.
        """
        index, _, key = self.keys[request_id]
        if outcome is not NOT_RUN:
            self.journal.setdefault(key, []).append(request_id)
        self.replies[request_id].append(outcome)
        self.step(index, events.ClaimFinished(request_id, outcome))

    def time_out(self, request_id):
        """Reports that the worker's wait for its claim timed out."""
        self.replies.setdefault(request_id, []).append(NOT_RUN)
        self.step(
            self.keys[request_id][0], events.ClaimFinished(request_id, NOT_RUN)
        )
