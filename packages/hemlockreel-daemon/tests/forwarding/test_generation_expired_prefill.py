"""Prefill results that expire before a decode replica fetches them.

Every such prefill is wasted, and each further attempt uses the retry budget
that all hosts share.
"""

from hemlockreel_standins import forwarding_rig as rigs


def make_rig():
    rig = rigs.Rig(
        rigs.engine("p1", "prefill"),
        rigs.engine("d1", "decode"),
        rigs.engine("d2", "decode"),
    )

    def refuse_expired(instance, options, box):
        if options.source:
            return rigs.make_send_failure("the handle is gone")
        return rigs.make_response(b"id: 1\ndata: a\n\n")

    rig.backends.on_send = refuse_expired
    return rig


def test_the_prefill_is_not_repeated_at_a_prefill_replica():
    rig = make_rig()
    response = rig.handle_request()
    assert response.status == 200
    assert rig.backends.count("prefill") == 1
    assert rig.backends.count("decode") == 2


def test_the_next_requests_exclude_the_prefill_replica():
    rig = make_rig()
    for _ in range(10):
        assert rig.handle_request().status == 200
    assert rig.backends.count("prefill") == 1
    assert rig.backends.count("decode") == 11


def test_the_next_run_is_at_the_same_decode_replica():
    rig = make_rig()
    rig.handle_request()
    decode_ids = [
        name for kind, name, _ in rig.backends.sent if kind == "decode"
    ]
    assert decode_ids[0] == decode_ids[1]


def test_each_attempt_after_the_first_uses_the_retry_budget():
    rig = make_rig()
    rig.backends.on_send = lambda *_: rigs.make_send_failure()
    for _ in range(200):
        rig.handle_request()
    extra = rig.backends.count("prefill", "decode") - 200 - 200
    # The ratio of the requests, and the allowance of a single host.
    assert extra <= 0.2 * 200 + 100
