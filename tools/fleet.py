"""A fleet of real node processes on loopback addresses, for measurements.

Starts the platform's stand-in and nodes, reads their logs with the time of
arrival, their metrics and their use of processor and memory, and ends only
what it started, by pid.
"""

import json
import os
import re
import selectors
import shutil
import signal
import subprocess
import tempfile
import threading
import time
import urllib.error
import urllib.request

MAX_NODES = 200
REGIONS = 2
FAILURE_DOMAINS = 6
SERVICES = 22
IN_FORCE = re.compile(rb"A generation is in force\..* generation=(\d+)")
BYTES_METRIC = re.compile(
    r"^verbenastile_(?:control_bytes_(?:sent|received)|"
    r"membership_(?:sent|received)_bytes)_total (\d+)", re.M)

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def fetch(url, body=None, timeout=5.0):
    """The text at `url`; a POST when there is a body."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data)
    with urllib.request.urlopen(request, timeout=timeout) as answer:
        return answer.read().decode()


def rules_document(rules):
    """A document with `rules` rules that spread over all services."""
    services = [{"name": f"service-{i}"} for i in range(SERVICES)]
    groups = [{"name": f"group-{i}", "weight": 1 + i % 3} for i in range(10)]
    entries = [{
        "id": f"rule-{i}",
        "when": {"group": f"group-{i % 10}", "path_prefix": f"/path/{i}"},
        "then": {"route": [{"service": f"service-{i % SERVICES}"}],
                 "deadline": "2s"},
    } for i in range(rules)]
    return {"services": services, "groups": groups, "rules": entries}


class Fleet:
    """N nodes and the platform's stand-in in a block of loopback addresses."""

    def __init__(self, binaries, nodes, policy, block=60):
        if not 1 <= nodes <= MAX_NODES:
            raise ValueError(f"1 to {MAX_NODES} nodes")
        self.binaries = binaries
        self.nodes = nodes
        self.policy = policy
        self.block = block
        self.work = tempfile.mkdtemp(prefix="verbenastile-measure-")
        self.platform = f"127.0.{block}.250:7000"
        self.processes = {}
        self.reached = {}  # node number: [(generation, time of its log line)]
        self.lock = threading.Lock()
        self.selector = selectors.DefaultSelector()
        self.closing = False
        self.reader = threading.Thread(target=self._read_logs, daemon=True)
        self.reader.start()

    # Starting and ending.

    def start_store(self):
        log = open(os.path.join(self.work, "store.log"), "ab")
        self.processes["store"] = subprocess.Popen(
            [f"{self.binaries}/standin_store", "--listen", self.platform,
             "--data", os.path.join(self.work, "store.json")],
            stdout=log, stderr=log)
        self._wait(lambda: fetch(f"http://{self.platform}/control/stats"))

    def start_node(self, number):
        path = os.path.join(self.work, f"node-{number}.yaml")
        with open(path, "w", encoding="utf-8") as settings:
            settings.write(self._settings(number))
        process = subprocess.Popen(
            [f"{self.binaries}/verbenastile", "node", "--settings", path],
            stdout=subprocess.DEVNULL, stderr=subprocess.PIPE)
        os.set_blocking(process.stderr.fileno(), False)
        self.processes[number] = process
        with self.lock:
            self.reached[number] = []
        self.selector.register(process.stderr, selectors.EVENT_READ, number)

    def start_upstream(self, number, slots=10):
        log = open(os.path.join(self.work, f"upstream-{number}.log"), "ab")
        self.processes[f"upstream-{number}"] = subprocess.Popen(
            [f"{self.binaries}/standin_upstream", "--listen",
             f"127.0.{self.block}.{number}:9000", "--name",
             f"upstream-{number}", "--slots", str(slots)],
            stdout=log, stderr=log)

    def load(self, numbers, path, rate, seconds, *options):
        """Calls the nodes in turn at `rate` a second; the load's report."""
        urls = []
        for n in numbers:
            urls += ["--url", f"http://127.0.{self.block}.{n}:8080{path}"]
        done = subprocess.run(
            [f"{self.binaries}/standin_load", *urls, "--rate", str(rate),
             "--seconds", str(seconds), "--json", *options],
            capture_output=True, text=True, timeout=seconds + 60, check=False)
        return json.loads(done.stdout)

    def kill(self, key, number=signal.SIGKILL):
        process = self.processes[key]
        process.send_signal(number)
        process.wait()

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.closing = True
        self.reader.join()
        shutil.rmtree(self.work, ignore_errors=True)

    # What the nodes say.

    def admin(self, number):
        return f"http://127.0.{self.block}.{number}:8083"

    def admin_text(self, number, path):
        return fetch(self.admin(number) + path)

    def wait_generation(self, generation, numbers, timeout):
        """Times at which each node had `generation`; None where it had not."""
        end = time.monotonic() + timeout
        while True:
            times = {n: self._reached_at(n, generation) for n in numbers}
            if all(t is not None for t in times.values()):
                return times
            if time.monotonic() > end:
                return times
            time.sleep(0.02)

    def node_bytes(self, numbers):
        """Control bytes of each node so far, sent and received together."""
        totals = {}
        for n in numbers:
            text = fetch(self.admin(n) + "/metrics")
            totals[n] = sum(int(m) for m in BYTES_METRIC.findall(text))
        return totals

    def node_usage(self, numbers):
        """Processor seconds and resident megabytes of each node."""
        usage = {}
        for n in numbers:
            pid = self.processes[n].pid
            with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
                fields = stat.read().rsplit(")", 1)[1].split()
            seconds = (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
            with open(f"/proc/{pid}/statm", encoding="ascii") as statm:
                pages = int(statm.read().split()[1])
            usage[n] = (seconds, pages * os.sysconf("SC_PAGE_SIZE") / 2**20)
        return usage

    def store_stats(self):
        return json.loads(fetch(f"http://{self.platform}/control/stats"))

    def store_fault(self, **fault):
        fetch(f"http://{self.platform}/control/fault", fault)

    # What operators do.

    def rules(self, *arguments):
        """Runs `verbenastile rules`; the generation that it reports."""
        done = subprocess.run(
            [f"{self.binaries}/verbenastile", "rules", *arguments,
             "--platform", f"http://{self.platform}", "--who", "measure"],
            capture_output=True, text=True, timeout=60, check=False)
        if done.returncode != 0:
            raise RuntimeError(done.stderr.strip())
        return int(re.search(r"generation (\d+)", done.stdout).group(1))

    def write_rules(self, rules):
        path = os.path.join(self.work, "rules.yaml")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(rules_document(rules), file)
        return path

    def write_route(self, service):
        """A document with one rule that sends all to `service`."""
        document = rules_document(0)
        document["rules"] = [{"id": "all", "when": {}, "then": {
            "route": [{"service": service}], "repeatable": True}}]
        path = os.path.join(self.work, "rules.yaml")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(document, file)
        return path

    def write_rule(self, name):
        path = os.path.join(self.work, f"{name}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            json.dump({"id": name, "when": {"path_prefix": f"/{name}"},
                       "then": {"route": [{"service": "service-0"}]}}, file)
        return path

    # Details.

    def _settings(self, number):
        domain = number % FAILURE_DOMAINS
        ip = f"127.0.{self.block}.{number}"
        return json.dumps({
            "node": {"name": f"node-{number}",
                     "failure_domain": f"domain-{domain}",
                     "region": f"region-{domain % REGIONS}"},
            "listen": {"callers": f"{ip}:8080", "peers": f"{ip}:8081",
                       "control": f"{ip}:8082", "admin": f"{ip}:8083"},
            "upstream": {"service": f"service-{number % SERVICES}",
                         "address": f"{ip}:9000", "slots": 10},
            "platform": {"url": f"http://{self.platform}"},
            "distribution": {"policy": self.policy},
            "drain_timeout": "2s",
        })

    def _read_logs(self):
        while not self.closing:
            for key, _ in self.selector.select(timeout=0.1):
                data = key.fileobj.read()
                if not data:
                    self.selector.unregister(key.fileobj)
                    continue
                now = time.monotonic()
                for match in IN_FORCE.finditer(data):
                    with self.lock:
                        self.reached[key.data].append(
                            (int(match.group(1)), now))

    def _reached_at(self, number, generation):
        with self.lock:
            times = [t for g, t in self.reached[number] if g >= generation]
        return min(times) if times else None

    @staticmethod
    def _wait(ready, timeout=10.0):
        end = time.monotonic() + timeout
        while True:
            try:
                return ready()
            except (urllib.error.URLError, OSError):
                if time.monotonic() > end:
                    raise
                time.sleep(0.05)
