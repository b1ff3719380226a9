"""What callers hold together: who gives way, and who never does."""

import socket

import pytest

from hemlockreel_daemon import caller_limits
from hemlockreel_daemon import caller_memory
from hemlockreel_daemon import clock

MB = 2**20


class Listener:
    timeout = 15.0


class Callers:
    """An account and connections to it, at a time that the test sets."""

    def __init__(self, connections=100):
        self.now = 0.0
        self.reported = []
        self.account = caller_memory.Account(
            caller_limits.Limits(10 * MB, connections, body_s=30.0),
            self.reported.append,
        )
        self.listener = Listener()
        self.opened = []

    def open(self):
        ours, theirs = socket.socketpair()
        self.opened += [ours, theirs]
        return self.account.admit(ours, self.listener)

    def read(self, size, at=None):
        """Returns a caller of whose request ``size`` bytes were received."""
        self.now = self.now if at is None else at
        found = self.open()
        found.begin()
        found.resize(size)
        return found


@pytest.fixture
def callers(monkeypatch):
    made = Callers()
    monkeypatch.setattr(clock, "now", lambda: made.now)
    yield made
    for each in made.opened:
        each.close()


def limit_of(caller):
    return caller.ended and caller.ended.limit


def test_silent_caller_gives_way_before_a_larger_one(callers):
    silent = callers.read(3 * MB, at=0.0)
    callers.now = 2.0
    large = callers.read(6 * MB)
    callers.read(2 * MB)
    assert limit_of(silent) == "memory"
    assert large.ended is None
    assert callers.reported == ["memory"]


def test_largest_request_gives_way_if_none_is_silent(callers):
    small, large = callers.read(2 * MB), callers.read(6 * MB)
    callers.read(3 * MB)
    assert (small.ended, limit_of(large)) == (None, "memory")
    with pytest.raises(caller_limits.Refused) as found:
        large.note_bytes()
    assert found.value.status == 503


def test_request_that_runs_never_gives_way(callers):
    runs = callers.read(9 * MB)
    runs.begin_run()
    callers.now = 5.0
    with pytest.raises(caller_limits.Refused):
        callers.read(4 * MB)
    assert runs.ended is None
    assert not runs.end(caller_limits.Refused(408, "time", ""))


def test_unread_answers_count_and_the_slowest_caller_gives_way(callers):
    slow = callers.open()
    slow.begin()
    slow.begin_run()
    slow.begin_write(8 * MB)
    callers.now = 0.9
    with pytest.raises(caller_limits.Refused):
        callers.read(4 * MB)
    callers.now = 1.1
    other = callers.read(4 * MB)
    assert (limit_of(slow), other.ended) == ("memory", None)


def test_many_connections_leave_less_for_requests(callers):
    for _ in range(90):
        callers.open()
    with pytest.raises(caller_limits.Refused):
        callers.read(10 * MB - 80 * caller_memory.CONNECTION_BYTES)


def test_memory_is_given_back_at_the_end_of_a_request(callers):
    found = callers.read(9 * MB)
    found.finish()
    assert callers.account.budget.total == 0
    assert callers.read(9 * MB).ended is None
    callers.account.leave(found)


def test_oldest_idle_connection_makes_way_for_a_new_one(callers):
    callers.account.limits = caller_limits.Limits(10 * MB, 3)
    first, second = callers.open(), callers.open()
    callers.now = 1.0
    first.begin()
    first.finish()
    callers.open()
    callers.open()
    assert (first.ended, limit_of(second)) == (None, "connections")


def test_connection_is_turned_away_while_requests_run_on_all(callers):
    callers.account.limits = caller_limits.Limits(10 * MB, 2)
    for _ in range(2):
        each = callers.open()
        each.begin()
        each.begin_run()
    with pytest.raises(ConnectionAbortedError):
        callers.open()
    assert callers.reported == ["connections"]


def test_late_heads_and_bodies_are_ended(callers):
    head, body = callers.read(1, at=0.0), callers.read(1)
    body.begin_body()
    callers.now = callers.account.head_s
    callers.account.sweep()
    assert (head.ended, body.ended) == (None, None)
    callers.now += 0.1
    callers.account.sweep()
    assert (limit_of(head), body.ended) == ("time", None)
    callers.now = 30.1
    callers.account.sweep()
    assert limit_of(body) == "time"


