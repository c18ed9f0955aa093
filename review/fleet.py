"""Stand-ins of the platform for the cases of this review: its store, servers,
clients, and what starts, watches and ends the sidecars of a small deployment.

They follow the users' pages (SYSTEM, PROTOCOL, DEPLOY). All traffic stays on
loopback addresses.
"""
import asyncio
import gc
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]

# The bounds of `kic-mesh` (SYSTEM.md).
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 56,
    "recovery_s": 15,
}
MEMORY_MB = 260
HEARTBEAT_S = 1.5
STABLE_S = BOUNDS["stable_window_ms"] / 1000
DRAIN_S = BOUNDS["drain_ms"] / 1000
HOST = "ficu95.example"
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 67108864,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


class CannotRun(Exception):
    """The case could not be played."""


async def read_head(reader):
    """The first line and the headers, with their names in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(first, headers, body=b""):
    text = first + "\r\n" + f"Content-Length: {len(body)}\r\n"
    text += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return text.encode("latin-1") + b"\r\n" + body


async def exchange(address, method, target, headers, body=b"", timeout=1.0):
    """One request on a connection of its own: status, headers, body."""

    async def run():
        reader, writer = await asyncio.open_connection(*address)
        try:
            host = {"Host": "%s:%d" % address}
            writer.write(message(f"{method} {target} HTTP/1.1", host | headers, body))
            line, got = await read_head(reader)
            return int(line.split()[1]), got, await read_body(reader, got)
        finally:
            writer.close()

    return await asyncio.wait_for(run(), timeout)


class Record:
    """What was sent, answered and run."""

    def __init__(self, path):
        self.begin = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begin

    def add(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Store:
    """The platform's store, in its form `objects`, without a fault."""

    def __init__(self):
        self.objects = {}
        self.events = []
        self.revision = 1
        self.changed = asyncio.Event()

    def put(self, kind, name, spec, status=None):
        self.revision += 1
        known = self.objects.get((kind, name), {})
        value = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": known.get("metadata", {}).get("created", self.revision),
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": status if status is not None else known.get("status", {}),
        }
        self.objects[(kind, name)] = value
        self.tell(kind, value, False)
        return value

    def tell(self, kind, value, deleted):
        self.events.append((self.revision, kind, value, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def remove(self, kind, name):
        self.revision += 1
        value = self.objects.pop((kind, name))
        self.tell(kind, value, True)
        return value

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                await asyncio.sleep(0.004)
                status, answer = await self.handle(method, target, body)
                json_type = {"Content-Type": "application/json"}
                text = json.dumps(answer).encode()
                writer.write(message(f"HTTP/1.1 {status} X", json_type, text))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # The caller has closed the connection.
        finally:
            writer.close()

    async def handle(self, method, target, body):
        path, _, query = target.partition("?")
        parts = path.removeprefix("/api/objects/").split("/")
        options = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        kind = parts[0]
        if method == "GET" and len(parts) == 1 and "watch" in options:
            return await self.watch(kind, options)
        if method == "GET" and len(parts) == 1:
            after = options.get("after", "")
            items = sorted(
                (n, v) for (k, n), v in self.objects.items() if k == kind and n > after
            )
            return 200, {
                "items": [value for _, value in items],
                "has_more": False,
                "current_rev": self.revision,
            }
        sent = json.loads(body) if body else {}
        name = parts[1] if len(parts) > 1 else sent["metadata"]["name"]
        known = self.objects.get((kind, name))
        if method == "POST":
            if known:
                return 409, known
            return 200, self.put(kind, name, sent.get("spec"))
        if known is None:
            return 404, {}
        if method == "GET":
            return 200, known
        revision = sent.get("metadata", {}).get("revision") or options.get("revision")
        if revision is not None and int(revision) != known["metadata"]["revision"]:
            return 409, known
        if method == "DELETE":
            return 200, self.remove(kind, name)
        if parts[2:] == ["status"]:
            if sent.get("status") == known["status"]:
                return 200, known
            return 200, self.put(kind, name, known["spec"], sent.get("status"))
        if sent.get("spec") == known["spec"]:
            return 200, known
        return 200, self.put(kind, name, sent.get("spec"))

    async def watch(self, kind, options):
        since = int(options["watch"])
        end = time.monotonic() + int(options.get("wait_ms", "0")) / 1000
        while True:
            changed = self.changed
            events = [
                {"object": value, "deleted": deleted}
                for revision, of, value, deleted in self.events
                if revision > since and of == kind
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Server:
    """One start of a server beside a sidecar."""

    def __init__(self, machine, name, *, slots=9, queue=36, work=0.09, version="v1"):
        self.machine = machine
        self.fleet = machine.fleet
        self.id = name
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.queue = queue
        self.waiting = 0
        self.work = work
        self.version = version
        self.state = "ready"
        self.sequence = 0
        self.acked = None  # When the sidecar acknowledged that it leaves.
        self.gone = False
        self.writers = set()
        self.running = {}
        self.trouble = None  # Answers in place of the server's own, if set.

    async def start(self):
        self.born = int(time.time() * 1000)
        self.listener = await asyncio.start_server(
            self.serve, *self.machine.app, limit=1 << 20
        )
        self.fleet.record.add(f"server {self.id} starts, born {self.born}")
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            await self.heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def heartbeat(self):
        self.sequence += 1
        state = self.state
        body = {
            "address": "%s:%d" % self.machine.app,
            "born": self.born,
            "info": {
                "service": self.machine.service,
                "version": self.version,
                "zone": self.machine.zone,
                "slots": self.slot_count,
            },
            "status": {
                "state": state,
                "sequence": self.sequence,
                "warmup_left_ms": 0,
            },
        }
        acked = await self.tell(f"/api/Instances.Heartbeat/{self.id}", body)
        if acked and state == "draining" and self.acked is None:
            self.acked = time.monotonic()
            self.fleet.record.add(f"server {self.id}: draining is acknowledged")
        return acked

    async def tell(self, target, body):
        try:
            status, _, _ = await exchange(
                self.machine.control,
                "POST",
                target,
                {"Content-Type": "application/json"},
                json.dumps(body).encode(),
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        return 200 <= status < 300

    async def leave(self, longer):
        """Reports `draining`, serves for `drain_ms` and `longer` seconds after
        the acknowledgement, deregisters and exits."""
        self.state = "draining"
        self.fleet.record.add(f"server {self.id} reports draining")
        for _ in range(4):
            if await self.heartbeat():
                break
        await asyncio.sleep(DRAIN_S + longer)
        acked = await self.tell(
            f"/api/Instances.Deregister/{self.id}", {"born": self.born}
        )
        self.fleet.record.add(f"server {self.id} deregisters, acknowledged: {acked}")
        self.end()

    def end(self):
        """The process exits."""
        self.gone = True
        self.beats.cancel()
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.fleet.record.add(
            f"server {self.id} exits, at work on {len(self.running)} requests"
        )
        for attempt in self.running:
            self.fleet.cut_off.add(attempt)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if not await self.answer(line, headers, body, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # The sidecar has closed the connection.
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, line, headers, body, writer):
        _, target, _ = line.split(" ")
        attempt = headers.get("x-attempt-id", "")
        names = {"X-Instance-Id": self.id}
        if target == "/health":
            status = 200 if self.state == "ready" else 503
            writer.write(message(f"HTTP/1.1 {status} X", names))
            return True
        names["X-Attempt-Id"] = attempt
        if headers.get("x-expect-instance", self.id) != self.id:
            writer.write(message("HTTP/1.1 421 Misdirected Request", names))
            return True
        if not attempt:
            names["X-Not-Executed"] = "1"
            writer.write(message("HTTP/1.1 400 Bad Request", names))
            return True
        if self.waiting > self.queue:
            names["X-Not-Executed"] = "1"
            writer.write(message("HTTP/1.1 503 Service Unavailable", names))
            return True
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            if self.gone:
                return False
            self.fleet.on_run(self, attempt)
            if "x-tenant" in headers:
                self.fleet.ran_for[attempt] = headers["x-tenant"]
            if self.trouble and await self.trouble(self, attempt, writer):
                return False
            self.running[attempt] = time.monotonic()
            try:
                limit = int(headers.get("x-deadline-ms", "10000")) / 1000
                work = self.work * random.uniform(0.7, 1.3)
                await asyncio.sleep(min(work, limit))
            finally:
                self.running.pop(attempt, None)
        if self.gone:
            return False
        names["X-Response-Signature"] = f"{self.id}.{attempt}"
        content = f"{attempt} {len(body)} {self.id}\n".encode()
        leaving = self.state != "ready"
        if leaving:
            names["Connection"] = "close"
        status = "200 OK" if work <= limit else "504 Gateway Timeout"
        writer.write(message(f"HTTP/1.1 {status}", names, content))
        await writer.drain()
        return not leaving


class Cut:
    """A proxy in front of an address, which can reset the connections of some
    machines' sidecars to it, as a cut with `reset` does."""

    def __init__(self, fleet, target):
        self.fleet = fleet
        self.target = target
        self.refused = set()  # Machines.
        self.open = {}  # Writer -> machine.

    async def listen(self, address):
        self.listener = await asyncio.start_server(self.serve, *address)

    def cut(self, machines):
        self.refused = set(machines)
        for writer, machine in list(self.open.items()):
            if machine in self.refused:
                writer.transport.abort()

    async def serve(self, reader, writer):
        machine = self.fleet.machine_at(writer.get_extra_info("peername"))
        if machine in self.refused:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        for each in (writer, far_writer):
            sock = each.get_extra_info("socket")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.open[each] = machine
        await asyncio.gather(
            self.pump(reader, far_writer), self.pump(far_reader, writer)
        )
        self.open.pop(writer, None)
        self.open.pop(far_writer, None)

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass  # One side has closed; so does the other.
        finally:
            writer.close()


class Machine:
    """One machine: a sidecar process, and the place of a server beside it."""

    def __init__(self, fleet, index, service, zone):
        self.fleet = fleet
        self.index = index
        self.name = f"sidecar-{zone}-{index}"
        self.service = service
        self.zone = zone
        self.ip = f"127.0.{fleet.net}.{index + 1}"
        ports = free_ports(self.ip, 7)
        self.outbound = (self.ip, ports[0])
        self.ready = (self.ip, ports[1])
        self.control = (self.ip, ports[2])
        self.app = (self.ip, ports[3])
        self.inner = (ports[4], ports[5])
        self.links_cut = None  # In front of the address for other sidecars.
        self.links_seen = (self.ip, ports[6])
        self.store_cut = None  # In front of the store.
        self.store_seen = fleet.store_address
        self.process = None
        self.is_in = False  # Whether the platform sends clients here.
        self.started = 0.0
        self.kills = 0  # By the platform, for its memory.
        self.peak_mb = 0.0
        self.over = False

    def settings(self):
        """The template of the project, filled in as DEPLOY.md says."""
        values = {
            "node": self.name,
            "zone": self.zone,
            "region": "windhoek",
            "service": self.service,
            "ip": self.ip,
            "app_addr": "%s:%d" % self.app,
            "listen.outbound": "%s:%d" % self.outbound,
            "listen.control": "%s:%d" % self.control,
            "listen.ready": "%s:%d" % self.ready,
            "internal_port_range.0": str(self.inner[0]),
            "internal_port_range.1": str(self.inner[1]),
            "platform.address": "%s:%d" % self.store_seen,
            "bounds|json": json.dumps(BOUNDS | self.fleet.more_bounds),
            "limits.link_mbps": "1000.0",
        }
        text = (ROOT / self.fleet.template).read_text(encoding="utf-8")
        text = re.sub(r"\{\{([^}]+)\}\}", lambda found: values[found.group(1)], text)
        if self.links_cut:
            # A setting of the project: where other sidecars reach this one.
            seen = '"%s:%d"' % self.links_seen
            text = text.replace("\n  links:", f"\n  links_from_outside: {seen}\n  links:")
        return text

    async def stand_behind_cuts(self):
        self.links_cut = Cut(self.fleet, (self.ip, self.inner[0]))
        await self.links_cut.listen(self.links_seen)
        self.store_cut = Cut(self.fleet, self.fleet.store_address)
        self.store_seen = (self.ip, free_ports(self.ip, 1)[0])
        await self.store_cut.listen(self.store_seen)

    async def start(self):
        path = self.fleet.folder / f"{self.name}.yaml"
        path.write_text(self.settings(), encoding="utf-8")
        run = [
            str(path) if word.startswith("/etc/") else word
            for word in self.fleet.run.split()
        ]
        keep = ("PATH", "HOME", "LANG")
        variables = {name: os.environ[name] for name in keep if name in os.environ}
        variables["VERBENASTILE_BOOT"] = str(path)
        self.started = time.monotonic()
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *run, cwd=ROOT, env=variables, stdout=log, stderr=log
        )
        log.close()
        self.fleet.record.add(f"{self.name} starts")

    async def keep(self):
        """A process that ends is started again after a short delay."""
        while not self.over:
            code = await self.process.wait()
            if self.over:
                return
            self.fleet.record.add(f"{self.name} has ended, code {code}")
            await asyncio.sleep(0.5)
            if not self.over:
                await self.start()

    def signal(self, number):
        if self.process and self.process.returncode is None:
            try:
                os.kill(self.process.pid, number)
            except ProcessLookupError:
                pass  # It has just ended.

    async def ask_ready(self):
        misses = 2
        while not self.over:
            try:
                status, _, _ = await exchange(self.ready, "GET", "/api/ready", {})
                misses = 0 if status == 200 else misses + 1
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                misses += 1
            if misses == 0 and not self.is_in:
                self.fleet.record.add(f"{self.name} is in")
            self.is_in = misses < 2
            await asyncio.sleep(1.0 if self.is_in else 0.2)

    async def watch_memory(self):
        """A process that exceeds `memory_mb` is killed (DEPLOY.md)."""
        while not self.over:
            process = self.process
            try:
                text = pathlib.Path(f"/proc/{process.pid}/status").read_text()
                found = re.search(r"VmHWM:\s+(\d+) kB", text)
            except (OSError, AttributeError):
                found = None
            if found:
                used = int(found.group(1)) / 1024
                self.peak_mb = max(self.peak_mb, used)
                if used > MEMORY_MB and process.returncode is None:
                    self.kills += 1
                    self.fleet.record.add(
                        f"{self.name} uses {used:.0f} MB of {MEMORY_MB}: killed"
                    )
                    self.signal(signal.SIGKILL)
                    await process.wait()
            await asyncio.sleep(0.01)


def free_ports(ip, count):
    sockets = []
    for _ in range(count):
        one = socket.socket()
        one.bind((ip, 0))
        sockets.append(one)
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Fleet:
    """A small deployment on loopback addresses."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="verbenastile-review-"))
        self.net = random.randint(80, 250)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["sidecar"]
        self.run, self.template = role["run"], role["template"]
        if not (ROOT / self.run.split()[0]).exists():
            raise CannotRun(f"{self.run.split()[0]} is not built")
        self.store = Store()
        self.store_address = ("127.0.0.1", free_ports("127.0.0.1", 1)[0])
        self.machines = []
        self.tasks = []
        self.sent = {}  # Attempt -> when it was sent.
        self.runs = {}  # Attempt -> [(server id, when)].
        self.answers = {}  # Attempt -> (status, text), when there was one.
        self.more_bounds = {}
        self.tenants = None  # Of the configuration; None: it has none.
        self.ran_for = {}  # Attempt -> tenant that a server was told.
        self.cut_off = set()  # Attempts at which a server worked as it exited.
        self.origins = {}  # Attempt -> (machine, on a kept connection).
        self.attempts = 0

    def add_machine(self, service, zone="whk-a"):
        machine = Machine(self, len(self.machines), service, zone)
        self.machines.append(machine)
        return machine

    def machine_at(self, peer):
        """The machine whose sidecar opened the connection from `peer`."""
        port = f":{peer[1]:04X}"
        inode = None
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[1].endswith(port) and fields[9] != "0":
                ip = socket.inet_ntoa(bytes.fromhex(fields[1][:8])[::-1])
                inode = fields[9] if ip == peer[0] else inode
        for machine in self.machines:
            if not inode or not machine.process:
                continue
            for entry in pathlib.Path(f"/proc/{machine.process.pid}/fd").glob("*"):
                try:
                    if os.readlink(entry) == f"socket:[{inode}]":
                        return machine
                except OSError:
                    pass  # It has just been closed.
        return None

    def configure(self, routes, services, version=1):
        """`routes`: (name, prefix, kind, service, timeout_ms)."""
        self.store.put(
            "config",
            "main",
            {
                "version": f"{version:08x}",
                "routes": {
                    name: {
                        "host": HOST,
                        "path_prefix": prefix,
                        "kind": kind,
                        "timeout_ms": timeout_ms,
                        "target_latency_ms": 400,
                        "priority": 1,
                        "service": service,
                        "max_attempts": 2,
                    }
                    for name, prefix, kind, service, timeout_ms in routes
                },
                "services": {
                    name: {
                        "health_path": "/health",
                        "max_connections": 110,
                        "protocol": "h1",
                        "tls": False,
                    }
                    for name in services
                },
                "limits": LIMITS,
            }
            | ({} if self.tenants is None else {"tenants": self.tenants}),
        )

    async def start(self, watch_memory=False):
        self.store_listener = await asyncio.start_server(
            self.store.serve, *self.store_address
        )
        for machine in self.machines:
            await machine.start()
            self.spawn(machine.keep())
            self.spawn(machine.ask_ready())
            if watch_memory:
                self.spawn(machine.watch_memory())

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.append(task)
        return task

    async def until_in(self, seconds=20):
        deadline = time.monotonic() + seconds
        while not all(machine.is_in for machine in self.machines):
            if time.monotonic() > deadline:
                raise CannotRun("the machines are not ready")
            await asyncio.sleep(0.1)

    def on_run(self, server, attempt):
        self.runs.setdefault(attempt, []).append((server.id, time.monotonic()))
        self.record.add(f"run {attempt} at {server.id}")

    def next_attempt(self):
        self.attempts += 1
        return f"{self.attempts:08x}{random.getrandbits(32):08x}"

    async def request(
        self, machine, method, target, deadline_ms, body=b"", kept=None, key=None
    ):
        """One client attempt; the answer is kept in `answers`. `kept` is a list
        with the client's connection, if it has one open."""
        attempt = self.next_attempt()
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(deadline_ms),
        }
        if key:
            headers["Authorization"] = f"Token {key}"
        text = message(f"{method} {target} HTTP/1.1", headers, body)
        connection = kept.pop() if kept else None
        self.origins[attempt] = (machine, connection is not None)
        try:
            if connection is None:
                connection = await asyncio.wait_for(
                    asyncio.open_connection(*machine.outbound), 1.0
                )
        except (OSError, asyncio.TimeoutError):
            self.record.add(f"no connection to {machine.name}")
            return None
        reader, writer = connection
        self.sent[attempt] = time.monotonic()
        self.record.add(f"send {attempt} {method} {target} at {machine.name}")
        keeps = False
        try:
            writer.write(text)
            line, got = await asyncio.wait_for(read_head(reader), deadline_ms / 1000)
            content = await asyncio.wait_for(read_body(reader, got), 1.0)
            status = int(line.split()[1])
            keeps = kept is not None and got.get("connection", "") != "close"
            self.answers[attempt] = (status, content.decode("latin-1").strip())
        except asyncio.TimeoutError:
            self.answers[attempt] = (0, "the client's deadline has passed")
        except (OSError, asyncio.IncompleteReadError):
            self.answers[attempt] = (0, "the connection was closed")
        status, content = self.answers[attempt]
        self.record.add(f"answer {attempt} {status} {content[:80]}")
        if keeps:
            kept.append(connection)
        else:
            writer.close()
        return attempt

    async def stop(self):
        for machine in self.machines:
            machine.over = True
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for machine in self.machines:
            machine.signal(signal.SIGCONT)
            machine.signal(signal.SIGTERM)
        for machine in self.machines:
            if machine.process is None:
                continue
            try:
                await asyncio.wait_for(machine.process.wait(), BOUNDS["grace_s"] + 1)
            except asyncio.TimeoutError:
                machine.signal(signal.SIGKILL)
                await machine.process.wait()
        self.store_listener.close()
        rest = asyncio.all_tasks() - {asyncio.current_task()}
        for task in rest:
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)
        gc.collect()  # Connections close while the event loop still runs.
        await asyncio.sleep(0.1)
        if os.environ.get("KEEP"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(case, folder):
    """Runs `case(fleet, trouble)`, which returns what broke the rule; empty if
    it held. Exit codes: 1 broken, 0 held, 2 the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        fleet = Fleet(pathlib.Path(folder) / "record.txt")
        fleet.record.add(f"trouble: {trouble}")
        try:
            broken = await asyncio.wait_for(case(fleet, trouble), 100)
        finally:
            await fleet.stop()
        for line in broken or ["the rule held"]:
            fleet.record.add(line)
            print(line)
        return 1 if broken else 0

    try:
        code = asyncio.run(run())
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        print(f"the case could not run: {error!r}")
        code = 2
    sys.exit(code)
