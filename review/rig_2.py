"""Stand-ins of the platform, for the cases of this review: a store, servers,
clients, and the machines on which sidecars run. Python's standard library only,
loopback addresses only. They speak what PROTOCOL.md says."""
import asyncio
import functools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import threading
import time

REPOSITORY = pathlib.Path(__file__).resolve().parents[1]
# As the deploy file runs it.
COMMAND = ["target/verbenastile", "sidecar", "--settings"]
# Bounds of the small sites kic-mesh and qos-tunis, as the platform writes them.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 56,
    "recovery_s": 15,
}
LIMITS = {
    "max_header_bytes": 16384, "max_body_bytes": 67108864,
    "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
}


class Ended(Exception):
    """The other side has closed the connection, or sent no HTTP."""


async def read_message(reader, has_body=True):
    """First line, headers with names in lower case, body."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        headers = {}
        for line in lines:
            if ":" in line:
                name, value = line.split(":", 1)
                headers[name.strip().lower()] = value.strip()
        body = b""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                body += (await reader.readexactly(size + 2))[:size]
                if size == 0:
                    break
        elif has_body and "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        return first, headers, body
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError,
            ConnectionError, OSError, ValueError) as error:
        raise Ended(type(error).__name__) from None


def answer(status, headers=None, body=b""):
    text = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    for name, value in (headers or {}).items():
        text += f"{name}: {value}\r\n"
    return text.encode() + b"\r\n" + body


class Record:
    """What was sent, answered and run, in record.txt."""

    def __init__(self, path):
        self.begin = self.flushed = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begin

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        if time.monotonic() > self.flushed + 0.5:
            self.file.flush()
            self.flushed = time.monotonic()


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.objects = {}
        self.events = []
        self.revision = 100
        self.changed = asyncio.Event()
        self.writers = set()  # (name of the machine, its connection)
        self.cut = set()  # Names of machines that do not reach the store.
        self.refused = set()  # Names of machines whose calls get 503.
        self.silent = False  # It takes calls and answers none.

    def put(self, kind, name, spec, status=None, deleted=False):
        self.revision += 1
        known = self.objects.get((kind, name), {})
        meta = dict(known.get("metadata", {"name": name, "created": self.revision,
                                           "finalizers": [], "deleting": False}))
        meta["revision"] = self.revision
        value = {"metadata": meta, "spec": spec, "status": status}
        if deleted:
            self.objects.pop((kind, name), None)
        else:
            self.objects[(kind, name)] = value
        self.events.append((self.revision, kind, value, deleted))
        self.changed.set()
        self.changed = asyncio.Event()
        return value

    async def serve(self, reader, writer, machine):
        self.writers.add((machine.name, writer))
        try:
            while True:
                first, _, body = await read_message(reader)
                method, target, _ = first.split(" ")
                if machine.name in self.cut:
                    writer.transport.abort()
                    return
                while self.silent:
                    await asyncio.sleep(0.05)
                    if reader.at_eof():
                        return
                status, value = 503, {}
                if machine.name not in self.refused:
                    status, value = await self.handle(method, target, body)
                if machine.name in self.refused:
                    status, value = 503, {}  # A watch that waited is cut off.
                writer.write(answer(status, {"Content-Type": "application/json"},
                                    json.dumps(value).encode()))
                await writer.drain()
        except (Ended, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard((machine.name, writer))
            writer.close()

    def cut_off(self, names):
        """The connections of these machines are reset, and all new ones."""
        self.cut = set(names)
        for name, writer in list(self.writers):
            if name in self.cut:
                writer.transport.abort()

    async def handle(self, method, target, body):
        path, _, query = target.partition("?")
        parts = path.removeprefix("/api/objects/").split("/")
        options = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET" and "watch" in options:
            return await self.watch(kind, options)
        if method == "GET" and name is None:
            after = options.get("after", "")
            found = sorted((n, v) for (k, n), v in self.objects.items()
                           if k == kind and n > after)
            return 200, {"items": [v for _, v in found[:500]],
                         "has_more": len(found) > 500,
                         "current_rev": self.revision}
        known = self.objects.get((kind, name))
        if method == "GET":
            return (200, known) if known else (404, {})
        sent = json.loads(body) if body else {}
        if method == "POST":
            if known:
                return 409, known
            return 200, self.put(kind, name, sent.get("spec"))
        if known is None:
            return 404, {}
        revision = sent.get("metadata", {}).get("revision") or options.get("revision")
        if revision is not None and int(revision) != known["metadata"]["revision"]:
            return 409, known
        if method == "DELETE":
            return 200, self.put(kind, name, known["spec"], deleted=True)
        if parts[2:] == ["status"]:
            return 200, self.put(kind, name, known["spec"], sent.get("status"))
        if sent.get("spec") == known["spec"]:
            return 200, known
        return 200, self.put(kind, name, sent.get("spec"), known["status"])

    async def watch(self, kind, options):
        since = int(options["watch"])
        end = time.monotonic() + min(int(options["wait_ms"]), 30000) / 1000
        while True:
            changed = self.changed
            events = [{"object": value, "deleted": deleted}
                      for revision, of, value, deleted in self.events
                      if revision > since and of == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class LinkProxy:
    """Stands before a machine's address for links and passes bytes on, unless the
    machine that opened the connection is parted from this one."""

    def __init__(self, machine):
        self.machine = machine
        self.rig = machine.rig
        self.pairs = {}  # Writers of an open connection -> the opener's name.

    async def serve(self, reader, writer):
        far = None
        try:
            opener = self.opener(*writer.get_extra_info("peername")[:2])
            if opener is None or self.rig.parted(opener, self.machine.name):
                writer.transport.abort()
                return
            far_reader, far = await asyncio.open_connection(*self.machine.links)
            self.pairs[(writer, far)] = opener
            await asyncio.gather(self.pump(reader, far), self.pump(far_reader, writer))
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.pairs.pop((writer, far), None)
            for end in (writer, far):
                if end:
                    end.close()

    def opener(self, ip, port):
        """The name of the machine whose process holds this end of a connection;
        None if it is gone."""
        local = "%s:%04X" % (bytes(reversed(socket.inet_aton(ip))).hex().upper(), port)
        inodes = {fields[9] for fields in map(str.split, open("/proc/net/tcp"))
                  if fields[1] == local}
        for machine in self.rig.machines:
            if machine.process is None or machine.process.returncode is not None:
                continue
            folder = f"/proc/{machine.process.pid}/fd"
            try:
                for name in os.listdir(folder):
                    target = os.readlink(f"{folder}/{name}")
                    if target.startswith("socket:[") and target[8:-1] in inodes:
                        return machine.name
            except OSError:
                continue
        return None

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    def reset_parted(self):
        for (writer, far), opener in list(self.pairs.items()):
            if self.rig.parted(opener, self.machine.name):
                writer.transport.abort()
                far.transport.abort()


class Server:
    """The application server beside one sidecar: a sound one."""

    def __init__(self, machine, name, slots=9, work=0.03, born=False):
        self.machine = machine
        self.rig = machine.rig
        self.name = name
        self.slots = slots
        self.work = work
        self.with_born = born
        self.listener = None
        self.beats = None
        self.writers = set()
        self.runs = {}  # Attempt id -> how often it has run here.

    async def start(self):
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.leaving = False
        self.listener = await asyncio.start_server(
            self.serve, *self.machine.app, limit=1 << 20)
        self.beats = asyncio.create_task(self.beat_always())
        self.rig.record(f"server {self.name} starts")

    def end(self, why):
        """Its process ends: what runs is lost, the address is closed."""
        self.beats.cancel()
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.rig.record(f"server {self.name} ends: {why}")

    async def beat_always(self):
        while True:
            await self.beat()
            await asyncio.sleep(1.5)

    def next_beat(self):
        self.sequence += 1
        body = {
            "address": "%s:%d" % self.machine.app,
            "info": {"service": self.machine.service, "version": "v1",
                     "zone": self.machine.zone, "slots": self.slots},
            "status": {"state": "draining" if self.leaving else "ready",
                       "sequence": self.sequence, "warmup_left_ms": 0},
        }
        if self.with_born:
            body["born"] = self.born_ms
        return body

    async def beat(self, body=None):
        """Sends a heartbeat; returns whether it was acknowledged."""
        return await self.tell(f"/api/Instances.Heartbeat/{self.name}",
                               body or self.next_beat())

    async def tell(self, target, body):
        try:
            status, _, _ = await call(self.machine.control, "POST", target, {},
                                      json.dumps(body).encode(), 1.0)
            return 200 <= status < 300
        except (Ended, OSError, asyncio.TimeoutError):
            return False

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                await self.handle(first, headers, body, writer)
                await writer.drain()
        except (Ended, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, first, headers, body, writer):
        method, target, _ = first.split(" ")
        attempt = headers.get("x-attempt-id", "")
        expected = headers.get("x-expect-instance")
        if target == "/health":
            writer.write(answer(503 if self.leaving else 200,
                                {"X-Instance-Id": self.name}))
            return
        if expected not in (None, self.name):
            writer.write(answer(421, {"X-Instance-Id": self.name,
                                      "X-Attempt-Id": attempt}))
            return
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        await self.run(method, target, headers, body, attempt, writer)

    async def run(self, method, target, headers, body, attempt, writer):
        self.rig.on_run(self, attempt, target, len(body))
        await asyncio.sleep(self.work)
        writer.write(answer(200, {"X-Attempt-Id": attempt,
                                  "X-Response-Signature": f"sig.{attempt}"},
                            self.rig.content(attempt)))


class Machine:
    """One machine: a sidecar process, and addresses."""

    def __init__(self, rig, index, service, zone, link_mbps=1000.0, memory_mb=None):
        self.rig = rig
        self.index = index
        self.service = service
        self.zone = zone
        self.link_mbps = link_mbps
        self.memory_mb = memory_mb  # The platform kills a process beyond it.
        self.name = f"sidecar-{zone}-{index}"
        self.ip = f"127.61.{rig.net}.{index + 1}"
        base = rig.port
        self.outbound = (self.ip, base)
        self.ready = (self.ip, base + 1)
        self.control = (self.ip, base + 2)
        self.app = (self.ip, base + 3)
        self.links = (self.ip, base + 4)
        self.metrics = (self.ip, base + 5)
        self.store = (self.ip, base + 6)  # Where this machine finds the store.
        self.links_outside = (self.ip, base + 7)
        self.link_proxy = None
        self.settings = rig.folder / f"{self.name}.yaml"
        self.process = None
        self.keeper = None
        self.kept = True
        self.down = False  # It has no power.
        self.starts = 0
        self.peak_mb = 0.0
        self.own_ends = 0
        self.killed_at = 0.0

    def write_settings(self):
        """What the platform makes of the template deploy/sidecar.yaml."""
        address = "%s:%d"
        template = (REPOSITORY / "deploy/sidecar.yaml").read_text()
        for key, value in {
            "{{node}}": self.name, "{{zone}}": self.zone, "{{region}}": "windhoek",
            "{{listen.outbound}}": address % self.outbound,
            "{{ip}}:{{internal_port_range.0}}": address % self.links,
            "{{listen.control}}": address % self.control,
            "{{listen.ready}}": address % self.ready,
            "{{ip}}:{{internal_port_range.1}}": address % self.metrics,
            "{{service}}": self.service, "{{app_addr}}": address % self.app,
            "{{platform.address}}": address % self.store,
            "{{bounds|json}}": json.dumps(self.rig.bounds),
            "{{limits.link_mbps}}": str(self.link_mbps),
        }.items():
            template = template.replace(key, value)
        if "{{" in template:
            raise RuntimeError("the template has a placeholder that is not known")
        if self.link_proxy:
            template = template.replace(
                "  control:", f"  links_from_outside: {address % self.links_outside}\n"
                "  control:")
        self.settings.write_text(template)

    async def open(self, with_proxy=False):
        """The store's address, and a proxy before the address for links."""
        serve = functools.partial(self.rig.store.serve, machine=self)
        self.rig.listeners.append(await asyncio.start_server(
            serve, *self.store, limit=1 << 22))
        if with_proxy:
            self.link_proxy = LinkProxy(self)
            self.rig.listeners.append(await asyncio.start_server(
                self.link_proxy.serve, *self.links_outside))

    def start(self):
        self.write_settings()
        self.keeper = asyncio.create_task(self.keep())

    async def keep(self):
        """A process that ends is started again after a short delay."""
        while self.kept:
            self.starts += 1
            log = self.rig.folder / f"{self.name}.{self.starts}.log"
            with open(log, "wb") as out:
                self.process = await asyncio.create_subprocess_exec(
                    *COMMAND, str(self.settings), stdout=out, stderr=out,
                    cwd=REPOSITORY,
                    env={"PATH": os.environ.get("PATH", ""),
                         "VERBENASTILE_BOOT": str(self.settings)})
                self.rig.record(f"{self.name}: process {self.starts} starts")
                threading.Thread(target=self.watch_memory, args=(self.process,),
                                 daemon=True).start()
                code = await self.process.wait()
            self.rig.record(f"{self.name}: process {self.starts} ended, code {code}")
            await asyncio.sleep(0.3)
            while self.down and self.kept:
                await asyncio.sleep(0.02)

    def watch_memory(self, process):
        """Kills the process once it has used more than `memory_mb`, as the
        platform does. Runs in a thread: the event loop may be busy."""
        while process.returncode is None:
            try:
                status = open(f"/proc/{process.pid}/status", encoding="ascii").read()
            except OSError:
                return
            peak = [line for line in status.splitlines() if line.startswith("VmHWM")]
            if not peak:
                return  # It has ended.
            used = int(peak[0].split()[1]) * 1024 / 1e6
            self.peak_mb = max(self.peak_mb, used)
            if self.memory_mb and used > self.memory_mb:
                self.own_ends += 1
                self.killed_at = time.monotonic()
                self.rig.record(f"{self.name}: its process uses {used:.0f} MB, more "
                                f"than {self.memory_mb} MB: the platform kills it")
                try:
                    os.kill(process.pid, signal.SIGKILL)
                except ProcessLookupError:
                    pass
                return
            time.sleep(0.005)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            try:
                os.kill(self.process.pid, number)
            except ProcessLookupError:
                pass

    def kill(self):
        self.signal(signal.SIGKILL)

    async def is_ready(self):
        try:
            return (await call(self.ready, "GET", "/api/ready", timeout=1.0))[0] == 200
        except (Ended, OSError, asyncio.TimeoutError):
            return False

    async def stop(self):
        self.kept = False
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.keeper:
            try:
                await asyncio.wait_for(self.keeper, 3)
            except asyncio.TimeoutError:
                pass


