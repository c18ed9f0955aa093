"""Measures calls with real processes at the sizes of the two deployments.

    python3 tools/measure_calls.py [--deployment kalahari|qarthage|both]
                                   [--only NAME,...] [--binaries build]
                                   [--block 40] [--json FILE] [--quick]

latency    added p50 and p99 at half load, against direct calls in the same run
goodput    good answers a second at 1, 2 and 5 times the capacity, also for the
           baselines: round-robin without limits, and retries without a budget
shares     of groups that are all backlogged, and what one group that sends a
           hundred times its share does to the p99 of another
atmostonce reservations while nodes are killed, drained and restarted and
           upstreams fail: doubled, lost, and untrue "not run"

Prints JSON. Exit code 0 when a measured run ended, whatever it showed.
"""

import argparse
import json
import os
import signal
import sys
import time

import call_fleet

WORK_MS = 50  # At half load.
# Beyond the capacity work takes longer, so that the machine that runs the whole
# fleet is not what is measured.
OVERLOAD_WORK_MS = 200
DEADLINE_MS = 1500
GROUPS = [("academies", 3), ("gyms", 1), ("clubs", 1)]
BASELINES = {
    "verbenastile": {},
    "round_robin_without_limits": {"observe": False, "limits": False},
    "retries_without_budget": {"retry_budget": False},
}


def document(deployment):
    """Rules that send paths to services; reads may be repeated."""
    services = [name for name, _, _ in deployment.services]
    rules = []
    for name in services:
        rules.append({
            "id": f"{name}-reservations",
            "when": {"path_prefix": f"/{name}", "method": "POST"},
            "then": {"route": [{"service": name}], "deadline": "3s",
                     "repeatable": False}})
        rules.append({
            "id": name, "when": {"path_prefix": f"/{name}"},
            "then": {"route": [{"service": name}], "deadline": "3s",
                     "repeatable": True, "retries": 2}})
    return {
        "services": [{"name": name} for name in services],
        "groups": [{"name": name, "weight": weight}
                   for name, weight in GROUPS],
        "rules": rules,
    }


def capacity(deployment, work_ms):
    """Calls a second that the slots of the first service can run."""
    _, servers, slots = deployment.services[0]
    return servers * slots * 1000 // work_ms


