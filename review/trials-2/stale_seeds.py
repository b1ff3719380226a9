"""LIMIT and QUOTA with stale seeds; a trial, see REPORT-2.md.

Arguments: limit or quota. TROUBLE=0 has seeds that are up.
"""

import os
import pathlib
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
GONE = ("127.0.1.201", "127.0.1.202", "127.0.1.203")
LIMIT = 10.0  # requests a second, as the replica names it
RATE = BURST = 30_000.0  # tokens of the tenant
PLAIN = 1_000  # tokens of a request
SLACK = 120_000
QUOTA = {
    "contracts": sites.CONTRACTS + ",tenants,quota",
    "bounds.quota_window_s": "8",
    "bounds.quota_overage": "0.1",
    "bounds.quota_slack": str(SLACK),
    "bounds.revoke_strict": "false",
    "bounds.revoke_ms": "5000",
}


def most_in(times, seconds):
    """Returns the most of ``times`` in any span of ``seconds``."""
    return max(
        (sum(1 for at in times if a <= at <= a + seconds) for a in times),
        default=0,
    )


def main():
    """Plays the trial; returns the exit code."""
    is_limit = sys.argv[1:] == ["limit"]
    tenant = {
        "name": "t1",
        "api_keys": ["k1"],
        "unit": "tokens",
        "plain_tokens": PLAIN,
        "rate_per_s": RATE,
        "burst_size": BURST,
    }
    store = stores.Store()
    more = {} if is_limit else {"tenants": [tenant]}
    store.put("config", "main", configuration.make(**more))
    replicas = [
        replica.Replica(f"i-{n}", "ordrebok", sites.ZONES[n], "127.0.0.1")
        for n in range(1 if is_limit else 3)
    ]
    for each in replicas:
        each.work_s = 0.005
        if is_limit:
            each.extra = [("Server-Limit", str(LIMIT))]
        store.put("servers", each.name, each.entry())
    seeds = GONE if TROUBLE else None
    headers = {} if is_limit else {"Hemlockreel-Credential": "k1"}
    with sites.Site(
        store, 4 if is_limit else 10, seeds, {} if is_limit else QUOTA
    ) as site:
        # A machine that has met no other lends nothing for 10 s.
        time.sleep(12.0)
        load = client.Load(
            lambda: [each.listen["frontend"] for each in site.daemons],
            lambda: ("GET", "/stock/1", headers, None),
            80.0 if is_limit else 120.0,
            60,
        ).start()
        began = time.monotonic()
        time.sleep(16.0 if is_limit else 30.0)
        results = load.stop()
    if is_limit:
        runs = [at for at, _, _ in replicas[0].runs if at > began + 3.0]
        found, allowed = most_in(sorted(runs), 4.0), 1.5 * LIMIT * 4 + 5
    else:
        ran = {run[1] for each in replicas for run in each.runs}
        sent = sorted(each[4] for each in results if each[3] in ran)
        found = most_in(sent, 8.0) * PLAIN
        allowed = (RATE * 8 + BURST) * 1.1 + SLACK
    print(f"{found} where {allowed:.0f} are allowed")
    return 1 if found > allowed else 0


if __name__ == "__main__":
    case.run(main)
