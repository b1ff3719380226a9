"""An entry of another writer hides the list of replicas; see claim.txt."""

import os
import pathlib
import random
import sys
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
DRAIN_S = 2.0
RECOVER_S = 12.0
# A value of another type, as deep as some writers nest theirs, and a text
# with a character that JSON may write as two escapes.
DEPTH = 600
FOREIGN = (
    '{"service":"ordrebok","state":"ready","notes":'
    + "[" * DEPTH
    + '"\\ud83d\\ude00"'
    + "]" * DEPTH
    + "}"
)
SERVES_ON_S = 10.0


def pick():
    """Returns a request of one of the two plain routes."""
    return random.choice(
        [("GET", "/stock/1", {}, None), ("POST", "/booking/1", {}, b"x")]
    )


def served(results):
    """Returns the share of ``results`` that was served."""
    good = [each for each in results if each[5] == 200]
    return len(good) / max(len(results), 1)


class Play:
    """One play, with its record."""

    def __init__(self):
        self.store = stores.Store()
        self.store.put("config", "main", configuration.make())
        self.replicas = [
            replica.Replica(f"i-{n}", "ordrebok", sites.ZONES[n], "127.0.0.1")
            for n in range(3)
        ]
        for each in self.replicas:
            self.store.put("servers", each.name, each.entry())
        self.began = time.monotonic()
        self.lines = []

    def note(self, text, at=None):
        """Adds a line to the record."""
        seconds = (at or time.monotonic()) - self.began
        self.lines.append(f"{seconds:8.3f} s  {text}")

    def load(self, site):
        """Starts to send requests."""
        return client.Load(
            lambda: [each.listen["frontend"] for each in site.daemons],
            pick,
            30.0,
        ).start()

    def note_all(self, results):
        """Records what was sent and answered."""
        for method, path, address, request_id, at, status, _ in results:
            self.note(
                f"{request_id} {method} {path} sent to {address}, "
                f"answered {status}",
                at,
            )

    def run(self):
        """Plays both parts; returns the rules that were broken."""
        with sites.Site(self.store, 2) as site:
            drain_holds = self.play_leaving(site)
            recover_holds = self.play_kill_all(site)
        for each in self.replicas:
            for at, request_id, path in each.runs:
                self.note(f"{each.name} runs {request_id} {path}", at)
        broken = [] if drain_holds else ["DRAIN"]
        return broken + ([] if recover_holds else ["RECOVER"])

    def play_leaving(self, site):
        """Has a replica leave; returns whether DRAIN held."""
        load = self.load(site)
        time.sleep(4.0)
        if TROUBLE:
            self.store.put("servers", "x-other", text=FOREIGN)
            self.note("another writer's entry x-other is in the store")
        time.sleep(6.0)
        leaving = self.replicas[0]
        leaving.state = "draining"
        confirmed = self.store.put("servers", leaving.name, leaving.entry())
        self.note(f"confirmed: {leaving.name} is draining", confirmed)
        time.sleep(SERVES_ON_S)
        self.results = load.stop()
        self.note_all(self.results)
        due = confirmed + DRAIN_S
        sent_at = {each[3]: each[4] for each in self.results}
        late = [
            at
            for at, request_id, _ in leaving.runs
            if at > due and sent_at.get(request_id, 0.0) > due
        ]
        after = [each for each in self.results if each[4] > due]
        self.summary = [
            f"DRAIN: {len(late)} of {len(after)} requests that clients sent "
            f"more than {DRAIN_S:.0f} s after the confirmation reached "
            f"{leaving.name}"
        ]
        return not late

    def play_kill_all(self, site):
        """Kills all processes; returns whether RECOVER held."""
        for each in site.daemons:
            each.stop()
        self.note("all processes were killed")
        time.sleep(1.0)
        for each in site.daemons:
            each.start_again()
        self.note("all processes were started again")
        time.sleep(RECOVER_S)
        load = self.load(site)
        time.sleep(6.0)
        results = load.stop()
        self.note_all(results)
        before, now = served(self.results), served(results)
        self.summary.append(
            f"RECOVER: served {before:.0%} of {len(self.results)} requests "
            f"before all processes were killed, and {now:.0%} of "
            f"{len(results)} sent later than {RECOVER_S:.0f} s after that"
        )
        return before < 0.25 or now >= 0.25


def main():
    """Plays the case; returns the exit code."""
    play = Play()
    broken = play.run()
    text = "\n".join([*play.summary, *sorted(play.lines), ""])
    HERE.joinpath("record.txt").write_text(text)
    print(*play.summary, f"broken: {broken}", sep="\n")
    return 1 if broken else 0


if __name__ == "__main__":
    case.run(main)
