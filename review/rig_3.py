"""Stand-ins of the third review: the platform's store, servers, clients, and
the sidecars as separate processes, all on loopback addresses.

They do what the users' pages say. Where a page is silent they behave like a
sound platform, server or client.
"""
import asyncio
import itertools
import json
import os
import pathlib
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 56,
    "recovery_s": 15,
}
HEARTBEAT = 0.87  # Seconds between two heartbeats.
HOST = "ficu95.example"


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.begin = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def write(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{time.monotonic() - self.begin:8.3f} {what} {text}\n")
        self.file.flush()


async def read_message(reader, with_body=True, no_body=False):
    """First line, headers (names in lower case) and body of one message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    if not with_body or no_body:
        return first, headers, b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return first, headers, body
            body += part[:-2]
    if "content-length" in headers:
        return first, headers, await reader.readexactly(int(headers["content-length"]))
    if first.startswith("HTTP/"):
        return first, headers, await reader.read()
    return first, headers, b""


def message(first, headers, body=b""):
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.objects = {}  # (kind, name) -> object
        self.events = []  # (revision, kind, object, deleted)
        self.revision = 7
        self.changed = asyncio.Condition()
        self.down_for = set()  # Names of the machines that it turns away.
        self.server = None

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, *address)

    async def put(self, kind, name, spec=None, deleted=False, status=None):
        self.revision += 1
        known = self.objects.get((kind, name), {"metadata": {}, "spec": None})
        meta = {
            "name": name,
            "revision": self.revision,
            "created": known["metadata"].get("created", self.revision),
        }
        value = {"metadata": meta, "spec": known["spec"] if spec is None else spec}
        if status is not None or "status" in known:
            value["status"] = known.get("status") if status is None else status
        if deleted:
            self.objects.pop((kind, name), None)
        else:
            self.objects[kind, name] = value
        self.events.append((self.revision, kind, value, deleted))
        async with self.changed:
            self.changed.notify_all()
        return value

    async def serve(self, reader, writer):
        try:
            while True:
                first, _, body = await read_message(reader)
                method, target, _ = first.split(" ")
                await asyncio.sleep(0.004)
                status, answer = await self.answer(method, target, body)
                writer.write(
                    message(
                        f"HTTP/1.1 {status} X",
                        {"Content-Type": "application/json", "Store-Era": 1},
                        json.dumps(answer).encode(),
                    )
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        options = dict(part.split("=", 1) for part in query.split("&") if part)
        kind, name, *rest = [*path.removeprefix("/api/objects/").split("/"), "", ""]
        if method == "GET" and "watch" in options:
            return await self.watch(kind, options)
        if method == "GET" and not name:
            items = [o for (k, _), o in sorted(self.objects.items()) if k == kind]
            return 200, {
                "items": items, "has_more": False, "current_rev": self.revision
            }
        known = self.objects.get((kind, name))
        if method == "GET":
            return (200, known) if known else (404, {})
        sent = json.loads(body) if body else {}
        if method == "POST":
            if known:
                return 409, known
            return 200, await self.put(kind, name, sent["spec"])
        if known is None:
            return 404, {}
        revision = sent.get("metadata", {}).get("revision", options.get("revision"))
        if revision is not None and int(revision) != known["metadata"]["revision"]:
            return 409, known
        if method == "DELETE":
            return 200, await self.put(kind, name, deleted=True)
        if rest[0] == "status":
            if sent["status"] == known.get("status"):
                return 200, known
            return 200, await self.put(kind, name, status=sent["status"])
        if sent["spec"] == known["spec"]:
            return 200, known
        return 200, await self.put(kind, name, sent["spec"])

    async def watch(self, kind, options):
        since = int(options["watch"])
        end = time.monotonic() + int(options.get("wait_ms", 0)) / 1000
        while True:
            events = [
                {"object": value, "deleted": deleted}
                for revision, of, value, deleted in self.events
                if revision > since and of == kind
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Proxy:
    """Stands between a sidecar and the server at its address. After `cut`, the
    connections that are open carry nothing in either direction any more, as
    with a machine that lost power; new ones neither, until `heal`."""

    def __init__(self, target):
        self.target = target
        self.dark = False
        self.generation = 0
        self.open = set()

    async def start(self, address):
        return await asyncio.start_server(self.serve, *address)

    def cut(self):
        self.generation += 1
        self.dark = True

    def heal(self, target):
        self.target = target
        self.dark = False

    async def serve(self, reader, writer):
        mine = self.generation
        self.open.add(writer)
        try:
            if self.dark:
                await asyncio.sleep(3600)
            far_reader, far_writer = await asyncio.open_connection(*self.target)
            await asyncio.gather(
                self.pump(reader, far_writer, mine), self.pump(far_reader, writer, mine)
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()
            self.open.discard(writer)

    async def pump(self, reader, writer, mine):
        try:
            while data := await reader.read(65536):
                if mine != self.generation:
                    await asyncio.sleep(3600)
                writer.write(data)
                await writer.drain()
            if mine != self.generation:
                await asyncio.sleep(3600)
        except OSError:
            pass
        finally:
            writer.close()


class Machine:
    """The addresses of one machine, its sidecar, and its settings file."""

    def __init__(self, case, index, service, zone):
        self.case = case
        self.name = f"sidecar-{zone}-{index}"
        self.ip = f"127.0.{case.net}.{index}"
        self.service = service
        self.zone = zone
        base = case.base_port
        self.outbound = (self.ip, base)
        self.ready = (self.ip, base + 1)
        self.control = (self.ip, base + 2)
        self.app = (self.ip, base + 3)
        self.behind = (self.ip, base + 4)  # The server, where a proxy has `app`.
        self.internal = (base + 6, base + 21)
        self.process = None
        self.settings = case.folder / f"{self.name}.yaml"
        self.link_mbps = 1000.0
        self.memory_mb = 260
        self.extra_bounds = {}

    def fields(self):
        return {
            "node": self.name, "zone": self.zone, "region": "tunis", "ip": self.ip,
            "service": self.service, "app_addr": "%s:%d" % self.app,
            "internal_port_range": list(self.internal),
            "listen": {
                "outbound": "%s:%d" % self.outbound, "ready": "%s:%d" % self.ready,
                "control": "%s:%d" % self.control,
            },
            "bounds": BOUNDS | self.extra_bounds,
            "limits": {"link_mbps": self.link_mbps, "memory_mb": self.memory_mb},
            "platform": {"address": "%s:%d" % self.case.store_address},
        }

    def write_settings(self):
        """Fills in the template of the deploy file, as the platform does."""

        def value_of(match):
            path, _, form = match.group(1).partition("|")
            value = self.fields()
            for key in path.split("."):
                value = value[int(key)] if isinstance(value, list) else value[key]
            if form == "json":
                return json.dumps(value)
            return ",".join(map(str, value)) if isinstance(value, list) else str(value)

        template = (ROOT / self.case.role["template"]).read_text()
        text = re.sub(r"\{\{([^}]*)\}\}", value_of, template)
        fresh = self.settings.with_suffix(".new")
        fresh.write_text(text)
        os.replace(fresh, self.settings)

    async def start(self):
        self.write_settings()
        program, *words = self.case.role["run"].split(" ")
        words = [
            str(self.settings) if word == "/etc/verbenastile/local.toml" else word
            for word in words
        ]
        log = open(self.case.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / program), *words, cwd=ROOT, stdout=log, stderr=log,
            env={
                "PATH": os.environ.get("PATH", ""), "HOME": str(self.case.folder),
                "VERBENASTILE_BOOT": str(self.settings),
            },
        )
        log.close()
        self.case.record.write("start", machine=self.name, service=self.service)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.case.record.write("signal", machine=self.name, number=int(number))
            self.process.send_signal(number)

    async def is_ready(self):
        try:
            status, _, _ = await exchange(self.ready, "GET", "/api/ready", {})
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready")


async def exchange(address, method, target, headers, body=b"", timeout=1.0):
    """One request on a connection of its own."""

    async def run():
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(message(f"{method} {target} HTTP/1.1", headers, body))
            first, got, answer = await read_message(reader)
            return int(first.split(" ")[1]), got, answer
        finally:
            writer.close()

    return await asyncio.wait_for(run(), timeout)


class Server:
    """An application server: one run of it, with its own id."""

    numbers = itertools.count(1)

    def __init__(self, machine, service, slots, work, queue=24, address=None):
        self.machine = machine
        self.case = machine.case
        self.service = service
        self.slots = slots
        self.work = work  # Seconds of work for a request.
        self.queue = queue
        self.address = address or machine.app  # Where it listens.
        self.id = f"i-{next(Server.numbers):04x}{machine.case.base_port:04x}"
        self.sequence = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.busy = asyncio.Semaphore(slots)
        self.waiting = 0
        self.server = None
        self.beats = None
        self.acked = {}  # State -> time of the first acknowledgement.
        self.answer_headers = {}
        self.connections = set()

    async def start(self, beat=True):
        self.server = await asyncio.start_server(self.serve, *self.address)
        self.case.record.write(
            "server_starts", id=self.id, service=self.service, machine=self.machine.name
        )
        if beat:
            self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            begin = time.monotonic()
            await self.report()
            await asyncio.sleep(max(0.0, begin + HEARTBEAT - time.monotonic()))

    async def report(self):
        self.sequence += 1
        state = self.state
        body = {
            "address": "%s:%d" % self.machine.app,
            "born": self.born,
            "info": {
                "service": self.service, "version": "v1", "zone": self.machine.zone,
                "slots": self.slots,
            },
            "status": {
                "state": state, "sequence": self.sequence, "warmup_left_ms": 0
            },
        }
        return await self.tell(f"/api/Instances.Heartbeat/{self.id}", body, state)

    async def deregister(self):
        return await self.tell(
            f"/api/Instances.Deregister/{self.id}", {"born": self.born}, "gone"
        )

    async def tell(self, target, body, state):
        try:
            status, _, _ = await exchange(
                self.machine.control, "POST", target,
                {"Content-Type": "application/json"}, json.dumps(body).encode(), 1.0,
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        if status == 200 and state not in self.acked:
            self.acked[state] = time.monotonic()
            self.case.record.write("acknowledged", id=self.id, state=state)
        return status == 200

    def stop(self):
        """Ends without a word."""
        if self.beats:
            self.beats.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.case.record.write("server_ends", id=self.id, service=self.service)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                await self.answer(method, target, headers, body, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, method, target, headers, body, writer):
        request = headers.get("x-attempt-id", "")
        echo = {"X-Attempt-Id": request, **self.answer_headers}
        expected = headers.get("x-expect-instance", self.id)
        if expected != self.id:
            writer.write(
                message("HTTP/1.1 421 X", {**echo, "X-Instance-Id": self.id})
            )
            return
        if self.busy.locked() and self.waiting >= self.queue:
            writer.write(message("HTTP/1.1 503 X", {**echo, "X-Not-Executed": "1"}))
            return
        self.waiting += 1
        async with self.busy:
            self.waiting -= 1
            self.case.on_run(self, request, method, target, headers, body)
            await asyncio.sleep(self.work)
            signed = {**echo, "X-Response-Signature": f"s.{request}"}
            writer.write(message("HTTP/1.1 200 OK", signed, f"{request}".encode()))


class Case:
    """One run of a case. A subclass has `play`, which returns what broke the
    rule: a list of lines, empty if it held."""

    net = 90

    def __init__(self, folder, trouble):
        self.here = pathlib.Path(folder)
        self.trouble = trouble
        self.record = Record(self.here / "record.txt")
        self.temporary = tempfile.TemporaryDirectory(prefix="review-3-")
        self.folder = pathlib.Path(self.temporary.name)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.role = deploy["roles"]["sidecar"]
        self.machines = []
        self.store = Store()
        self.runs = []  # (time, server, request, target, headers)
        self.sent = {}  # Request -> (time, machine, target)
        self.answers = {}  # Request -> (time, status or None)
        self.tasks = set()
        self.numbers = itertools.count(1)
        self.base_port = self.free_ports()
        self.store_address = (f"127.0.{self.net}.250", self.base_port + 5)

    def free_ports(self):
        """A range of ports that is free on all of the addresses of the case."""
        for base in range(21000, 31000, 40):
            try:
                for host in [*range(1, 16), *range(100, 115), 250]:
                    for port in range(base, base + 24):
                        with socket.socket() as probe:
                            probe.bind((f"127.0.{self.net}.{host}", port))
                return base
            except OSError:
                continue
        raise CannotRun("no free ports")

    def add_machine(self, service, zone):
        machine = Machine(self, len(self.machines) + 1, service, zone)
        self.machines.append(machine)
        return machine

    async def configure(self, version, routes, services, **more):
        spec = {
            "version": f"{version:08x}",
            "routes": routes,
            "services": {
                name: {"health_path": "/health", "max_connections": 110}
                for name in services
            },
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": 67108864,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
            },
            **more,
        }
        await self.store.put("config", "main", spec)
        self.record.write("configuration", version=spec["version"])

    def on_run(self, server, request, method, target, headers, body):
        self.runs.append((time.monotonic(), server, request, target, headers))
        self.record.write(
            "run", request=request, server=server.id, service=server.service,
            machine=server.machine.name, target=target,
            caller=headers.get("x-caller-service"),
        )

    async def request(self, machine, method, target, deadline_ms, body=b"", headers=None):
        """One attempt of a client on `machine`; returns its status."""
        request = f"{next(self.numbers):06x}{self.base_port:04x}"
        self.sent[request] = (time.monotonic(), machine, target)
        self.record.write(
            "sent", request=request, machine=machine.name, method=method, target=target
        )
        status = None
        got = {}
        try:
            status, got, _ = await exchange(
                machine.outbound, method, target,
                {
                    "Host": HOST, "X-Attempt-Id": request, "X-Deadline-Ms": deadline_ms,
                    **(headers or {}),
                },
                body, deadline_ms / 1000,
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.record.write("no_answer", request=request, why=type(error).__name__)
        self.answers[request] = (time.monotonic(), status)
        self.record.write(
            "answer", request=request, status=status,
            signed="x-response-signature" in got,
        )
        return request, status

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def close(self):
        for task in list(self.tasks):
            task.cancel()
        for machine in self.machines:
            if machine.process and machine.process.returncode is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                await machine.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for log in self.folder.glob("*.log"):
                (pathlib.Path(keep) / log.name).write_bytes(log.read_bytes())
        self.temporary.cleanup()


def main(case_class, folder, limit=115):
    """Plays the case. Exit codes: 0 the rule held, 1 it was broken, 2 the case
    could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        case = None
        try:
            case = case_class(folder, trouble)
            await case.store.start(case.store_address)
            broken = await asyncio.wait_for(case.play(), limit)
            for line in broken:
                case.record.write("BROKEN", rule=line)
                print(line)
            verdict = "broken" if broken else "held"
            case.record.write("verdict", rule=verdict, trouble=trouble)
            print(f"the rule {verdict}")
            return 1 if broken else 0
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            print(f"the case could not run: {error!r}", file=sys.stderr)
            return 2
        finally:
            if case:
                await case.close()

    code = asyncio.run(run())
    sys.stdout.flush()
    os._exit(code)  # Connections that a proxy holds open need no goodbye.