async def call(address, method, target, headers=None, body=b"", timeout=2.0):
    """One request on a connection of its own: status, headers, body."""
    async def exchange():
        reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
        try:
            writer.write(request_bytes(method, target, headers, body))
            first, got, content = await read_message(reader)
            return int(first.split(" ")[1]), got, content
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)


def request_bytes(method, target, headers, body):
    text = f"{method} {target} HTTP/1.1\r\n"
    for name, value in (headers or {}).items():
        text += f"{name}: {value}\r\n"
    if body or method != "GET":
        text += f"Content-Length: {len(body)}\r\n"
    return text.encode() + b"\r\n" + body


class KeptConnection:
    """A client's connection that is used for one request after the other."""

    def __init__(self, machine):
        self.machine = machine
        self.stream = None

    async def request(self, method, target, headers, body=b"", timeout=3.0):
        """Status, headers and body; raises `Ended` if the connection is closed
        without a whole answer. Opens a new connection where there is none."""
        if self.stream is None:
            self.stream = await asyncio.open_connection(*self.machine.outbound,
                                                        limit=1 << 20)
        reader, writer = self.stream
        try:
            writer.write(request_bytes(method, target, headers, body))
            first, got, content = await asyncio.wait_for(read_message(reader), timeout)
        except BaseException:
            self.close()
            raise
        if got.get("connection", "").lower() == "close":
            self.close()
        return int(first.split(" ")[1]), got, content

    def close(self):
        if self.stream:
            self.stream[1].close()
            self.stream = None


