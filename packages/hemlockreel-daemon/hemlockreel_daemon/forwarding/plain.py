"""Carries a request to a plain service and its whole answer back."""

from typing import NamedTuple

from hemlockreel import outcomes

from hemlockreel.forwarding import instances
from hemlockreel.forwarding import places

from .. import http_calls
from . import carrying
from . import edges

# Of the time left, for a try that another one may follow.
FIRST_TRY_SHARE = 0.6
MIN_TRY_S = 0.02
SERVER_ERROR = 500


class Answer(NamedTuple):
    """A replica's whole answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Carrier(carrying.Carrier):
    """The tries of one plain request."""

    def run(self) -> None:
        """Answers the request."""
        result = self._try_all()
        if self.box.stopped is not None:
            self.outcome = self.box.stopped.reason.value
            self.exchange.cut()
        elif isinstance(result, Answer):
            self.outcome = "answered"
            self.exchange.reply(result.status, result.headers, result.body)
        else:
            self.refuse(result)

    def _try_all(self) -> Answer | outcomes.Refused:
        """Tries until there is an answer, or another try is not allowed."""
        last: Answer | outcomes.Refused | None = None
        while self.left_s() > MIN_TRY_S and self.box.stopped is None:
            found = self.find_places(
                instances.Stage.PLAIN,
                exclude=tuple(self.tried),
                repeat=self.sent > 0,
            )
            if isinstance(found, outcomes.Refused):
                return last or found
            for instance in found.instances:
                result = self._try(instance)
                if result is not None:
                    break
            else:
                return last or outcomes.not_run(
                    outcomes.Reason.NO_BACKEND, carrying.SOON_S
                )
            last = self._better(last, result)
            if not self._may_go_on(result):
                break
            self.log("tried_again", tried=self.tried, after=str(result)[:80])
        reason = outcomes.Reason.OVERLOADED
        return last or outcomes.not_run(reason, carrying.SOON_S)

    def _better(
        self,
        last: Answer | outcomes.Refused | None,
        result: Answer | outcomes.Refused,
    ) -> Answer | outcomes.Refused:
        """Returns which of two results the caller gets."""
        if isinstance(last, Answer) and not isinstance(result, Answer):
            return last
        return result

    def _may_go_on(self, result: Answer | outcomes.Refused) -> bool:
        route = self.job.route
        if self.sent >= route.max_attempts:
            return False
        if isinstance(result, Answer):
            return result.status >= SERVER_ERROR and route.repeatable
        return result.ran is outcomes.Ran.NOT_RUN or route.repeatable

    def _try(
        self, instance: instances.Instance
    ) -> Answer | outcomes.Refused | None:
        """Sends the request to one replica, ``None`` if it can't be reached.

        What was not sent leaves no trace, so the next replica may get it.
        """
        route = self.job.route
        left_s = self.left_s()
        if left_s <= MIN_TRY_S:
            return carrying.too_late()
        if route.repeatable and self.sent + 1 < route.max_attempts:
            left_s *= FIRST_TRY_SHARE
        self.post(places.Began(instance.id))
        good: bool | None = False
        try:
            begun = self.tools.backends.send(
                instance, self.job.ask, left_s, edges.Options(), self.box
            )
            if isinstance(begun, edges.Unanswered):
                if begun.ran is edges.Ran.NOT_SENT:
                    good = None
                    if self.box.stopped is None:
                        self.post(places.Unreached(instance.id))
                    return None
                self._note_sent(instance, begun.ran)
                if begun.misplaced:
                    self.post(places.Misplaced(instance.id))
                return carrying.unanswered(begun)
            self._note_sent(instance, edges.Ran.UNKNOWN)
            result = self._read(begun)
            good = isinstance(result, Answer) and result.status < SERVER_ERROR
            return result
        finally:
            if self.box.stopped is not None:
                good = None
            self.post(places.Ended(instance.id, 0, good))

    def _note_sent(self, instance: instances.Instance, ran: edges.Ran) -> None:
        self.sent += 1
        self.tried.append(instance.id)
        self.ran = self.ran or ran is edges.Ran.UNKNOWN

    def _read(self, begun: edges.Begun) -> Answer | outcomes.Refused:
        """Returns the whole answer; a part of one is no answer."""
        try:
            with http_calls.interrupting(self.box, begun.opened.sock):
                body = begun.opened.response.read(decode_content=False)
            return Answer(begun.status, begun.headers, body)
        except http_calls.CALL_ERRORS as error:
            failed = http_calls.to_failure(error)
            return carrying.unanswered(
                edges.Unanswered(
                    edges.Ran.UNKNOWN, failed.detail, failed.timed_out
                )
            )
        finally:
            begun.opened.close()