class Measurement:
    def __init__(self, arguments, deployment):
        self.arguments = arguments
        self.deployment = deployment
        self.service = deployment.services[0][0]
        self.path = f"/{self.service}/1"
        self.overload_capacity = capacity(deployment, OVERLOAD_WORK_MS)
        self.seconds = 3 if arguments.quick else 8

    def fleet(self, calls=None, options=(), work_ms=WORK_MS):
        fleet = call_fleet.CallFleet(self.arguments.binaries, self.deployment,
                                     self.arguments.block, calls)
        try:
            fleet.start(document(self.deployment), work_ms, options)
        except BaseException:
            fleet.close()
            raise
        return fleet

    # Added latency at half load.

    def latency(self):
        delay = ["--delay_us", str(self.deployment.delay_us)]
        fleet = self.fleet(options=delay)
        try:
            rate = ["--rate", str(capacity(self.deployment, WORK_MS) // 2)]
            direct_urls = fleet.upstream_urls(self.path, self.service)
            urls = fleet.caller_urls(self.path, fleet.numbers(self.service))
            fleet.load(urls, 2, *rate)  # Past the cold start.
            rounds = []
            for _ in range(1 if self.arguments.quick else 3):
                direct = fleet.load(direct_urls, self.seconds, *rate)
                through = fleet.load(urls, self.seconds, *rate)
                rounds.append({
                    "direct_p50_us": direct["p50_us"],
                    "direct_p99_us": direct["p99_us"],
                    "through_p50_us": through["p50_us"],
                    "through_p99_us": through["p99_us"],
                    "added_p50_us": through["p50_us"] - direct["p50_us"],
                    "added_p99_us": through["p99_us"] - direct["p99_us"],
                    "answers": through["answers"],
                    "failures": through["failures"]})
            added = sorted(r["added_p99_us"] for r in rounds)
            return {"calls_per_second": int(rate[1]), "rounds": rounds,
                    "median_added_p99_us": added[len(added) // 2]}
        finally:
            fleet.close()

    # Goodput beyond the capacity.

    def goodput(self):
        result = {"capacity_per_second": self.overload_capacity}
        for name, calls in BASELINES.items():
            if self.arguments.policy not in ("", name):
                continue
            result[name] = self._goodput_of(calls)
        return result

    def _goodput_of(self, calls):
        fleet = self.fleet(calls, work_ms=OVERLOAD_WORK_MS)
        try:
            urls = fleet.caller_urls(self.path, fleet.numbers(self.service))
            points = {}
            for factor in (1, 2, 5):
                rate = factor * self.overload_capacity
                report = fleet.load(urls, self.seconds, "--rate", str(rate),
                                    "--deadline_ms", str(DEADLINE_MS))
                points[f"{factor}x"] = {
                    "good_per_second": round(
                        report["good"] / max(report["seconds"], 0.001), 1),
                    "good_p99_us": report["good_p99_us"],
                    "not_run": report["not_run"],
                    "unknown": report["unknown"],
                    "answers": report["answers"],
                    "failures": report["failures"]}
                print(f"  {factor}x", points[f"{factor}x"], os.getloadavg()[0],
                      file=sys.stderr, flush=True)
                time.sleep(1)
            runs = sum(r["total"] for r in fleet.records(self.service))
            points["upstream_runs"] = runs
            return points
        finally:
            fleet.close()

    # Shares of groups.

    def shares(self):
        fleet = self.fleet(work_ms=OVERLOAD_WORK_MS)
        try:
            urls = fleet.caller_urls(self.path, fleet.numbers(self.service))
            fleet.load(urls, 2, "--rate",
                       str(self.overload_capacity // 2))
            return {"backlogged": self._backlogged(fleet, urls),
                    "crowd": self._crowd(fleet, urls)}
        finally:
            fleet.close()

    def _backlogged(self, fleet, urls):
        # Each group alone sends more than its share.
        rate = 4 * self.overload_capacity
        report = fleet.load(urls, self.seconds, "--rate", str(rate),
                            *[part for name, _ in GROUPS
                              for part in ("--group", name)])
        good = {name: report["groups"][name]["good"] for name, _ in GROUPS}
        total = max(sum(good.values()), 1)
        weights = sum(weight for _, weight in GROUPS)
        return {name: {
            "share": round(good[name] / total, 4),
            "wanted": round(weight / weights, 4),
            "off_percent": round(
                100 * (good[name] / total) / (weight / weights) - 100, 1)}
            for name, weight in GROUPS}

    def _crowd(self, fleet, urls):
        """One group within its share, alone and beside a hundredfold one."""
        own = max(self.overload_capacity // 20, 1)
        alone = fleet.load(urls, self.seconds, "--rate", str(own),
                           "--group", "gyms")
        fleet.start_load("crowd", urls, self.seconds + 2, "--rate",
                         str(100 * own), "--group", "academies")
        time.sleep(1)
        fleet.start_load("beside", urls, self.seconds, "--rate", str(own),
                         "--group", "gyms")
        beside = fleet.end_load("beside", self.seconds + 90)
        fleet.end_load("crowd", self.seconds + 90)
        return {"alone_p99_us": alone["good_p99_us"],
                "beside_p99_us": beside["good_p99_us"],
                "factor": round(beside["good_p99_us"] /
                                max(alone["good_p99_us"], 1), 2),
                "beside_good": beside["good"], "beside_sent": beside["sent"]}

    # At most once, while things fail.

    def atmostonce(self):
        fleet = self.fleet(work_ms=2)
        try:
            length = 20 if self.arguments.quick else 110
            rate = 500 if self.arguments.quick else 1000
            fleet.start_load(
                "load", fleet.caller_urls(f"/{self.service}/reservations"),
                length, "--method", "POST", "--rate", str(rate),
                "--failover", "--ids", fleet.ids_file("load"))
            events = self._disturb(fleet, time.monotonic() + length - 4)
            report = fleet.end_load("load", 120)
            result = fleet.check_reservations(self.service, ["load"])
            result["answers"] = report["answers"]
            result["failures"] = report["failures"]
            result["events"] = events
            result["duplicates_rejected"] = sum(
                fleet.metric(n, "duplicate_attempts_total")
                for n in fleet.numbers())
            return result
        finally:
            fleet.close()

    def _disturb(self, fleet, end):
        """Kills, drains and restarts nodes and lets upstreams fail."""
        events = {"killed": 0, "drained": 0, "upstreams_failed": 0}
        numbers = fleet.numbers(self.service)
        turn = 0
        while time.monotonic() < end:
            number = numbers[turn % len(numbers)]
            faulty = numbers[(turn + 3) % len(numbers)]
            fleet.behave(faulty, cut_one_in=50, refuse_one_in=50,
                         fail_one_in=50)
            events["upstreams_failed"] += 1
            if turn % 2 == 0:
                fleet.stop_node(number, signal.SIGKILL)
                events["killed"] += 1
                time.sleep(0.5)
            else:
                fleet.stop_node(number)
                events["drained"] += 1
            fleet.start_node(number)
            fleet.wait_ready(number)
            fleet.behave(faulty, cut_one_in=0, refuse_one_in=0, fail_one_in=0)
            turn += 1
        return events


def run(arguments):
    names = ["kalahari", "qarthage"]
    if arguments.deployment != "both":
        names = [arguments.deployment]
    deployments = {d.name: d
                   for d in (call_fleet.KALAHARI, call_fleet.QARTHAGE)}
    wanted = arguments.only.split(",")
    result = {"work_ms": WORK_MS, "overload_work_ms": OVERLOAD_WORK_MS,
              "deadline_ms": DEADLINE_MS, "cores": os.cpu_count(),
              "load_average_before": os.getloadavg()[0]}
    for name in names:
        measurement = Measurement(arguments, deployments[name])
        result[name] = {}
        for part in wanted:
            print(f"{name}: {part}", file=sys.stderr, flush=True)
            result[name][part] = getattr(measurement, part)()
    result["load_average_after"] = os.getloadavg()[0]
    return result


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default="both",
                        choices=["kalahari", "qarthage", "both"])
    parser.add_argument("--only",
                        default="latency,goodput,shares,atmostonce")
    parser.add_argument("--binaries", default="build")
    parser.add_argument("--block", type=int, default=40)
    parser.add_argument("--policy", default="",
                        help="goodput of this one alone")
    parser.add_argument("--json")
    parser.add_argument("--quick", action="store_true")
    arguments = parser.parse_args()
    text = json.dumps(run(arguments), indent=2)
    print(text)
    if arguments.json:
        with open(arguments.json, "w", encoding="utf-8") as out:
            out.write(text + "\n")


if __name__ == "__main__":
    main()
