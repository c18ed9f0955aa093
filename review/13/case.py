"""A heartbeat of another writer, which names a service that there is not,
arrives once at each sidecar. The servers beside them live and report on."""
import asyncio
import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import rig_3  # noqa: E402

QUERY = "/lohu930/"
RESERVE = "/pufi791/"


class Case(rig_3.Case):
    net = 93

    async def play(self):
        zones = ["charguia-a", "charguia-b", "lac-1", "ariana-1"]
        services = ["booking", "booking", "booking", "catalogue"]
        for service, zone in zip(services, zones):
            self.add_machine(service, zone)

        def route(prefix, kind, service):
            return {
                "host": rig_3.HOST, "path_prefix": prefix, "kind": kind,
                "timeout_ms": 2500, "target_latency_ms": 800, "priority": 1,
                "service": service, "max_attempts": 2,
            }

        await self.configure(
            7,
            {
                "pass-query": route(QUERY, "safe", "booking"),
                "slot-reserve": route(RESERVE, "unsafe", "booking"),
                "telemetry-pull": route("/pule252/", "download", "catalogue"),
            },
            ["booking", "catalogue"],
        )
        servers = [rig_3.Server(m, m.service, 6, 0.1) for m in self.machines]
        for machine in self.machines:
            await machine.start()
        for server in servers:
            await server.start()
        for machine in self.machines:
            await machine.wait_ready()
        await asyncio.sleep(3)
        if self.trouble:
            for server in servers:
                await self.forge(server)
        await asyncio.sleep(5)

        # Ten seconds of traffic.
        begin = time.monotonic()
        while time.monotonic() < begin + 10:
            for machine in self.machines:
                self.spawn(self.request(machine, "GET", f"{QUERY}1", 4000))
                self.spawn(self.request(machine, "POST", f"{RESERVE}1", 5000, b"x"))
                self.spawn(self.request(machine, "GET", "/pule252/1", 4000))
            await asyncio.sleep(0.25)
        await asyncio.sleep(6)
        statuses = [status for _, status in self.answers.values()]
        served = sum(200 <= (status or 0) < 300 for status in statuses)
        beats = {server.id: server.sequence for server in servers}
        self.record.write("served", served=served, sent=len(statuses), beats=beats)
        print(f"{served} of {len(statuses)} requests were served")
        if served:
            return []
        return [f"Fault: none of {len(statuses)} requests was served"]

    async def forge(self, server):
        """The heartbeat of another writer, at the server's own sidecar."""
        body = {
            "address": "%s:%d" % server.machine.app,
            "born": int(time.time() * 1000),
            "info": {
                "service": "nightly-report", "version": "v1",
                "zone": server.machine.zone, "slots": 1,
            },
            "status": {"state": "ready", "sequence": 1, "warmup_left_ms": 0},
        }
        status, _, _ = await rig_3.exchange(
            server.machine.control, "POST", "/api/Instances.Heartbeat/i-forged",
            {"Content-Type": "application/json"}, json.dumps(body).encode(),
        )
        self.record.write("forged", machine=server.machine.name, status=status)


rig_3.main(Case, HERE)
