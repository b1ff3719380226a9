"""Tests the operators' command line against the stand-in of the store."""

import io
import json

import pytest

from hemlockreel_ctl import errors
from hemlockreel_platform import show
from hemlockreel_standins import platform_site
from hemlockreel_standins import platform_store
from hemlockreel_standins import processes
from hemlockreel_standins import server

CONFIG = platform_site.configuration(version=4)
ENGINE = {
    "service": "lesar",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 16,
    "state": "ready",
    "stage": "decode",
}


@pytest.fixture
def stand_in():
    store = platform_store.Store()
    store.put("config", "main", CONFIG)
    store.put("servers", "i-1", ENGINE)
    store.put("servers", "i-2", {**ENGINE, "state": "draining"})
    store.put("servers", "i-3", {**ENGINE, "stage": "prefill"})
    store.put("servers", "i-bad", {"service": 5})
    yield store
    store.closing.set()


@pytest.fixture
def address(stand_in):
    return server.start(stand_in)


def run(address, *arguments):
    out = io.StringIO()
    code = show.main([*arguments, "--store", address], out)
    return code, out.getvalue()


def test_status_counts_the_replicas_of_each_stage(address):
    code, text = run(address, "status")
    assert code == 0
    version = CONFIG["version"]
    lines = [line.split() for line in text.splitlines()]
    assert lines[0] == ["deployment:", str(version)]
    assert ["lesar", "decode", "1", "1"] in lines
    assert ["lesar", "prefill", "1", "0"] in lines


def test_each_valid_replica_has_a_line(address):
    _, text = run(address, "replicas")
    assert [line.split()[0] for line in text.splitlines()[1:]] == [
        "i-1",
        "i-2",
        "i-3",
    ]


def test_each_route_has_a_line(address):
    _, text = run(address, "routes")
    names = [line.split()[0] for line in text.splitlines()[1:]]
    assert names == [each["name"] for each in CONFIG["routes"]]


def test_json_contains_deployment_and_replicas(address):
    _, text = run(address, "status", "--output", "json")
    shown = json.loads(text)
    assert shown["deployment"]["version"] == CONFIG["version"]
    assert [each["stage"] for each in shown["replicas"]] == [
        "decode",
        "decode",
        "prefill",
    ]


def test_status_without_deployment_prints_none():
    empty = platform_store.Store()
    code, text = run(server.start(empty), "status")
    empty.closing.set()
    assert (code, text.splitlines()[0]) == (0, "deployment: none")


def test_unreachable_store_is_error(capsys):
    code, _ = run(f"127.0.0.1:{processes.free_port()}", "status")
    assert code == errors.ExitCode.UNAVAILABLE
    assert "can't read the deployment" in capsys.readouterr().err


def test_missing_address_is_user_error(monkeypatch, capsys):
    monkeypatch.delenv(show.STORE_VARIABLE, raising=False)
    assert show.main(["status"]) == errors.ExitCode.USER_ERROR
    assert "--store" in capsys.readouterr().err
