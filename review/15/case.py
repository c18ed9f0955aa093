"""The platform's store turns a third of the machines away, in silence, and
serves the others. The operator changes the configuration meanwhile."""
import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import rig_3  # noqa: E402

rig_3.HEARTBEAT = 1.5
MACHINES = 15
LARGE_LINKS = 2  # Machines with 200 Mbit/s; the others have 10.
APPLY = 2.5
PREFIX = "/lohu930/"
# Beside those with large links, a fifth of the machines: see claim.txt.
TURNED_AWAY = ["sidecar-kigali-a-7", "sidecar-kigali-b-11", "sidecar-kigali-c-12"]


class Store(rig_3.Store):
    """Knows which machine calls by the address that it calls."""

    def __init__(self, case):
        super().__init__()
        self.case = case
        self.silent_for = set()

    async def start_for(self, machine):
        async def serve(reader, writer):
            await self.serve_machine(reader, writer, machine)

        await asyncio.start_server(serve, *machine.store_address)

    async def serve_machine(self, reader, writer, machine):
        try:
            while True:
                first, _, body = await rig_3.read_message(reader)
                method, target, _ = first.split(" ")
                if target.startswith("/api/objects/config"):
                    self.case.record.write("reads_config", machine=machine.name)
                await asyncio.sleep(0.004)
                status, answer = await self.answer(method, target, body)
                if machine in self.silent_for:
                    await asyncio.sleep(3600)
                writer.write(
                    rig_3.message(
                        f"HTTP/1.1 {status} X",
                        {"Content-Type": "application/json", "Store-Era": 1},
                        rig_3.json.dumps(answer).encode(),
                    )
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Machine(rig_3.Machine):
    def fields(self):
        fields = super().fields()
        fields["platform"] = {"address": "%s:%d" % self.store_address}
        return fields


class Case(rig_3.Case):
    net = 96

    async def play(self):
        store = self.store = Store(self)
        for i in range(MACHINES):
            zone = f"kigali-{'abc'[i % 3]}"
            machine = Machine(self, i + 1, "wallet" if i % 2 else "plaza", zone)
            machine.store_address = (f"127.0.{self.net}.{100 + i}", self.base_port + 5)
            machine.link_mbps = 200.0 if i < LARGE_LINKS else 10.0
            machine.memory_mb = 160
            machine.extra_bounds = {"config_apply_ms": 2500, "drain_ms": 2500}
            self.machines.append(machine)
            await store.start_for(machine)

        def routes(service):
            return {
                "balance-check": {
                    "host": rig_3.HOST, "path_prefix": PREFIX, "kind": "safe",
                    "timeout_ms": 1500, "target_latency_ms": 600, "priority": 1,
                    "service": service, "max_attempts": 2,
                }
            }

        await self.configure(7, routes("wallet"), ["wallet", "plaza"])
        servers = [rig_3.Server(m, m.service, 12, 0.02) for m in self.machines]
        for machine in self.machines:
            await machine.start()
        for server in servers:
            await server.start()
        for machine in self.machines:
            await machine.wait_ready()
        await asyncio.sleep(10)
        away = set(self.machines[:LARGE_LINKS])
        away |= {m for m in self.machines if m.name in TURNED_AWAY}
        if self.trouble:
            store.silent_for = away
            for machine in away:
                self.record.write("turned_away", machine=machine.name)
        await asyncio.sleep(0.05)
        await self.configure(8, routes("plaza"), ["wallet", "plaza"])
        acked = time.monotonic()
        while time.monotonic() < acked + 8:
            for machine in self.machines:
                if machine not in away:
                    self.spawn(self.request(machine, "GET", f"{PREFIX}1", 1500))
            await asyncio.sleep(0.1)
        store.silent_for = set()
        await asyncio.sleep(2)
        if not self.runs:
            raise rig_3.CannotRun("nothing ran")
        late = [
            (self.sent[request][0] - acked, self.sent[request][1].name)
            for _, server, request, _, _ in self.runs
            if server.service == "wallet" and self.sent[request][0] > acked + APPLY
        ]
        if not late:
            return []
        return [
            f"CONFIG: {len(late)} requests of {len({name for _, name in late})} machines, "
            f"sent {min(late)[0]:.2f} to {max(late)[0]:.2f} s after the acknowledgement, "
            "ran at the service of the version before"
        ]


rig_3.main(Case, HERE)
