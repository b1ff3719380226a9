"""Machines whose seeds are stale refuse streams that go on; see claim.txt."""

import http.client
import os
import pathlib
import random
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from rig2 import case  # noqa: E402
from rig2 import client  # noqa: E402
from rig2 import configuration  # noqa: E402
from rig2 import link  # noqa: E402
from rig2 import replica  # noqa: E402
from rig2 import site as sites  # noqa: E402
from rig2 import store as stores  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MACHINES = 4
# Machines that were removed for good: nothing listens there.
GONE = ("127.0.1.201", "127.0.1.202", "127.0.1.203")
# The system has run before: its first machines are gone by now.
LATER = {"bootstrap": "false"}
STREAMS = 40
EVERY_S = 0.6
CUT_AFTER = 8  # events
RETRIES = 1  # of a client, as on the sheets


def read_events(answer, most):
    """Returns the ids of up to ``most`` events, and whether it broke."""
    found = []
    try:
        while len(found) < most:
            line = answer.readline()
            if not line:
                return found, False
            if line.startswith(b"id:"):
                found.append(int(line[3:]))
            if not line.strip() and len(found) >= most:
                return found, False
    except (OSError, http.client.HTTPException):
        return found, True
    return found, False


def begin(address, headers):
    """Sends a stream request; returns its id, channel, status, answer."""
    request_id = client.new_id()
    host, _, port = address.rpartition(":")
    channel = http.client.HTTPConnection(host, int(port), timeout=5)
    given = {
        "Host": sites.HOST,
        "Hemlockreel-Request-Id": request_id,
        "Hemlockreel-Deadline-Ms": "14004",
        "Hemlockreel-Model": "m",
        "Hemlockreel-Token-Counts": "5200,70",
        "Hemlockreel-Prompt-Prefix": f"5c1e07a2:200,{request_id[:8]}:5000",
        **headers,
    }
    try:
        channel.request("POST", "/review/1", body=b"{}", headers=given)
        answer = channel.getresponse()
        return request_id, channel, answer.status, answer
    except (OSError, http.client.HTTPException):
        return request_id, channel, None, None


class Play:
    """The streams of all clients."""

    def __init__(self, site):
        self.site = site
        self.lines = []
        self.begun = 0
        self.taken_up = 0
        self.gone_on = 0
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def note(self, text):
        """Adds a line to the record."""
        with self.lock:
            at = time.monotonic() - self.began
            self.lines.append(f"{at:8.3f} s  {text}")

    def run(self):
        """Plays one stream of one client."""
        first, second = random.sample(self.site.daemons, 2)
        with link.Link(first.listen["frontend"]) as way:
            found = begin(way.address, {})
            request_id, channel, status, answer = found
            if status != 200:
                self.note(f"new {request_id} at {first.ip}: {status}")
                return
            ids, _ = read_events(answer, CUT_AFTER)
            self.note(f"new {request_id} at {first.ip}: events {ids}")
            if len(ids) < CUT_AFTER:
                return
            with self.lock:
                self.begun += 1
            way.reset()
            channel.close()
        with self.lock:
            self.taken_up += 1
        # The client takes it up on a new channel, and once more if refused.
        for _ in range(1 + RETRIES):
            more_id, channel, status, answer = begin(
                second.listen["frontend"],
                {"Last-Event-Id": str(ids[-1]), "Resumes": request_id},
            )
            if status == 200:
                more, _ = read_events(answer, 3)
                channel.close()
                self.note(
                    f"{more_id} takes up {request_id} at {second.ip}: {more}"
                )
                if more[:1] == [ids[-1] + 1]:
                    with self.lock:
                        self.gone_on += 1
                return
            after = answer and answer.getheader("Retry-After")
            text = answer.read() if answer else b""
            channel.close()
            self.note(
                f"{more_id} takes up {request_id} at {second.ip}: {status} "
                f"{text!r}, Retry-After {after}"
            )
            if status != 503:
                return
            time.sleep(min(4.0, float(after or 0.1)))


def main():
    """Plays the case; returns the exit code."""
    store = stores.Store()
    store.put("config", "main", configuration.make())
    replicas = []
    for version in ("r1", "r2"):
        for stage, zone in (
            ("prefill", 0),
            ("decode", 1),
            ("decode", 2),
        ):
            name = f"i-{version}-{stage}-{zone}"
            replicas.append(
                replica.Replica(
                    name,
                    "lesar",
                    sites.ZONES[zone],
                    "127.0.0.1",
                    stage,
                    version,
                )
            )
    for each in replicas:
        store.put("servers", each.name, each.entry())
    seeds = GONE if TROUBLE else None
    with sites.Site(store, MACHINES, seeds, LATER) as site:
        time.sleep(10.0)
        play = Play(site)
        threads = []
        for _ in range(STREAMS):
            thread = threading.Thread(target=play.run, daemon=True)
            thread.start()
            threads.append(thread)
            time.sleep(EVERY_S)
        for thread in threads:
            thread.join(15)
    new_share = play.begun / STREAMS
    share = play.gone_on / max(play.taken_up, 1)
    summary = (
        f"{play.begun} of {STREAMS} new streams began; {play.gone_on} of "
        f"{play.taken_up} that clients took up again went on"
    )
    HERE.joinpath("record.txt").write_text(
        "\n".join([summary, *play.lines, ""])
    )
    print(summary)
    if play.taken_up < 12:
        print("the case can't run: too few streams")
        return 2
    return 1 if share < new_share / 2 else 0


if __name__ == "__main__":
    case.run(main)
