#!/usr/bin/env python3
"""Runs real sidecars as processes on loopback, injects faults from outside and
checks what callers and instances see.

One seed is one run: `python3 soak/faults.py --seed 7`. Exit code 0: every
promise was kept. Otherwise the logs and the schedule stay in the work folder.
"""
import argparse
import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import sys
import tempfile
import time
import typing

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "platform"))
import fault_answers  # noqa: E402
import fault_configurations  # noqa: E402
import fault_groups  # noqa: E402
import fault_leavers  # noqa: E402
import fault_quotas  # noqa: E402
import fault_rollouts  # noqa: E402
import protocol  # noqa: E402
from fault_http import call, format_answer, read_message  # noqa: E402

GRACE = 6.0  # Seconds from SIGTERM to SIGKILL.
DRAIN = 2.0  # Seconds in which a leaving instance may still get new work.
TOUCH = 3.0  # Seconds without faults after which bounds hold.
REWRITE = 2.0  # Seconds from a restore of the store until records are back.
RELOAD = 2.0  # Seconds until a changed settings file is read.
RECOVERY = 15.0  # Seconds after the last fault until requests are served.
SLACK = 0.5  # Seconds for the scheduling of this process.
WINDOW = 4.0  # Seconds in which the requests to a limited instance are counted.
TOLD = 0.5  # Seconds after which a node that passed on a limit is bound by it.
MAX_RESENDS = 3  # Sends of a request under which three instances have ended.
SLOTS = 6
WORK = 0.02  # Mean seconds that a request takes.


class Store:
    """The platform's store: objects, revisions, watches, and its faults."""

    def __init__(self, rng):
        self.rng = rng
        self.objects = {}  # (kind, name) -> object
        self.events = []  # (revision, kind, object, deleted)
        self.revision = 100
        self.oldest = 100  # Watches from before get 410.
        self.fault = None  # None, "busy", "silent", "lost", "slow" or "down".
        self.era = 1
        self.backups = []  # (time, objects, revision), one for each change.
        self.changed = asyncio.Condition()

    async def change(self, kind, name, spec, deleted=False, status=None):
        """The status is kept unless there is a new one."""
        self.revision += 1
        known = self.objects.get((kind, name), {})
        value = {
            "metadata": {"name": name, "revision": self.revision},
            "spec": spec,
            "status": status or known.get("status"),
        }
        if deleted:
            self.objects.pop((kind, name), None)
        else:
            self.objects[(kind, name)] = value
        self.events.append((self.revision, kind, value, deleted))
        self.backups.append((time.monotonic(), dict(self.objects), self.revision))
        async with self.changed:
            self.changed.notify_all()
        return value

    @property
    def fault(self):
        return self._fault

    @fault.setter
    def fault(self, fault):
        self._fault = fault
        self.last_disturbed = time.monotonic()

    def disturbed_since(self, begin):
        return self.fault is not None or self.last_disturbed > begin

    async def restore(self, age):
        """Comes back from a copy that is `age` seconds old."""
        taken = time.monotonic() - age
        copies = [copy for copy in self.backups if copy[0] <= taken]
        if not copies:
            return False
        _, objects, self.revision = copies[-1]
        self.objects = dict(objects)
        self.events = [event for event in self.events if event[0] <= self.revision]
        self.oldest = min(self.oldest, self.revision)
        self.backups = copies
        self.era += 1
        return True

    async def serve(self, reader, writer):
        try:
            while True:
                line, _, body = await read_message(reader)
                method, target, _ = line.split(" ")
                if self.fault == "down":
                    return
                if self.fault == "silent":
                    await asyncio.sleep(30)
                    return
                if self.fault == "slow":
                    await asyncio.sleep(0.5)
                if self.fault == "busy":
                    status, answer = 503, {}
                else:
                    era = self.era
                    status, answer = await self.handle(method, target, body)
                    if self.fault == "down" or era != self.era:
                        return
                if self.fault == "lost" and self.rng.random() < 0.4:
                    return
                writer.write(
                    format_answer(
                        status,
                        {
                            "Content-Type": "application/json",
                            protocol.STORE_ERA: str(self.era),
                        },
                        json.dumps(answer).encode(),
                    )
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass  # The node closed its connection.
        except asyncio.CancelledError:
            pass  # The soak is over.
        finally:
            writer.close()

    async def handle(self, method, target, body):
        path, _, query = target.partition("?")
        parts = path.removeprefix(protocol.OBJECTS).split("/")
        options = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        if method == "GET" and "watch" in options:
            return await self.watch(parts[0], options)
        if method == "GET":
            items = [v for (kind, _), v in self.objects.items() if kind == parts[0]]
            return 200, {
                "items": items,
                "has_more": False,
                "current_rev": self.revision,
            }
        kind, name = parts[:2]
        known = self.objects.get((kind, name))
        sent = json.loads(body) if body else {}
        revision = sent.get("metadata", {}).get("revision") or options.get("revision")
        if method == "POST":
            if known:
                return 409, known
            return 200, await self.change(kind, name, sent["spec"])
        if known is None:
            return 404, {}
        if revision is not None and int(revision) != known["metadata"]["revision"]:
            return 409, known
        if method == "DELETE":
            return 200, await self.change(kind, name, None, deleted=True)
        if parts[2:] == ["status"]:
            if sent["status"] == known["status"]:
                return 200, known
            return 200, await self.change(
                kind, name, known["spec"], status=sent["status"]
            )
        return 200, await self.change(kind, name, sent["spec"])

    async def watch(self, kind, options):
        since = int(options["watch"])
        end = time.monotonic() + int(options["wait_ms"]) / 1000
        while True:
            if since < self.oldest or since > self.revision:
                return 410, {}
            events = [
                {"object": value, "deleted": deleted}
                for revision, of, value, deleted in self.events
                if revision > since and of == kind
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), min(left, 1.0))
            except asyncio.TimeoutError:
                pass  # Looks again whether the history is still there.


