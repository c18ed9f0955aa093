"""Races operators' tools against each other and checks what they reported.

Each change is a process of its own, as an operator would run it. Afterwards:
every change reported as made stands in the trail exactly once, none reported
as not made stands there, generations go up by one, and the operations in the
order of the trail give the rules in force.
"""

import argparse
import json
import pathlib
import random
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request

ADDRESS = "127.0.50.10:7000"
PLATFORM = f"http://{ADDRESS}"
TOOL = "build/verbenastile"
FLOOD_QUOTA = 60

BASE = """
services:
  - {{name: booking}}
groups:
  - {{name: calm, quota: {{changes_per_minute: 100000}}}}
  - {{name: flood, quota: {{changes_per_minute: {quota}}}}}
rules:
{rules}
"""
RULE = "{{id: {id}, when: {{group: {group}, path_prefix: /{id}}}, " \
       "then: {{route: [{{service: booking}}]}}}}\n"


def rule_text(rule_id, group="calm"):
    return RULE.format(id=rule_id, group=group)


def control(path, body):
    request = urllib.request.Request(f"{PLATFORM}/control/{path}",
                                     data=json.dumps(body).encode())
    return json.load(urllib.request.urlopen(request, timeout=5))


def tool(*args, wait="30s"):
    """Runs one change; returns its report and the seconds that it took."""
    began = time.monotonic()
    done = subprocess.run(
        [TOOL, "rules", *args, "--platform", PLATFORM, "--output", "json",
         "--wait", wait], capture_output=True, text=True, check=False)
    report = json.loads(done.stdout) if done.stdout else {
        "outcome": "no-report", "reason": done.stderr}
    report["seconds"] = time.monotonic() - began
    return report


def read_trail():
    done = subprocess.run(
        [TOOL, "audit", "--platform", PLATFORM, "--output", "json", "--limit",
         "100000"], capture_output=True, text=True, check=True)
    return [json.loads(line) for line in done.stdout.splitlines()]


def read_order():
    done = subprocess.run([TOOL, "rules", "list", "--platform", PLATFORM,
                           "--output", "json"],
                          capture_output=True, text=True, check=True)
    return [rule["id"] for rule in json.loads(done.stdout)["rules"]]


def place_arguments(place):
    return [f"--{place[0]}", place[1]] if place else []


def put(order, rule_id, place):
    if not place:
        order.append(rule_id)
        return
    index = order.index(place[1]) + (1 if place[0] == "after" else 0)
    order.insert(index, rule_id)


def replay(order, change):
    """Applies one accepted change to the list of rule ids."""
    kind, rule_id, place = change
    if kind in ("move", "retire"):
        order.remove(rule_id)
    if kind in ("add", "move"):
        put(order, rule_id, place)