def test_silent_callers_free_threads_for_others_of_their_listener(callers):
    waiting = 1
    callers.account.add_listener(callers.listener, lambda: waiting)
    silent, slow = callers.read(1, at=0.0), callers.read(1)
    callers.now = 0.4
    callers.account.sweep()
    assert (silent.ended, slow.ended) == (None, None)
    callers.now = 1.1
    slow.note_bytes()
    callers.account.sweep()
    assert (limit_of(silent), slow.ended) == ("threads", None)
    callers.account.sweep()
    assert limit_of(slow) == "threads"
    other = callers.read(1)
    other.begin_run()
    callers.now = 9.0
    callers.account.sweep()
    assert other.ended is None


def test_connection_whose_bytes_wait_is_not_the_silent_one(callers):
    callers.account.limits = caller_limits.Limits(10 * MB, 2)
    early = callers.open()
    callers.opened[1].sendall(b"GET / HTTP/1.1\r\n")
    callers.now = 1.0
    silent = callers.open()
    callers.open()
    assert (early.ended, limit_of(silent)) == (None, "connections")


def test_request_that_arrives_gives_way_if_it_pauses(callers):
    callers.account.limits = caller_limits.Limits(10 * MB, 2)
    paused, queued = callers.read(1), callers.open()
    assert queued.queue()
    callers.now = caller_memory.PAUSE_S + 0.01
    callers.open()
    assert (limit_of(paused), queued.ended) == ("connections", None)


def serve(caller, count):
    for _ in range(count):
        caller.begin()
        caller.begin_run()
        caller.finish()


def test_caller_of_many_requests_in_a_row_is_the_last_served(callers):
    """An ordinary caller comes while pipelines use all connections."""
    callers.account.limits = caller_limits.Limits(10 * MB, 2)
    one, many = callers.open(), callers.open()
    for each, count in ((one, 1), (many, 20)):
        serve(each, count)
        each.begin()
        each.begin_run()
    new = callers.open()
    assert (one.retires, many.retires, new.ended) == (False, True, None)
    assert many.ended is None
    assert callers.reported == ["connections"]


def test_next_request_of_a_pipeline_is_not_read_if_it_waits(callers):
    callers.account.limits = caller_limits.Limits(10 * MB, 1)
    many = callers.open()
    serve(many, 20)
    assert many.queue()
    callers.open()
    assert limit_of(many) == "connections"
    assert not many.begin()


def test_unread_answer_makes_way_for_connections_and_threads(callers):
    callers.account.limits = caller_limits.Limits(10 * MB, 2)
    slow, unread = callers.open(), callers.open()
    for each in (slow, unread):
        each.begin()
        each.begin_run()
        each.begin_write(1)
    callers.now = 1.1
    slow.note_written()
    callers.account.add_listener(callers.listener, lambda: 2)
    callers.account.sweep()
    assert (slow.ended, limit_of(unread)) == (None, "threads")
    callers.account.leave(unread)
    callers.now = 2.2
    assert callers.open().queue()
    callers.open()
    assert limit_of(slow) == "connections"


def test_connection_that_is_turned_away_gets_an_answer(callers):
    callers.account.limits = caller_limits.Limits(10 * MB, 1)
    found = callers.open()
    found.begin()
    found.begin_run()
    with pytest.raises(ConnectionAbortedError):
        callers.open()
    answer = callers.opened[-1].recv(1000)
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After: 1\r\n" in answer


def test_answer_has_room_that_was_kept_before_its_request_ran(callers):
    """Callers read slowly while others send, as in review/7."""
    runs = callers.read(4 * MB)
    runs.held = 4 * MB
    runs.begin_run()
    runs.reserve(4 * MB)
    with pytest.raises(caller_limits.Refused):
        callers.read(3 * MB)
    runs.begin_write(4 * MB)
    assert runs.ended is None


def test_request_without_room_for_its_answer_does_not_run(callers):
    slow = callers.read(MB)
    slow.begin_run()
    slow.begin_write(8 * MB)
    found = callers.read(MB)
    found.held = MB
    found.begin_run()
    with pytest.raises(caller_limits.Refused) as refused:
        found.reserve(4 * MB)
    assert refused.value.status == 503
    assert callers.reported == ["memory"]
    found.begin_write(100)
    assert (found.ended, slow.ended) == (None, None)
