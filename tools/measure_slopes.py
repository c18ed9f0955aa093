"""Measures the slopes that docs/CAPACITY.md is worked out from, one JSON
object a point: {"slope": NAME, "x": X, "y": Y}.

The proxy path's processor time a call, what rules cost a node in memory, and
what a change costs the operator's tool and the store.
"""

import argparse
import json
import os
import sys
import time

from fleet import Fleet

RATES = [250, 500, 1_000, 2_000]  # Calls a second.
RATE_SECONDS = 10
RULE_COUNTS = [100, 1_000, 2_500, 5_000]
START_TIMEOUT = 60


def emit(slope, x, y):
    print(json.dumps({"slope": slope, "x": x, "y": round(y, 6)}), flush=True)


def wait_members(fleet, numbers, timeout=30):
    """Until each node sees all others alive."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        seen = []
        for n in numbers:
            status = json.loads(fleet.admin_text(n, "/status"))
            alive = [m for m in status.get("members", [])
                     if m.get("state") == "alive"]
            seen.append(len(alive))
        if min(seen) >= len(numbers):
            return
        time.sleep(0.2)
    raise RuntimeError(f"members were not seen: {seen}")


def measure_proxy(binaries):
    """Node 1 takes the calls and passes them to node 2's upstream."""
    fleet = Fleet(binaries, 2, "delta_tree")
    try:
        fleet.start_store()
        generation = fleet.rules("apply", fleet.write_route("service-2"))
        for n in (1, 2):
            fleet.start_upstream(n)
            fleet.start_node(n)
        fleet.wait_generation(generation, [1, 2], START_TIMEOUT)
        wait_members(fleet, [1, 2])
        for rate in RATES:
            before = fleet.node_usage([1, 2])
            report = fleet.load([1], "/", rate, RATE_SECONDS,
                                "--connections", "64")
            after = fleet.node_usage([1, 2])
            calls = report["answers"].get("200", 0) / RATE_SECONDS
            for n, name in ((1, "caller_side"), (2, "receiver_side")):
                seconds = after[n][0] - before[n][0]
                emit(f"proxy_core_percent_{name}", round(calls, 1),
                     100 * seconds / RATE_SECONDS)
    finally:
        fleet.close()


def measure_rules(binaries):
    """One node, and documents of several sizes."""
    for rules in RULE_COUNTS:
        fleet = Fleet(binaries, 1, "delta_tree")
        try:
            fleet.start_store()
            generation = fleet.rules("apply", fleet.write_rules(rules))
            begin = time.monotonic()
            fleet.start_node(1)
            times = fleet.wait_generation(generation, [1], START_TIMEOUT)
            emit("rules_start_seconds", rules, times[1] - begin)
            time.sleep(2)
            emit("rules_resident_mb", rules, fleet.node_usage([1])[1][1])
            calls = sum(fleet.store_stats()["calls"].values())
            begin = time.monotonic()
            fleet.rules("add", fleet.write_rule("one-more"))
            emit("rules_change_tool_seconds", rules, time.monotonic() - begin)
            emit("rules_change_store_calls", rules,
                 sum(fleet.store_stats()["calls"].values()) - calls)
        finally:
            fleet.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binaries", default=os.path.join(
        os.path.dirname(__file__), "..", "build"))
    arguments = parser.parse_args()
    measure_proxy(arguments.binaries)
    measure_rules(arguments.binaries)
    return 0


if __name__ == "__main__":
    sys.exit(main())