class Proxy:
    """Passes bytes on to `target`, unless told to misbehave."""

    def __init__(self, target, on_bytes=None):
        self.disturbed = 0.0  # When the mode changed last.
        self.on_bytes = on_bytes  # Looks at what passes.
        self.target = target
        self.mode = "pass"  # "delay", "one_way", "silent" or "reset".
        self.writers = set()

    async def serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        await asyncio.gather(
            self.pump(reader, far_writer, True), self.pump(far_reader, writer, False)
        )
        self.writers -= {writer, far_writer}

    async def pump(self, reader, writer, forward):
        tail = b""
        try:
            while data := await reader.read(65536):
                if self.on_bytes:
                    tail = self.on_bytes(data, tail)
                while self.mode == "silent" or (self.mode == "one_way" and forward):
                    await asyncio.sleep(0.05)
                if self.mode == "delay":
                    await asyncio.sleep(0.1)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass  # One side has closed; so does the other.
        finally:
            writer.close()

    def set_mode(self, mode):
        self.mode = mode
        self.disturbed = time.monotonic()
        if mode == "reset":
            for writer in list(self.writers):
                writer.transport.abort()


class EndingRequest(typing.NamedTuple):
    """A request that ends the instance that runs it."""

    target: str
    instance_id: str


class Instance:
    """The upstream instance beside one node."""

    def __init__(self, soak, node):
        self.soak = soak
        self.node = node
        self.number = 0
        self.server = None
        self.leaving_acked = None
        self.task = None
        self.changing = False  # A crash or a replacement is under way.
        self.changed = 0.0  # When it last started.
        self.limits = 0  # How often it has named a rate limit.
        self.slots = self.full_slots = SLOTS
        self.version = self.next_version = soak.rollouts.base

    async def start(self):
        self.number += 1
        self.version = self.next_version
        self.changed = time.monotonic()
        self.id = f"i-{self.node.index}-{self.number}"
        self.leaving_acked = None
        self.sequence = 0
        self.leaving = False
        self.rate_limit = None
        self.says_leaving = False  # In its responses.
        self.arrivals = []  # Times of requests from nodes bound by its limit.
        self.server = await asyncio.start_server(self.serve, *self.node.app)
        self.task = asyncio.create_task(self.report())

    async def report(self):
        while True:
            await self.heartbeat()
            await asyncio.sleep(0.5)

    async def heartbeat(self):
        self.sequence += 1
        body = protocol.heartbeat(
            self.node.app,
            self.node.service,
            self.node.domain,
            self.slots,
            self.leaving,
            self.sequence,
            self.version,
        )
        return await self.tell(protocol.heartbeat_target(self.id), body)

    async def tell(self, target, body):
        try:
            status, _, _ = await call(
                self.node.control, "POST", target, {}, json.dumps(body).encode(), 1.0
            )
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False  # The node is down; the next report is due soon.

    async def crash(self, down=0.3):
        self.changing = True
        self.task.cancel()
        self.server.close()
        for writer in list(self.soak.busy.get(self.id, ())):
            writer.transport.abort()
        await asyncio.sleep(down)
        await self.start()
        self.changing = False

    async def end_under(self, request):
        """Ends while it works on `request`, unless it is ending anyway."""
        await asyncio.sleep(WORK * self.soak.crash_rng.uniform(0.5, 1.5))
        if self.id == request.instance_id and not self.changing:
            self.soak.on_end_under(self, request)
            await self.crash(self.soak.crash_rng.uniform(0.5, 2.0))

    async def replace(self, says_leaving):
        self.changing = True
        self.task.cancel()
        target = protocol.deregister_target(self.id)
        self.leaving = True
        acked = await (self.heartbeat() if says_leaving else self.tell(target, {}))
        if acked:
            self.leaving_acked = time.monotonic()
        await asyncio.sleep(DRAIN + 1.0)
        if says_leaving:
            await self.tell(target, {})
        self.server.close()
        await asyncio.sleep(0.2)
        await self.start()
        self.changing = False

    async def limit(self, rate, seconds):
        number = self.number
        self.limits += 1
        self.arrivals = []
        self.rate_limit = round(rate, 2)
        await asyncio.sleep(seconds)
        if self.number == number:
            self.rate_limit = None

    async def leave_by_response(self, beats, forgets):
        """Leaves, and only its responses say so. Its reports are cut off, or
        still say what they said before. Its node may be killed, and start again
        without the store."""
        self.changing = True
        self.says_leaving = True
        if not beats:
            self.task.cancel()
        # The node is back once the platform's bound has passed.
        await asyncio.sleep(DRAIN - 0.2)
        store_proxy = self.soak.store_proxies[self.node.index]
        if forgets:
            store_proxy.set_mode("silent")
            self.node.signal(signal.SIGKILL)
        await asyncio.sleep(2.5)
        if forgets:
            store_proxy.set_mode("pass")
        self.task.cancel()
        await self.tell(protocol.deregister_target(self.id), {})
        self.server.close()
        await asyncio.sleep(0.2)
        await self.start()
        self.changing = False

    async def serve(self, reader, writer):
        mine = self.id
        busy = self.soak.busy.setdefault(mine, set())
        busy.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                await self.answer(mine, line, headers, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass  # The node closed its connection.
        except asyncio.CancelledError:
            pass  # The soak is over.
        finally:
            busy.discard(writer)
            writer.close()

    async def answer(self, mine, line, headers, reader, writer):
        request = protocol.header(headers, protocol.REQUEST_ID) or ""
        expected = protocol.header(headers, protocol.EXPECTED_INSTANCE)
        if expected not in (None, mine) or mine != self.id:
            named = {protocol.INSTANCE: self.id, protocol.REQUEST_ID: request}
            writer.write(format_answer(421, named, b""))
            return
        self.soak.on_run(self, request, line, headers)
        target = line.split(" ")[1]
        running = self.soak.running.setdefault(mine, set())
        running.add(target)
        try:
            if self.soak.leavers.is_leaver(request):
                await self.soak.leavers.work(self, request, reader)
            await self.run(mine, request, line, headers, writer)
        finally:
            running.discard(target)

    async def run(self, mine, request, line, headers, writer):
        if self.soak.ends_instances(line, headers):
            target = line.split(" ")[1]
            task = asyncio.create_task(self.end_under(EndingRequest(target, mine)))
            self.soak.tasks.add(task)
            await asyncio.shield(task)
            raise ConnectionError("the instance has ended")
        roll = self.soak.rng.random()
        work = WORK * self.soak.rng.uniform(0.5, 1.5)
        work, status = self.soak.rollouts.outcome(self, line, work)
        await asyncio.sleep(work)
        if status != 200:
            writer.write(format_answer(status, self.echo(request), b""))
            return
        if roll < self.soak.lose_answers:
            writer.transport.abort()
            return
        content = self.soak.content(request)
        answer = format_answer(200, self.echo(request), content)
        if roll < self.soak.lose_answers * 2:
            broken, resets = self.soak.broken_answers.make(
                self.echo(request), content
            )
            writer.write(broken)
            if resets:
                await asyncio.sleep(0.005)
                fault_answers.reset_on_close(writer)
            writer.close()
            return
        writer.write(answer)
        await writer.drain()

    def echo(self, request):
        headers = {protocol.REQUEST_ID: request, protocol.SIGNATURE: f"s.{request}"}
        if self.rate_limit is not None:
            headers[protocol.RATE_LIMIT] = f"{self.rate_limit:.2f}"
        if self.says_leaving:
            headers[protocol.LEAVING] = "1"
        self.soak.answered_by[request] = (self.id, self.limits)
        return headers


class Node:
    """One sidecar process with its addresses."""

    def __init__(self, soak, index):
        self.soak = soak
        self.index = index
        self.ip = f"127.0.60.{index + 1}"
        self.domain = f"d{index % 3}"
        self.service = "booking" if index % 3 else "library"
        self.reads_store = index % 3 == 0  # For the others.
        base = soak.base_port
        self.callers = (self.ip, base)
        self.links = (self.ip, base + 1)
        self.links_proxy = (self.ip, base + 2)
        self.control = (self.ip, base + 3)
        self.ready = (self.ip, base + 4)
        self.metrics = (self.ip, base + 5)
        self.app = (self.ip, base + 6)
        self.store_proxy = (self.ip, base + 7)
        self.process = None
        self.told_to_stop = False
        self.frozen = False  # A fault has stopped its process for a while.
        self.disturbed = time.monotonic()
        self.interrupted = 0.0  # When it last started, stopped or froze.
        self.starts = 0

    def write_settings(self, requests=None):
        text = json.dumps(
            {
                "node": {
                    "name": f"node-{self.index}",
                    "failure_domain": self.domain,
                    "region": "north",
                },
                "listen": {
                    "callers": "%s:%d" % self.callers,
                    "links": "%s:%d" % self.links,
                    "links_from_outside": "%s:%d" % self.links_proxy,
                    "control": "%s:%d" % self.control,
                    "ready": "%s:%d" % self.ready,
                    "metrics": "%s:%d" % self.metrics,
                },
                # Most have small links, and take configurations from the others.
                "link_mbps": 1000 if self.reads_store else 5,
                "upstream": {"service": self.service, "address": "%s:%d" % self.app},
                "platform": {
                    "address": "%s:%d" % self.store_proxy,
                    "bounds": protocol.bounds(
                        GRACE,
                        0.2,
                        56,
                        10,
                        (
                            fault_rollouts.SHARE,
                            fault_rollouts.SLACK,
                            fault_rollouts.ROLLBACK,
                        ),
                        (self.soak.groups.fail_closed, fault_groups.REVOKE),
                        (
                            self.soak.configurations.apply,
                            fault_configurations.STRETCH,
                        ),
                    ),
                },
                "requests": requests or {},
            },
            indent=1,
        )
        self.settings = self.soak.folder / f"node-{self.index}.yaml"
        self.settings.write_text(text)

    async def run(self):
        """Keeps a process running until the soak ends."""
        while not self.soak.over:
            self.starts += 1
            self.disturbed = time.monotonic()
            self.told_to_stop = False
            log = self.soak.folder / f"node-{self.index}.{self.starts}.log"
            with open(log, "wb") as out:
                self.process = await asyncio.create_subprocess_exec(
                    self.soak.binary,
                    "sidecar",
                    "--settings",
                    str(self.settings),
                    stdout=out,
                    stderr=out,
                )
                code = await self.process.wait()
            self.disturbed = self.interrupted = time.monotonic()
            if code not in (0, -signal.SIGKILL):
                self.soak.fail(f"node {self.index} ended with code {code}: {log}")
            if code == 0 and not self.told_to_stop:
                self.soak.fail(f"node {self.index} ended by itself: {log}")
            await asyncio.sleep(0.3)

    def signal(self, number):
        self.disturbed = time.monotonic()
        if number != signal.SIGHUP:
            self.interrupted = self.disturbed
        if self.process and self.process.returncode is None:
            # Not `send_signal`: it reaps a process that has just been killed,
            # whose exit code the event loop's watcher then never learns.
            try:
                os.kill(self.process.pid, number)
            except ProcessLookupError:
                pass  # It has ended, and `run` is about to hear of it.

    async def freeze(self, seconds):
        self.frozen = True
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.signal(signal.SIGCONT)
        self.frozen = False

    async def stop(self):
        self.told_to_stop = True
        process = self.process
        self.signal(signal.SIGTERM)
        ran = 0.0  # Since the signal; a frozen process cannot stop.
        last = time.monotonic()
        while process.returncode is None and ran < GRACE + SLACK:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            ran += 0.0 if self.frozen else now - last
            last = now
        if process.returncode is None:
            self.soak.fail(f"node {self.index} did not stop within its grace period")
            self.signal(signal.SIGKILL)

    async def is_ready(self):
        try:
            status, _, _ = await call(self.ready, "GET", protocol.READY, timeout=1.0)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False  # It is down or stopped; so it is not ready.


class Soak:
    def __init__(self, options):
        self.options = options
        self.rng = random.Random(options.seed)
        self.binary = str(pathlib.Path(options.binary).resolve())
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"faults-{options.seed}-"))
        self.base_port = 20000 + options.port_offset
        self.over = False
        self.failures = []
        self.schedule = []
        self.busy = {}
        self.runs = {}  # Request id -> runs.
        self.sent = {}  # Request id -> (unsafe, outcome status or None).
        self.origins = {}  # Request id -> (node, when the client sent it).
        self.answered_by = {}  # Request id -> (instance id, number of its limit).
        # What an instance said in responses that a node passed on, as (kind,
        # instance id, node index) -> when it first did.
        self.told = {}
        # Separate, so that the notices do not change the schedule of a seed.
        self.notice_rng = random.Random(options.seed + 1_000_000)
        self.tasks = set()
        self.crash_rng = random.Random(options.seed + 2_000_000)
        self.ends = {}  # Target -> times at which an instance ended under it.
        self.resends = {}  # Target -> sends that a node in touch made after it.
        # Requests that ran on an instance when it ended, and did not end it.
        self.bystanders = set()
        # Whether those were served that share their path, in the calm at the end.
        self.innocent = []
        self.quiet_since = None
        self.running = {}  # Instance id -> targets of its safe requests.
        self.lose_answers = 0.0
        self.version = 1
        self.routes = ["p1"]
        self.acked = {"p1": time.monotonic(), fault_groups.ROUTE: time.monotonic()}
        self.last_fault = time.monotonic()
        self.served = []  # (time, whether it was served)
        self.quotas = fault_quotas.Quotas(self, options.seed)
        self.configurations = fault_configurations.Configurations(self, options.seed)
        self.groups = fault_groups.Groups(self, options.seed)
        self.broken_answers = fault_answers.BrokenAnswers(self, options.seed)
        self.leavers = fault_leavers.Leavers(self, options.seed)
        self.store = Store(self.rng)
        self.rollouts = fault_rollouts.Rollouts(self, options.seed)
        self.nodes = [Node(self, i) for i in range(options.nodes)]
        self.instances = [Instance(self, node) for node in self.nodes]
        self.store_proxies = [Proxy((n.ip, self.base_port + 8)) for n in self.nodes]
        self.link_proxies = [
            Proxy(n.links, self.groups.on_link_bytes) for n in self.nodes
        ]

    def fail(self, text):
        if len(self.failures) < 20:
            self.failures.append(f"{time.monotonic() - self.begin:.3f} s: {text}")

    def content(self, request):
        return (request * 200).encode()

    def configuration(self):
        routes = {}
        for name in self.routes:
            for kind in ("safe", "unsafe"):
                routes[f"{name}-{kind}"] = protocol.route(
                    f"/{name}/{kind}/", kind, "booking"
                )
        services = ["booking", "library"]
        configuration = protocol.configuration(self.version, routes, services)
        return self.groups.extend(self.quotas.extend(configuration))

    async def write_configuration(self):
        await self.store.change(*protocol.CONFIGURATION, self.configuration())

    def on_run(self, instance, request, line, headers):
        self.runs[request] = self.runs.get(request, 0) + 1
        self.quotas.on_run(request)
        self.leavers.on_run(request)
        self.groups.on_run(instance, request, line, headers)
        unsafe = "/unsafe/" in line
        if request not in self.sent:
            self.fail(f"an instance ran {request}, which no client sent")
        if unsafe and self.runs[request] > 1:
            self.fail(f"unsafe request {request} ran {self.runs[request]} times")
        if instance.node.service != "booking":
            self.fail(f"{request} ran at the wrong service")
        self.rollouts.on_run(instance, request)
        acked = instance.leaving_acked
        if acked and time.monotonic() - acked > DRAIN + SLACK:
            self.fail(f"{request} reached {instance.id} after it left")

        self.check_notices(instance, request)
        self.check_resend(instance, line, headers)

    def ends_instances(self, line, headers):
        """Only with this path and by a caller of one service."""
        caller = protocol.header(headers, protocol.CALLER_SERVICE)
        return "/safe/ends-" in line and caller == "booking"

    def on_end_under(self, instance, request):
        self.ends.setdefault(request.target, []).append(time.monotonic())
        running = self.running.get(instance.id, set())
        self.bystanders |= {
            target
            for target in running
            if "/safe/" in target and "/ends-" not in target
            if "/leave" not in target
        }

    def in_touch(self, node):
        """Whether no fault has touched the node, a link or the store lately."""
        since = time.monotonic() - TOUCH
        proxies = self.store_proxies + self.link_proxies
        calm = all(p.mode == "pass" and p.disturbed < since for p in proxies)
        return calm and node.disturbed < since and not self.store.disturbed_since(since)

    def is_in_touch(self, node, at):
        """Whether no fault has touched this node, its links or the store since
        well before the time `at`, whatever happened to other nodes."""
        since = at - TOUCH
        proxies = (self.store_proxies[node.index], self.link_proxies[node.index])
        calm = all(p.mode == "pass" and p.disturbed < since for p in proxies)
        return calm and node.disturbed < since and not self.store.disturbed_since(since)

    def check_resend(self, instance, line, headers):
        target = line.split(" ")[1]
        ends = self.ends.get(target, [])
        if not self.ends_instances(line, headers) or len(ends) < 3:
            return
        if time.monotonic() < ends[2] + TOUCH or not self.in_touch(instance.node):
            return
        self.resends[target] = self.resends.get(target, 0) + 1
        if self.resends[target] > MAX_RESENDS:
            self.fail(
                f"{target} was sent {self.resends[target]} times after three "
                f"instances had ended under it; {len(ends)} ended in all"
            )

    def note_told(self, node, kind, instance_id):
        key = (kind, instance_id, node.index)
        if self.told.get(key, 0.0) <= node.interrupted:
            self.told[key] = time.monotonic()

    def was_told(self, node, kind, instance_id):
        """When the node passed it on; None if it did not, or was interrupted
        since."""
        at = self.told.get((kind, instance_id, node.index))
        return at if at is not None and at > node.interrupted else None

    def check_notices(self, instance, request):
        if request not in self.origins:
            return
        node, sent = self.origins[request]
        now = time.monotonic()
        left = self.was_told(node, "leaving", instance.id)
        if left is not None and sent > left + DRAIN:
            self.fail(f"{request} reached {instance.id} after it said it leaves")
        told = self.was_told(node, f"limit {instance.limits}", instance.id)
        if instance.rate_limit is None or told is None or now < told + TOLD:
            return
        instance.arrivals = [at for at in instance.arrivals if at > now - WINDOW]
        instance.arrivals.append(now)
        allowed = 1.5 * WINDOW * instance.rate_limit + 5
        if len(instance.arrivals) > allowed:
            self.fail(
                f"{instance.id} named a limit of {instance.rate_limit:.2f} and got "
                f"{len(instance.arrivals)} requests in {WINDOW} s"
            )

    async def client(self, number):
        sequence = 0
        while not self.over:
            sequence += 1
            node = self.rng.choice(self.nodes)
            unsafe = self.rng.random() < 0.4
            route = self.rng.choice(self.routes)
            request = f"{number:x}x{sequence:x}"
            await self.one_request(node, route, unsafe, request)
            await asyncio.sleep(self.rng.uniform(0.0, 0.06))

    async def one_request(
        self, node, route, unsafe, request, path=None, headers=None, kept=None
    ):
        """Returns whether it was served. `path`: the last part of the target."""
        self.sent[request] = (unsafe, None)
        kind = "unsafe" if unsafe else "safe"
        begin = time.monotonic()
        self.origins[request] = (node, begin)
        run = node.starts
        status = None
        try:
            status, headers, body = await call(
                node.callers,
                "POST" if unsafe else "GET",
                f"/{route}/{kind}/{path or request}",
                {
                    "Host": "a.example",
                    protocol.REQUEST_ID: request,
                    protocol.DEADLINE_MS: "1500",
                    **(headers or {}),
                },
                timeout=2.5,
                kept=kept,
            )
            self.check_answer(node, route, request, begin, status, headers, body)
            self.configurations.on_answer(node, run, route, begin, status)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass  # No answer promises nothing.
        self.sent[request] = (unsafe, status)
        if path is None:
            self.served.append((begin, status == 200))
        return status == 200

    def check_answer(self, node, route, request, begin, status, headers, body):
        self.broken_answers.check(request, status, headers, body)
        if status == 200:
            if protocol.header(headers, protocol.SIGNATURE) != f"s.{request}":
                self.fail(f"{request} got the answer of another request")
            if body != self.content(request):
                self.fail(f"{request} got a body that is not its own, or not whole")
            instance_id, limit = self.answered_by[request]
            if protocol.header(headers, protocol.RATE_LIMIT):
                self.note_told(node, f"limit {limit}", instance_id)
            if protocol.header(headers, protocol.LEAVING):
                self.note_told(node, "leaving", instance_id)
        calm = begin - max(self.last_fault, node.disturbed) > TOUCH + self.configurations.apply
        in_force = begin - self.acked.get(route, begin) > self.configurations.apply + SLACK
        offered = route not in self.configurations.dropped
        if status == 404 and calm and in_force and offered:
            self.fail(f"{request} got 404 on {route}, in force since long")

    async def ending_client(self, number):
        """Repeats a request that ends instances, and asks for the same path as
        a caller for whom it does not."""
        rng = self.crash_rng
        sequence = 0
        while not self.over:
            for service in ("booking", "library"):
                sequence += 1
                node = rng.choice([n for n in self.nodes if n.service == service])
                request = f"e{number:x}x{sequence:x}"
                path = f"ends-{number}"
                task = self.one_request(node, self.routes[0], False, request, path)
                served = await task
                if service == "library" and self.quiet_since:
                    self.innocent.append(served)
            await asyncio.sleep(rng.uniform(0.02, 0.3))

    async def check_bystanders(self):
        """Requests that ran beside one that ends instances are served."""
        for index, target in enumerate(sorted(self.bystanders)[:40]):
            route, _, path = target.removeprefix("/").split("/")
            if route not in self.routes:
                continue
            node = self.nodes[1]  # Its callers are those of "booking".
            for attempt in range(3):
                request = f"b{index:x}x{attempt:x}"
                if await self.one_request(node, route, False, request, path):
                    break
                await asyncio.sleep(0.3)
            else:
                self.fail(f"{target}, which ran beside a request that ends "
                          "instances, is not served any more")
        if self.innocent and sum(self.innocent) < 0.9 * len(self.innocent):
            self.fail(
                f"{sum(self.innocent)} of {len(self.innocent)} requests are served "
                "that share the path of one that ends instances"
            )

    def blocked_request(self):
        """Digest and target of a blocked request, from the nodes' logs."""
        lines = [
            line
            for log in self.folder.glob("node-*.log")
            for line in log.read_text(errors="replace").splitlines()
        ]
        blocked = {
            re.search(r"digest=(\w+)", line)[1]
            for line in lines
            if "verdict=blocked" in line
        }
        for line in lines:
            for digest, target in re.findall(r"digest=(\w+) .*?target=([^;\"]+)", line):
                if digest in blocked and "ended without notice" in line:
                    return digest, target
        return None

    async def check_clearance(self):
        """An operator lifts a block at one node, and the request runs again."""
        found = self.blocked_request()
        if not found:
            return
        digest, target = found
        self.ends[target] = []
        self.resends.pop(target, None)
        self.nodes[0].write_settings({digest: "cleared"})
        deadline = time.monotonic() + RELOAD + TOUCH
        while not self.ends[target]:
            if time.monotonic() > deadline:
                self.fail(f"{target} is not run after its block was lifted")
                return
            await asyncio.sleep(0.1)

    # Faults: each is a coroutine that begins and ends one.

    async def fault_kill(self):
        self.rng.choice(self.nodes).signal(signal.SIGKILL)

    async def fault_herd(self):
        for node in self.rng.sample(self.nodes, len(self.nodes) // 2):
            node.signal(signal.SIGKILL)

    async def fault_freeze(self):
        await self.rng.choice(self.nodes).freeze(self.rng.uniform(0.3, 3.0))

    async def fault_stop(self):
        node = self.rng.choice(self.nodes)
        if not node.told_to_stop and node.process.returncode is None:
            await node.stop()

    async def fault_hup(self):
        self.rng.choice(self.nodes).signal(signal.SIGHUP)

    async def fault_link(self):
        proxy = self.rng.choice(self.link_proxies)
        proxy.set_mode(self.rng.choice(["delay", "one_way", "silent", "reset"]))
        await asyncio.sleep(self.rng.uniform(0.2, 3.0))
        proxy.set_mode("pass")

    async def fault_store_link(self):
        proxy = self.rng.choice(self.store_proxies)
        proxy.set_mode(self.rng.choice(["delay", "one_way", "silent", "reset"]))
        await asyncio.sleep(self.rng.uniform(0.2, 4.0))
        proxy.set_mode("pass")

    async def fault_store(self):
        self.store.fault = self.rng.choice(["busy", "silent", "lost", "slow"])
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        self.store.fault = None

    async def fault_swallowed_watches(self):
        """The watches after a change reach a silent store; it is back, and the
        configuration changes once more."""
        self.store.fault = "silent"
        await self.fault_configuration()
        await asyncio.sleep(1.9)
        self.store.fault = None
        await self.fault_configuration()

    async def fault_restore(self):
        """The store goes away and comes back from a copy some seconds old. The
        operator writes again what was lost; so do the nodes."""
        self.store.fault = "down"
        await asyncio.sleep(self.rng.uniform(0.2, 1.0))
        restored = await self.store.restore(self.rng.uniform(0.5, 5.0))
        self.store.fault = None
        if not restored:
            return
        era, back = self.store.era, self.store.last_disturbed
        await asyncio.sleep(self.rng.uniform(0.0, 0.5))
        await self.store.change(*protocol.CONFIGURATION, self.configuration())
        await self.rollouts.rewrite()
        await asyncio.sleep(REWRITE + SLACK)
        if self.store.era == era and not self.store.disturbed_since(back):
            self.check_records(back)

    def check_records(self, back):
        for node, instance, proxy in zip(
            self.nodes, self.instances, self.store_proxies
        ):
            calm = max(node.disturbed, instance.changed, proxy.disturbed) < back - TOUCH
            if not calm or instance.changing or node.process.returncode is not None:
                continue
            if proxy.mode != "pass":
                continue  # Cut off from the store since before it was back.
            record = self.store.objects.get((protocol.MEMBERS, f"node-{node.index}"))
            if record is None or record["spec"]["instance"] != instance.id:
                self.fail(f"no record of {instance.id} after a restore of the store")

    async def fault_history(self):
        self.store.oldest = self.store.revision + 1
        self.store.revision += 1

    async def fault_crash(self):
        instance = self.rng.choice(self.instances)
        if not instance.changing:
            await instance.crash()

    async def fault_replace(self):
        instance = self.rng.choice(self.instances)
        if not instance.changing:
            await instance.replace(self.rng.random() < 0.6)

    async def fault_lost_answers(self):
        self.lose_answers = 0.05
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        self.lose_answers = 0.0

    async def fault_configuration(self):
        self.version += self.rng.randint(1, 3)
        name = f"p{self.version}"
        version, dropped = self.version, self.routes[1:]
        self.routes = self.routes[:1] + [name]
        self.configurations.on_change(version, [name], dropped)
        await self.write_configuration()
        self.acked[name] = time.monotonic()
        self.configurations.on_change(version, [name], dropped, self.acked[name])

    async def inject(self):
        kinds = [getattr(self, name) for name in dir(self) if name.startswith("fault_")]
        running = set()
        end = self.begin + self.options.warm_up + self.options.seconds
        while time.monotonic() < end:
            for _ in range(self.rng.choice([1, 1, 2, 3])):
                fault = self.rng.choice(kinds)
                at = time.monotonic() - self.begin
                self.schedule.append(f"{at:.3f} s: {fault.__name__}")
                running.add(asyncio.create_task(fault()))
            self.last_fault = time.monotonic()
            await asyncio.sleep(self.rng.uniform(0.1, 2.0))
        results = await asyncio.gather(*running, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                self.fail(f"the soak itself failed: {result!r}")
        self.last_fault = time.monotonic()

    async def notice_once(self):
        rng = self.notice_rng
        instance = rng.choice([i for i in self.instances if i.node.service == "booking"])
        leaves, beats, forgets = (rng.random() < share for share in (0.4, 0.6, 0.5))
        rate = rng.choice([0.0, rng.uniform(0.2, 3.0), rng.uniform(3.0, 15.0)])
        seconds = rng.uniform(2.0, 7.0)
        if instance.changing or instance.rate_limit is not None:
            return
        what = f"leaves {beats} {forgets}" if leaves else f"limit {rate:.2f}"
        at = time.monotonic() - self.begin
        self.schedule.append(f"{at:.3f} s: {instance.id} {what}")
        await (
            instance.leave_by_response(beats, forgets)
            if leaves
            else instance.limit(rate, seconds)
        )

    async def inject_notices(self):
        """Instances that name limits, or that say that they leave."""
        running = set()
        end = self.begin + self.options.warm_up + self.options.seconds
        while time.monotonic() < end:
            running.add(asyncio.create_task(self.notice_once()))
            await asyncio.sleep(self.notice_rng.uniform(0.3, 2.0))
        for result in await asyncio.gather(*running, return_exceptions=True):
            if isinstance(result, Exception):
                self.fail(f"the soak itself failed: {result!r}")
        self.last_fault = time.monotonic()

    async def check_recovery(self):
        deadline = self.last_fault + RECOVERY
        while time.monotonic() < deadline:
            states = await asyncio.gather(*(node.is_ready() for node in self.nodes))
            if all(states):
                break
            await asyncio.sleep(0.1)
        else:
            self.fail(f"not all nodes are ready {RECOVERY} s after the last fault")
        await asyncio.sleep(TOUCH)
        begin = time.monotonic()
        self.quiet_since = begin
        await asyncio.sleep(2.0)
        recent = [ok for at, ok in self.served if at >= begin]
        if not recent or sum(recent) < 0.9 * len(recent):
            self.fail(f"{sum(recent)} of {len(recent)} are served after recovery")
        await self.check_bystanders()
        await self.check_clearance()

    def check_refusals(self):
        for request, (unsafe, status) in self.sent.items():
            if unsafe and status in (408, 421, 429, 503) and self.runs.get(request):
                self.fail(f"{request} was refused with {status} and has run")

    async def main(self):
        self.begin = time.monotonic()
        await self.write_configuration()
        servers = []
        for node, store_proxy, link_proxy in zip(
            self.nodes, self.store_proxies, self.link_proxies
        ):
            node.write_settings()
            address = (node.ip, self.base_port + 8)
            servers += [
                await asyncio.start_server(self.store.serve, *address),
                await asyncio.start_server(store_proxy.serve, *node.store_proxy),
                await asyncio.start_server(link_proxy.serve, *node.links_proxy),
            ]
        keepers = [asyncio.create_task(node.run()) for node in self.nodes]
        for instance in self.instances:
            await instance.start()
        await asyncio.sleep(self.options.warm_up)
        clients = [
            asyncio.create_task(self.client(i)) for i in range(self.options.clients)
        ]
        clients += [
            asyncio.create_task(self.ending_client(i))
            for i in range(self.options.ending_requests)
        ]
        clients.append(asyncio.create_task(self.quotas.callers()))
        clients.append(asyncio.create_task(self.groups.callers()))
        clients.append(asyncio.create_task(self.leavers.callers()))
        clients.append(asyncio.create_task(self.groups.changes()))
        clients.append(asyncio.create_task(self.configurations.callers()))
        end = self.begin + self.options.warm_up + self.options.seconds
        await asyncio.gather(
            self.inject(),
            self.inject_notices(),
            self.rollouts.inject(end),
            self.quotas.changes(end),
            self.groups.cut_off(),
            self.configurations.inject(end),
        )
        self.last_fault = time.monotonic()
        await self.check_recovery()
        await self.groups.check_metrics()
        self.over = True
        await asyncio.gather(*clients)
        for task in self.tasks:
            task.cancel()
        for instance in self.instances:
            instance.task.cancel()
        await asyncio.gather(*(node.stop() for node in self.nodes))
        await asyncio.gather(*keepers)
        self.check_refusals()
        self.quotas.check()
        self.groups.check()
        self.leavers.check()
        for server in servers:
            server.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--binary", default="build/verbenastile")
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--clients", type=int, default=12)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--warm-up", type=float, default=2.0)
    parser.add_argument("--ending-requests", type=int, default=1)
    parser.add_argument("--port-offset", type=int, default=0)
    options = parser.parse_args()
    soak = Soak(options)
    asyncio.run(soak.main())
    served = sum(ok for _, ok in soak.served)
    print(
        f"faults: seed {options.seed}: {len(soak.schedule)} faults, "
        f"{served} of {len(soak.served)} requests served, "
        f"{len(soak.failures)} broken promises; "
        f"{soak.configurations.checked} answers told old and new routes apart; "
        f"roll-outs: {', '.join(soak.rollouts.done)}"
    )
    if not soak.failures:
        shutil.rmtree(soak.folder)
        return 0
    for failure in soak.failures:
        print(f"  {failure}")
    (soak.folder / "schedule").write_text("\n".join(soak.schedule) + "\n")
    print(f"  logs and schedule: {soak.folder}")
    return 1


if __name__ == "__main__":
    sys.exit(main())