class Rig:
    def __init__(self, folder, bounds=None):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.rng = random.Random()
        self.bounds = bounds or BOUNDS
        self.store = Store()
        self.machines = []
        self.servers = []
        self.version = 0
        self.ids = 0
        self.runs = {}  # Attempt id -> [(time, server)].
        self.listeners = []
        self.cut = set()  # Names of machines parted from the others.
        self.find_ports()

    def find_ports(self):
        for _ in range(50):
            self.net = self.rng.randint(1, 250)
            self.port = self.rng.randrange(21000, 31000, 10)
            try:
                for last in range(1, 11):
                    for offset in range(8):
                        with socket.socket() as probe:
                            probe.bind((f"127.61.{self.net}.{last}",
                                        self.port + offset))
                return
            except OSError:
                continue
        raise RuntimeError("no free ports")

    def parted(self, one, other):
        return (one in self.cut) != (other in self.cut)

    def part(self, names):
        """These machines reach each other, but no other machine and no store;
        what is open is reset. None: the cut heals."""
        self.cut = set(names)
        self.store.cut_off(names)
        for machine in self.machines:
            machine.link_proxy.reset_parted()

    def on_run(self, server, attempt, target, size):
        self.runs.setdefault(attempt, []).append((time.monotonic(), server.name))

    def content(self, attempt):
        return (attempt * 64).encode()

    def route(self, prefix, kind, service, timeout_ms=1500, attempts=2, **more):
        return {"host": "ficu95.example", "path_prefix": prefix, "kind": kind,
                "timeout_ms": timeout_ms, "target_latency_ms": 400, "priority": 1,
                "service": service, "max_attempts": attempts, **more}

    def configure(self, routes, services, **more):
        self.version += 3
        spec = {"version": f"{self.version:08x}", "routes": routes,
                "services": {s: {"health_path": "/health", "max_connections": 110,
                                 "protocol": "h1", "tls": False} for s in services},
                "limits": LIMITS, **more}
        self.store.put("config", "main", spec)
        self.record(f"the store acknowledges configuration {spec['version']}")

    def new_id(self):
        self.ids += 1
        return f"{self.rng.getrandbits(32):08x}{self.ids:08x}"

    async def wait_ready(self, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all(await asyncio.gather(*(m.is_ready() for m in self.machines))):
                return True
            await asyncio.sleep(0.1)
        return False

    async def close(self):
        for server in self.servers:
            if server.beats:
                server.beats.cancel()
            if server.listener:
                server.listener.close()
        await asyncio.gather(*(m.stop() for m in self.machines))
        for listener in self.listeners:
            listener.close()
        self.record.file.flush()
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case):
    """`case(folder, trouble)` returns whether the rule held."""
    folder = pathlib.Path(sys.argv[1]).resolve()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        held = asyncio.run(asyncio.wait_for(case(folder, trouble), 115))
    except Exception as error:  # pylint: disable=broad-except
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    sys.exit(0 if held else 1)
