"""Measures convergence time and control bytes of a fleet of real nodes.

Phases: start, idle, one-rule changes, half of the fleet killed at once and
restarted, the store stopped for a while. One JSON object a run.
"""

import argparse
import json
import math
import os
import sys
import time

from fleet import Fleet

RULES = 1_000
CHANGES = 5
IDLE_SECONDS = 15
SETTLE_SECONDS = 8
OUTAGE_SECONDS = 10
START_TIMEOUT = 60
CHANGE_TIMEOUT = 30
RECOVERY_TIMEOUT = 60


def quantile(values, q):
    """The q-quantile, by the nearest rank."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(q * len(ordered)) - 1)]


def summary(values):
    """p50, p99 and max; a value that is missing makes the max missing."""
    known = [v for v in values if v is not None]
    if not known:
        return {"p50": None, "p99": None, "max": None, "missing": len(values)}
    missing = len(values) - len(known)
    return {"p50": round(quantile(known, 0.5), 3),
            "p99": round(quantile(known, 0.99), 3),
            "max": round(max(known), 3) if missing == 0 else None,
            "missing": missing}


def store_calls(fleet):
    return sum(fleet.store_stats()["calls"].values())


def mean(values):
    values = list(values)
    return sum(values) / len(values) if values else 0.0


def measure_start(fleet, numbers):
    fleet.start_store()
    generation = fleet.rules("apply", fleet.write_rules(RULES))
    begin = time.monotonic()
    for n in numbers:
        fleet.start_node(n)
    times = fleet.wait_generation(generation, numbers, START_TIMEOUT)
    return {"seconds": summary(
        [None if t is None else t - begin for t in times.values()])}


def measure_idle(fleet, numbers):
    time.sleep(SETTLE_SECONDS)
    calls = store_calls(fleet)
    before = fleet.node_bytes(numbers)
    usage = fleet.node_usage(numbers)
    begin = time.monotonic()
    time.sleep(IDLE_SECONDS)
    usage_after = fleet.node_usage(numbers)
    after = fleet.node_bytes(numbers)
    seconds = time.monotonic() - begin
    rates = [(after[n] - before[n]) / seconds for n in numbers]
    cores = [(usage_after[n][0] - usage[n][0]) / seconds for n in numbers]
    return {"bytes_per_second": {"mean": round(mean(rates), 1),
                                 "max": round(max(rates), 1)},
            "store_calls_per_second":
                round((store_calls(fleet) - calls) / seconds, 2),
            "core_percent": {"mean": round(100 * mean(cores), 3),
                             "max": round(100 * max(cores), 3)},
            "resident_mb": {"mean": round(mean(
                u[1] for u in usage_after.values()), 1),
                            "max": round(max(
                                u[1] for u in usage_after.values()), 1)}}


def measure_changes(fleet, numbers, idle):
    seconds, costs, calls = [], [], []
    for i in range(CHANGES):
        path = fleet.write_rule(f"change-{i}")
        bytes_before = fleet.node_bytes(numbers)
        calls_before = store_calls(fleet)
        begin = time.monotonic()
        generation = fleet.rules("add", path, "--before", "rule-500")
        times = fleet.wait_generation(generation, numbers, CHANGE_TIMEOUT)
        seconds += [None if t is None else t - begin for t in times.values()]
        time.sleep(1.0)
        passed = time.monotonic() - begin
        bytes_after = fleet.node_bytes(numbers)
        calls.append(store_calls(fleet) - calls_before)
        costs += [bytes_after[n] - bytes_before[n]
                  - idle["bytes_per_second"]["mean"] * passed
                  for n in numbers]
    return {"seconds": summary(seconds),
            "bytes_per_node": {"mean": round(mean(costs)),
                               "p99": round(quantile(costs, 0.99)),
                               "max": round(max(costs))},
            "store_calls": {"mean": mean(calls), "max": max(calls)}}


def measure_storm(fleet, numbers):
    """Half of the fleet dies at once and returns at once; a rule changes in
    between."""
    dead = numbers[::2]
    for n in dead:
        fleet.processes[n].kill()
    for n in dead:
        fleet.processes[n].wait()
    time.sleep(3)
    generation = fleet.rules("add", fleet.write_rule("storm"))
    seconds_before = len(fleet.store_stats()["calls_by_second"])
    bytes_before = {n: 0 for n in dead}
    alive = [n for n in numbers if n not in set(dead)]
    bytes_before.update(fleet.node_bytes(alive))
    begin = time.monotonic()
    for n in dead:
        fleet.start_node(n)
    times = fleet.wait_generation(generation, numbers, RECOVERY_TIMEOUT)
    time.sleep(2)
    passed = time.monotonic() - begin
    bytes_after = fleet.node_bytes(numbers)
    by_second = fleet.store_stats()["calls_by_second"][seconds_before - 1:]
    rates = [(bytes_after[n] - bytes_before[n]) / passed for n in numbers]
    return {"seconds": summary(
                [None if times[n] is None else times[n] - begin
                 for n in dead]),
            "store_calls_per_second_peak": max(by_second, default=0),
            "bytes_per_second_per_node": round(mean(rates), 1)}


def measure_outage(fleet, numbers):
    """The store stops; a tenth of the nodes restarts meanwhile."""
    fleet.kill("store")
    restarted = numbers[::10]
    for n in restarted:
        fleet.processes[n].kill()
        fleet.processes[n].wait()
    begin = time.monotonic()
    for n in restarted:
        fleet.start_node(n)
    times = fleet.wait_generation(1, restarted, OUTAGE_SECONDS)
    left = OUTAGE_SECONDS - (time.monotonic() - begin)
    time.sleep(max(0.0, left))
    fleet.start_store()
    back = time.monotonic()
    generation = fleet.rules("add", fleet.write_rule("outage"))
    times_after = fleet.wait_generation(generation, numbers, RECOVERY_TIMEOUT)
    by_second = fleet.store_stats()["calls_by_second"]
    return {"restarted_without_store_seconds": summary(
                [None if t is None else t - begin for t in times.values()]),
            "change_after_return_seconds": summary(
                [None if t is None else t - back
                 for t in times_after.values()]),
            "store_calls_per_second_peak": max(by_second, default=0)}


def measure_cold(binaries, nodes, policy):
    """Everything restarts at once while the store is down; it returns after a
    while."""
    fleet = Fleet(binaries, nodes, policy)
    try:
        numbers = list(range(1, nodes + 1))
        fleet.start_store()
        generation = fleet.rules("apply", fleet.write_rules(RULES))
        fleet.kill("store")
        for n in numbers:
            fleet.start_node(n)
        time.sleep(OUTAGE_SECONDS)
        served = [t for t in fleet.wait_generation(1, numbers, 0).values() if t]
        fleet.start_store()
        back = time.monotonic()
        times = fleet.wait_generation(generation, numbers, RECOVERY_TIMEOUT)
        time.sleep(2)
        return {"nodes": nodes, "policy": policy,
                "served_without_any_generation": len(served),
                "after_return_seconds": summary(
                    [None if t is None else t - back for t in times.values()]),
                "store_calls_per_second_peak": max(
                    fleet.store_stats()["calls_by_second"], default=0)}
    finally:
        fleet.close()


def measure(binaries, nodes, policy):
    fleet = Fleet(binaries, nodes, policy)
    try:
        numbers = list(range(1, nodes + 1))
        result = {"nodes": nodes, "policy": policy, "rules": RULES}
        result["start"] = measure_start(fleet, numbers)
        result["idle"] = measure_idle(fleet, numbers)
        result["change"] = measure_changes(fleet, numbers, result["idle"])
        result["storm"] = measure_storm(fleet, numbers)
        result["outage"] = measure_outage(fleet, numbers)
        return result
    finally:
        fleet.close()


def flat(prefix, value):
    """Rows of a nested result, as dotted names and values."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from flat(f"{prefix}.{key}" if prefix else key, inner)
    else:
        yield prefix, value


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=25)
    parser.add_argument("--policy", default="delta_tree",
                        choices=["delta_tree", "relay_full", "direct_full"])
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--cold", action="store_true",
                        help="only: all restart at once with the store down")
    parser.add_argument("--binaries", default=os.path.join(
        os.path.dirname(__file__), "..", "build"))
    arguments = parser.parse_args()
    run = measure_cold if arguments.cold else measure
    result = run(arguments.binaries, arguments.nodes, arguments.policy)
    if arguments.json:
        print(json.dumps(result))
        return 0
    for name, value in flat("", result):
        print(f"{name:48} {value}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
