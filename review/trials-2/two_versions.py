"""Streams go on at another software version; a trial, see review/5."""

import http.client
import os
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from rig2 import case  # noqa: E402
from rig2 import client  # noqa: E402
from rig2 import configuration  # noqa: E402
from rig2 import replica  # noqa: E402
from rig2 import site as sites  # noqa: E402
from rig2 import store as stores  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MACHINES = 3
STREAMS = 24
DOWN_S = 0.2
# From the start of a replica until it writes its entry; it writes there
# about every 1.2 s.
REGISTERS_S = 0.3
MOST_JOINED = 2


class Stream:
    """One stream of one client, over its tries."""

    def __init__(self, site, number):
        self.site = site
        self.number = number
        self.events = []
        self.tries = []

    def run(self):
        """Reads the stream; takes it up once if it breaks off."""
        first_id = ""
        for attempt in range(2):
            machine = self.site.daemons[(self.number + attempt) % MACHINES]
            more = {}
            if self.events:
                last = str(self.events[-1][0])
                more = {"Last-Event-Id": last, "Resumes": first_id}
            request_id, status, is_whole = self._read(machine, more)
            self.tries.append((request_id, machine.ip, status, is_whole))
            first_id = first_id or request_id
            if is_whole or status not in (200, 503, None):
                return

    def _read(self, machine, more):
        request_id = client.new_id()
        host, _, port = machine.listen["frontend"].rpartition(":")
        link = http.client.HTTPConnection(host, int(port), timeout=5)
        given = {
            "Host": sites.HOST,
            "Hemlockreel-Request-Id": request_id,
            "Hemlockreel-Deadline-Ms": "14004",
            "Hemlockreel-Model": "m",
            "Hemlockreel-Token-Counts": "5200,70",
            "Hemlockreel-Prompt-Prefix": f"5c1e07a2:200,{request_id}:5000",
            **more,
        }
        status = None
        try:
            link.request("POST", "/review/1", body=b"{}", headers=given)
            answer = link.getresponse()
            status = answer.status
            if status != 200:
                answer.read()
                return request_id, status, False
            number = None
            while line := answer.readline():
                if line.startswith(b"id:"):
                    number = int(line[3:])
                elif line.startswith(b"data:"):
                    self.events.append((number, line[5:].strip().decode()))
            return request_id, status, True
        except (OSError, http.client.HTTPException):
            return request_id, status, False
        finally:
            link.close()


def start_again(store, found):
    """Replaces the software of a replica: it ends and starts again."""
    found.close()
    time.sleep(DOWN_S)
    found.start_again("r2")
    time.sleep(REGISTERS_S)
    store.put("servers", found.name, found.entry())


def main():
    """Plays the case; returns the exit code."""
    store = stores.Store()
    store.put("config", "main", configuration.make())
    replicas = [
        replica.Replica(
            f"i-{stage}-{zone}",
            "lesar",
            sites.ZONES[zone],
            "127.0.0.1",
            stage,
            "r1",
        )
        for stage, zone in (("prefill", 0), ("decode", 1), ("decode", 2))
    ]
    for each in replicas:
        store.put("servers", each.name, each.entry())
    with sites.Site(store, MACHINES) as site:
        time.sleep(4.0)
        began = time.monotonic()
        streams = [Stream(site, number) for number in range(STREAMS)]
        threads = [threading.Thread(target=each.run) for each in streams]
        for each in threads:
            each.start()
            time.sleep(0.03)
        time.sleep(0.3)
        if TROUBLE:
            ends = [
                threading.Thread(target=start_again, args=(store, each))
                for each in replicas
                if each.stage == "decode"
            ]
            for each in ends:
                each.start()
        for each in threads:
            each.join(20)
    joined = []
    lines = []
    for each in streams:
        versions = sorted({version for _, version in each.events})
        lines.append(
            f"stream {each.number}: tries {each.tries}, versions {versions}, "
            f"events {each.events}"
        )
        if len(versions) > 1:
            joined.append(each)
    for each in replicas:
        for at, request_id, path in each.runs:
            lines.append(
                f"{at - began:8.3f} s  {each.name} runs {request_id} {path}"
            )
    summary = (
        f"{len(joined)} of {STREAMS} streams hold events from replicas of "
        "two software versions"
    )
    HERE.joinpath("two_versions.record.txt").write_text(
        "\n".join([summary, *lines, ""])
    )
    print(summary)
    return 1 if len(joined) > MOST_JOINED else 0


if __name__ == "__main__":
    case.run(main)
