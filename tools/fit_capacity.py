"""Fits straight lines to the measured points and writes the tables of
docs/CAPACITY.md between its markers, so that the page can be made again.

    python3 tools/fit_capacity.py [--check]

With --check nothing is written; the exit code is 1 when the page is stale.
"""

import argparse
import json
import math
import os
import sys

ROOT = os.path.join(os.path.dirname(__file__), "..")
MEASURED = os.path.join(ROOT, "docs", "measured")
PAGE = os.path.join(ROOT, "docs", "CAPACITY.md")
BEGIN = "<!-- fitted by tools/fit_capacity.py -->"
END = "<!-- end of fitted -->"

# What the mechanism says that a value grows with.
MODELS = {
    "x": lambda x: x,
    "ln x": math.log,
    # A fixed cost that all nodes share, such as that of the readers.
    "1/x": lambda x: 1 / x,
    # Does not depend on x; the mean is taken.
    "constant": lambda x: 0.0,
}

# name: (title, unit of x, unit of y, x at the target size, y allowed or None,
#        what of x the line runs over: a key of MODELS)
NODES = 690
CALLS_PER_NODE = 94_000 / NODES
SLOPES = {
    "idle_bytes_per_second": (
        "control bytes a node and second, idle", "nodes", "B/s", NODES, 4_000,
        "ln x"),
    "idle_core_percent": (
        "control processor time of a node, idle", "nodes", "% of a core",
        NODES, 3.3, "x"),
    "resident_mb": (
        "resident memory of a node, 1,000 rules", "nodes", "MB", NODES, 64,
        "x"),
    "idle_store_calls": (
        "store calls a second, idle, all nodes", "nodes", "calls/s", NODES,
        200, "constant"),
    "change_bytes": (
        "control bytes a node for a one-rule change", "nodes", "B", NODES,
        4_000, "1/x"),
    "change_store_calls": (
        "store calls for a change, tool and nodes", "nodes", "calls", NODES,
        None, "x"),
    "change_seconds_max": (
        "convergence, slowest node and change", "nodes", "s", NODES, 18, "ln x"),
    "storm_seconds_max": (
        "half of the fleet restarted at once, slowest node", "nodes", "s",
        NODES, 18, "ln x"),
    "storm_store_calls_peak": (
        "store calls a second at the peak of that", "nodes", "calls/s", NODES,
        200, "x"),
    "membership_bytes_per_second": (
        "gossip bytes sent a node and second, virtual time", "nodes", "B/s",
        NODES, 4_000, "ln x"),
    "proxy_core_percent_caller_side": (
        "proxy path, node that the caller asks", "calls/s", "% of a core",
        CALLS_PER_NODE, None, "x"),
    "proxy_core_percent_receiver_side": (
        "proxy path, node beside the upstream", "calls/s", "% of a core",
        CALLS_PER_NODE, None, "x"),
    "rules_resident_mb": (
        "resident memory of a node", "rules", "MB", 1_000, 64, "x"),
    "rules_start_seconds": (
        "start of a node until its generation is in force", "rules", "s",
        1_000, 18, "x"),
    "rules_change_tool_seconds": (
        "operator's tool, one change", "rules", "s", 1_000, 18, "x"),
    "rules_change_store_calls": (
        "store calls of one change, one node", "rules", "calls", 1_000, None,
        "x"),
}


def read_lines(name):
    path = os.path.join(MEASURED, name)
    if not os.path.exists(path):
        return []
    with open(path, encoding="utf-8") as lines:
        return [json.loads(line) for line in lines if line.strip()]


def points_of_runs(policy):
    """Points from the runs of measure_distribution.py under `policy`."""
    points = {}
    for run in read_lines("distribution.jsonl"):
        if run["policy"] != policy:
            continue
        values = {
            "idle_bytes_per_second": run["idle"]["bytes_per_second"]["mean"],
            "idle_core_percent": run["idle"]["core_percent"]["mean"],
            "resident_mb": run["idle"]["resident_mb"]["max"],
            "idle_store_calls": run["idle"]["store_calls_per_second"],
            "change_bytes": run["change"]["bytes_per_node"]["mean"],
            "change_store_calls": run["change"]["store_calls"]["mean"],
            "change_seconds_max": run["change"]["seconds"]["max"],
            "storm_seconds_max": run["storm"]["seconds"]["max"],
            "storm_store_calls_peak":
                run["storm"]["store_calls_per_second_peak"],
        }
        for name, value in values.items():
            if value is not None:
                points.setdefault(name, []).append((run["nodes"], value))
    return points


def points_of_slopes():
    points = {}
    for name in ("slopes.jsonl", "membership.jsonl"):
        for point in read_lines(name):
            points.setdefault(point["slope"], []).append(
                (point["x"], point["y"]))
    return points


def fit(points, model):
    """Least squares y = a + b*model(x); a, b and the largest residual."""
    xs = [MODELS[model](x) for x, _ in points]
    ys = [y for _, y in points]
    mean_x = sum(xs) / len(xs)
    mean_y = sum(ys) / len(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    b = 0.0 if spread == 0 else sum(
        (x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / spread
    a = mean_y - b * mean_x
    residual = max(abs(y - a - b * x) for x, y in zip(xs, ys))
    return a, b, residual


def row(name, points):
    title, x_unit, y_unit, target, allowed, model = SLOPES[name]
    a, b, residual = fit(points, model)
    value = a + b * MODELS[model](target)
    shown = "; ".join(f"{x:g}: {y:g}" for x, y in sorted(points))
    line = f"{a:.4g}"
    if model != "constant":
        line += f" + {b:.4g} · {model}"
    limit = "" if allowed is None else f"{allowed:g}"
    return (f"| {title} | {shown} | {line} | "
            f"{residual:.3g} | {target:.4g} {x_unit} | "
            f"**{value:.4g}** {y_unit} | {limit} |")


def table(points):
    lines = ["| what | points (x: y) | fit | largest residual | at | gives | "
             "bound |", "|---|---|---|---|---|---|---|"]
    lines += [row(name, points[name]) for name in SLOPES if name in points]
    return "\n".join(lines)


def fitted_text():
    parts = [BEGIN, "", "### Shipped policy, `delta_tree`", ""]
    points = points_of_runs("delta_tree")
    points.update(points_of_slopes())
    parts.append(table(points))
    for policy in ("relay_full", "direct_full"):
        baseline = points_of_runs(policy)
        if baseline:
            parts += ["", f"### Baseline, `{policy}`", "", table(baseline)]
    parts += ["", END]
    return "\n".join(parts)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    arguments = parser.parse_args()
    with open(PAGE, encoding="utf-8") as page:
        text = page.read()
    head, rest = text.split(BEGIN)
    tail = rest.split(END)[1]
    fresh = head + fitted_text() + tail
    if arguments.check:
        return 0 if fresh == text else 1
    with open(PAGE, "w", encoding="utf-8") as page:
        page.write(fresh)
    return 0


if __name__ == "__main__":
    sys.exit(main())