class Race:
    def __init__(self, options, work):
        self.options = options
        self.work = work
        self.lock = threading.Lock()
        self.changes = {}  # By operation id: kind, rule, place.
        self.reports = []
        self.over = threading.Event()

    def start(self):
        rules = "".join("  - " + rule_text(f"base{n}") for n in range(10))
        path = self.work / "base.yaml"
        path.write_text(BASE.format(rules=rules, quota=FLOOD_QUOTA))
        report = tool("apply", str(path))
        if report["outcome"] != "made":
            raise SystemExit(f"race: the first rules: {report}")

    def make_change(self, randomness, own, number):
        anchor = randomness.choice([f"base{n}" for n in range(10)])
        place = randomness.choice(
            [None, ("before", anchor), ("after", anchor)])
        kind = randomness.choice(["add", "add", "move", "move", "retire"])
        if kind == "add" or not own:
            return ("add", number, place)
        rule_id = randomness.choice(own)
        if kind == "move":
            target = randomness.choice([rule_id, anchor])
            return ("move", target, None if target == anchor else place)
        return ("retire", rule_id, None)

    def run_change(self, change, group="calm"):
        kind, rule_id, place = change
        if kind == "add":
            path = self.work / f"{rule_id}.yaml"
            path.write_text(rule_text(rule_id, group))
            report = tool("add", str(path), *place_arguments(place))
        else:
            report = tool(kind, rule_id, *place_arguments(place))
        with self.lock:
            self.reports.append(report)
            self.changes[report.get("operationId")] = change
        return report

    def operate(self, index, count):
        randomness = random.Random(index)
        own = []
        for number in range(count):
            change = self.make_change(randomness, own, f"op{index}x{number}")
            report = self.run_change(change)
            if report["outcome"] == "made" and change[0] == "add":
                own.append(change[1])
            if report["outcome"] == "made" and change[0] == "retire":
                own.remove(change[1])

    def flood(self, index):
        number = 0
        while not self.over.is_set():
            self.run_change(("add", f"flood{index}x{number}", None), "flood")
            number += 1

    def have_outages(self):
        faults = {"mode": "ok", "lose_one_in": self.options.lose_one_in}
        control("fault", faults)
        for _ in range(self.options.outages):
            if self.over.wait(2):
                break
            control("fault", {**faults, "mode": "refuse"})
            time.sleep(1)
            control("fault", faults)

    def run(self):
        count = self.options.changes // self.options.operators
        operators = [threading.Thread(target=self.operate, args=(index, count))
                     for index in range(self.options.operators)]
        others = [threading.Thread(target=self.have_outages)]
        if self.options.flood:
            others += [threading.Thread(target=self.flood, args=(index,))
                       for index in range(4)]
        began = time.monotonic()
        for thread in operators + others:
            thread.start()
        for thread in operators:
            thread.join()
        self.seconds = time.monotonic() - began
        self.over.set()
        for thread in others:
            thread.join()
        control("fault", {"mode": "ok"})

    def check(self):
        """What does not hold; empty when all does."""
        faults = []
        trail = read_trail()
        ids = [entry["operationId"] for entry in trail]
        generations = [entry["generationAfter"] for entry in trail]
        if generations != list(range(1, len(trail) + 1)):
            faults.append("generations do not go up by one")
        for report in self.reports:
            times = ids.count(report.get("operationId"))
            if report["outcome"] == "made" and times != 1:
                faults.append(f"made, and {times} times in the trail: {report}")
            if report["outcome"] not in ("made", "unknown") and times != 0:
                faults.append(f"not made, and in the trail: {report}")
        order = [f"base{n}" for n in range(10)]
        for entry in trail[1:]:
            replay(order, self.changes[entry["operationId"]])
        if order != read_order():
            faults.append("the trail does not give the rules in force")
        return faults

    def figures(self):
        calm = [r for r in self.reports
                if not self.changes[r.get("operationId")][1].startswith(
                    "flood")]
        outcomes = {}
        for report in self.reports:
            outcome = report["outcome"]
            outcomes[outcome] = outcomes.get(outcome, 0) + 1
        waits = sorted(r["seconds"] for r in calm if r["outcome"] == "made")
        return {
            "operators": self.options.operators,
            "changes": len(calm),
            "flood_changes": len(self.reports) - len(calm),
            "lose_one_in": self.options.lose_one_in,
            "outages": self.options.outages,
            "seconds": round(self.seconds, 1),
            "outcomes": outcomes,
            "p50_s": round(waits[len(waits) // 2], 3),
            "p99_s": round(waits[int(len(waits) * 0.99)], 3),
            "longest_s": round(waits[-1], 3),
            "most_attempts": max(r.get("attempts", 0) for r in calm),
        }


def wait_for_store():
    for _ in range(100):
        try:
            urllib.request.urlopen(f"{PLATFORM}/control/stats", timeout=1)
            return
        except OSError:
            time.sleep(0.1)
    raise SystemExit("race: the store does not answer")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--operators", type=int, default=20)
    parser.add_argument("--changes", type=int, default=500)
    parser.add_argument("--lose-one-in", type=int, default=5)
    parser.add_argument("--outages", type=int, default=5)
    parser.add_argument("--flood", action="store_true",
                        help="another group changes as fast as it can")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        store = subprocess.Popen(
            ["build/standin_store", "--listen", ADDRESS],
            stderr=subprocess.DEVNULL)
        try:
            wait_for_store()
            race = Race(options, pathlib.Path(folder))
            race.start()
            race.run()
            faults = race.check()
            print(json.dumps(race.figures()) if options.json else
                  json.dumps(race.figures(), indent=2))
        finally:
            store.terminate()
            store.wait()
    for fault in faults:
        print(f"race: {fault}", file=sys.stderr)
    if not options.json:
        print("race: all outcomes were true" if not faults else "race: FAILED")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
