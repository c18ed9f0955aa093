"""Restarts every node in turn while callers make reservations and watch long
streams, and says whether a call was lost, doubled or cut.

    python3 tools/rolling_restart.py [--binaries build] [--block 40]
                                     [--rate N] [--json FILE]

Exit code 0 when none was.
"""

import argparse
import json
import sys
import time

import call_fleet

SERVICE = "booking"
DOCUMENT = {
    "services": [{"name": "booking"}, {"name": "video"}],
    "groups": [{"name": "academies", "weight": 3}],
    "rules": [
        {"id": "films", "when": {"path_prefix": "/films"},
         "then": {"route": [{"service": "video"}]}},
        {"id": "reservations", "when": {"method": "POST"},
         "then": {"route": [{"service": "booking"}], "deadline": "5s",
                  "repeatable": False}},
        {"id": "rest", "when": {"path_prefix": "/"},
         "then": {"route": [{"service": "booking"}], "repeatable": True,
                  "retries": 2}},
    ],
}
# A film takes four seconds, longer than a node gives notice.
FILM = "/films/1?bytes=8000000&pace=2000000"
MAX_SECONDS = 240


def restart_all(fleet):
    codes = []
    for number in fleet.numbers():
        codes.append(fleet.stop_node(number))
        fleet.start_node(number)
        fleet.wait_ready(number)
        print(f"node-{number} was restarted", flush=True)
    return codes


def run(arguments):
    fleet = call_fleet.CallFleet(arguments.binaries, call_fleet.KALAHARI,
                                 arguments.block)
    try:
        fleet.start(DOCUMENT, work_ms=10)
        fleet.start_load("reservations", fleet.caller_urls("/reservations"),
                         MAX_SECONDS, "--method", "POST", "--rate",
                         str(arguments.rate), "--failover", "--ids",
                         fleet.ids_file("reservations"))
        fleet.start_load("films", fleet.caller_urls(FILM), MAX_SECONDS,
                         "--connections", "4", "--failover")
        time.sleep(1)
        codes = restart_all(fleet)
        for name in ("reservations", "films"):
            fleet.send_signal(name, 15)
        films = fleet.end_load("films", 60)
        load = fleet.end_load("reservations", 60)
        result = fleet.check_reservations(SERVICE, ["reservations"])
        result["answers"] = load["answers"]
        result["failures"] = load["failures"]
        result["moved"] = load["moved"]
        result["p99_us"] = load["p99_us"]
        result["films"] = films["answers"]
        result["cut_films"] = films["failures"]
        result["exit_codes"] = codes
        return result
    finally:
        fleet.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binaries", default="build")
    parser.add_argument("--block", type=int, default=40)
    parser.add_argument("--rate", type=int, default=300)
    parser.add_argument("--json")
    arguments = parser.parse_args()
    result = run(arguments)
    print(json.dumps(result, indent=2))
    if arguments.json:
        with open(arguments.json, "w", encoding="utf-8") as out:
            json.dump(result, out, indent=2)
    bad = (result["good"] != result["reservations"] or result["doubled"] or
           result["lost"] or result["untrue_not_run"] or
           result["cut_films"] or set(result["films"]) != {"200"} or
           any(result["exit_codes"]))
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    main()
