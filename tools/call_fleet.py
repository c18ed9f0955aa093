"""Nodes with upstreams on loopback addresses, for measurements of calls.

Starts only what it ends, by pid. Instances are numbered from 1; instance N has
the address 127.0.BLOCK.N.
"""

import dataclasses
import json
import os
import shutil
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

READY_SECONDS = 20


@dataclasses.dataclass
class Deployment:
    """The sizes of one deployment: (service, servers, slots) a line."""

    name: str
    services: list
    domains: int
    delay_us: int  # Between failure domains, one way.


KALAHARI = Deployment(
    "kalahari", [("booking", 7, 10), ("video", 3, 10)], 3, 1500)
QARTHAGE = Deployment(
    "qarthage", [("passes", 7, 6), ("telemetry", 4, 6)], 4, 1000)


def fetch(url, body=None, timeout=5.0):
    """The text at `url`; a POST when there is a body."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data)
    with urllib.request.urlopen(request, timeout=timeout) as answer:
        return answer.read().decode()


class CallFleet:
    """One deployment's nodes, upstreams and the platform's stand-in."""

    def __init__(self, binaries, deployment, block, calls=None):
        self.binaries = binaries
        self.deployment = deployment
        self.block = block
        self.calls = calls or {}
        self.work = tempfile.mkdtemp(prefix="verbenastile-calls-")
        self.platform = f"127.0.{block}.250:7000"
        self.processes = {}
        self.instances = []  # (service, slots) by number - 1.
        for service, servers, slots in deployment.services:
            self.instances += [(service, slots)] * servers

    def numbers(self, service=None):
        """The numbers of the instances, of one service or of all."""
        return [n for n, (name, _) in enumerate(self.instances, 1)
                if service in (None, name)]

    def ip(self, number):
        return f"127.0.{self.block}.{number}"

    # Starting and ending.

    def start(self, document, work_ms, upstream_options=()):
        self._spawn("store", "standin_store", "--listen", self.platform)
        for number in self.numbers():
            self.start_upstream(number, work_ms, *upstream_options)
            self.start_node(number)
        self._wait(lambda: fetch(f"http://{self.platform}/control/stats"))
        path = os.path.join(self.work, "rules.yaml")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(document, file)
        subprocess.run(
            [f"{self.binaries}/verbenastile", "rules", "apply", path,
             "--platform", f"http://{self.platform}", "--who", "measure"],
            check=True, capture_output=True, timeout=60)
        for number in self.numbers():
            self.wait_ready(number)
        self.wait_members()

    def start_upstream(self, number, work_ms, *options):
        _, slots = self.instances[number - 1]
        self._spawn(f"upstream-{number}", "standin_upstream",
                    "--listen", f"{self.ip(number)}:9000",
                    "--name", f"upstream-{number}", "--slots", str(slots),
                    "--work_ms", str(work_ms), *options)

    def start_node(self, number):
        path = os.path.join(self.work, f"node-{number}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self._settings(number), file)
        self._spawn(f"node-{number}", "verbenastile", "node", "--settings",
                    path)

    def wait_ready(self, number):
        self._wait(lambda: fetch(f"http://{self.ip(number)}:8083/readyz"))

    def wait_members(self):
        """Waits until each node knows all instances as alive."""
        def known(number):
            status = json.loads(
                fetch(f"http://{self.ip(number)}:8083/status"))
            alive = [m for m in status["members"] if m["state"] == "alive"]
            if len(alive) < len(self.instances):
                raise OSError("members are missing")
        for number in self.numbers():
            self._wait(lambda n=number: known(n))

    def send_signal(self, name, number):
        self.processes[name].send_signal(number)

    def wait_end(self, name, timeout):
        return self.processes[name].wait(timeout)

    def stop_node(self, number, how=signal.SIGTERM, timeout=60):
        self.send_signal(f"node-{number}", how)
        return self.wait_end(f"node-{number}", timeout)

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.work, ignore_errors=True)

    def logs(self, name):
        with open(os.path.join(self.work, name + ".log"),
                  encoding="utf-8", errors="replace") as log:
            return log.read()

    # Calling.

    def caller_urls(self, path, numbers=None):
        return [f"http://{self.ip(n)}:8080{path}"
                for n in numbers or self.numbers()]

    def upstream_urls(self, path, service):
        return [f"http://{self.ip(n)}:9000{path}"
                for n in self.numbers(service)]

    def start_load(self, name, urls, seconds, *options):
        """Starts callers; `end_load` waits for their report."""
        arguments = []
        for url in urls:
            arguments += ["--url", url]
        with open(os.path.join(self.work, name + ".json"), "wb") as out:
            self.processes[name] = subprocess.Popen(
                [f"{self.binaries}/standin_load", *arguments, "--seconds",
                 str(seconds), "--json", *options], stdout=out)

    def end_load(self, name, timeout):
        self.processes[name].wait(timeout)
        with open(os.path.join(self.work, name + ".json"),
                  encoding="utf-8") as report:
            return json.load(report)

    def load(self, urls, seconds, *options):
        self.start_load("load", urls, seconds, *options)
        return self.end_load("load", seconds + 90)

    def ids_file(self, name):
        return os.path.join(self.work, name + ".ids")

    def behave(self, number, **behaviour):
        fetch(f"http://{self.ip(number)}:9000/control/behaviour", behaviour)

    def records(self, service):
        return [json.loads(fetch(f"http://{self.ip(n)}:9000/control/record"))
                for n in self.numbers(service)]

    def metric(self, number, name):
        """The counter called `name` of a node."""
        text = fetch(f"http://{self.ip(number)}:8083/metrics")
        for line in text.splitlines():
            if line.startswith(f"verbenastile_{name} "):
                return float(line.split()[-1])
        return 0.0

    def check_reservations(self, service, names):
        """Compares the callers' ids with what ran at the upstreams."""
        runs = {}
        for number in self.numbers(service):
            text = fetch(f"http://{self.ip(number)}:9000/control/ids",
                         timeout=30)
            for request in text.split():
                runs[request] = runs.get(request, 0) + 1
        told = {}
        for name in names:
            with open(self.ids_file(name), encoding="utf-8") as lines:
                for line in lines:
                    request, status, outcome = line.split()
                    told[request] = (int(status), outcome)
        good = [r for r, (status, _) in told.items() if 200 <= status < 300]
        not_run = [r for r, (_, outcome) in told.items()
                   if outcome in ("not-run", "not-sent")]
        return {
            "reservations": len(told),
            "good": len(good),
            "doubled": sum(1 for count in runs.values() if count > 1),
            "lost": sum(1 for r in good if r not in runs),
            "told_not_run": len(not_run),
            "untrue_not_run": sum(1 for r in not_run if r in runs),
            "unknown": len(told) - len(good) - len(not_run),
        }

    # Details.

    def _settings(self, number):
        service, slots = self.instances[number - 1]
        domain = number % self.deployment.domains
        ip = self.ip(number)
        return {
            "node": {"name": f"node-{number}",
                     "failure_domain": f"domain-{domain}",
                     "region": self.deployment.name},
            "listen": {"callers": f"{ip}:8080", "peers": f"{ip}:8081",
                       "control": f"{ip}:8082", "admin": f"{ip}:8083"},
            "upstream": {"service": service, "address": f"{ip}:9000",
                         "slots": slots},
            "platform": {"url": f"http://{self.platform}"},
            "calls": self.calls,
            "drain_timeout": "20s",
        }

    def _spawn(self, name, program, *arguments):
        with open(os.path.join(self.work, name + ".log"), "ab") as log:
            self.processes[name] = subprocess.Popen(
                [f"{self.binaries}/{program}", *arguments], stdout=log,
                stderr=log)

    @staticmethod
    def _wait(ready, timeout=READY_SECONDS):
        end = time.monotonic() + timeout
        while True:
            try:
                return ready()
            except (urllib.error.URLError, OSError):
                if time.monotonic() > end:
                    raise
                time.sleep(0.05)
