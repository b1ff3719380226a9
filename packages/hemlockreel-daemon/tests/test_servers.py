"""Tests of applications that are made at their first request."""

from hemlockreel_daemon import servers


def test_late_application_is_made_once_and_not_before_a_request():
    made = []

    def make():
        made.append(True)
        return lambda environ, start_response: [environ["BODY"]]

    application = servers.LateApplication(make)
    assert not made
    assert application({"BODY": b"first"}, None) == [b"first"]
    assert application({"BODY": b"second"}, None) == [b"second"]
    assert len(made) == 1
