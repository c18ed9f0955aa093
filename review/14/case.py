"""The servers of two machines end, and their addresses go to servers of another
service. The settings files change with them, without a signal. One of the two
sidecars has just been killed and started again."""
import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import rig_3  # noqa: E402

QUERY = "/lohu930/"
PULL = "/pule252/"
REUSE_AFTER = 2.0
SETTLED = 0.25  # Seconds after the change from which on requests are judged.


class Case(rig_3.Case):
    net = 92

    async def play(self):
        for service, zone in [
            ("booking", "charguia-a"), ("booking", "charguia-b"),
            ("booking", "ariana-1"), ("catalogue", "lac-1"),
        ]:
            self.add_machine(service, zone)

        def route(prefix, service):
            return {
                "host": rig_3.HOST, "path_prefix": prefix, "kind": "safe",
                "timeout_ms": 2000, "target_latency_ms": 600, "priority": 1,
                "service": service, "max_attempts": 2,
            }

        await self.configure(
            7,
            {"pass-query": route(QUERY, "booking"), "pull": route(PULL, "catalogue")},
            ["booking", "catalogue"],
        )
        servers = [rig_3.Server(m, m.service, 6, 0.05) for m in self.machines]
        for machine in self.machines:
            await machine.start()
        for server in servers:
            await server.start()
        for machine in self.machines:
            await machine.wait_ready()
        await asyncio.sleep(3)

        changed = {}  # Machine -> when its server and settings changed.
        if self.trouble:
            for server in servers[:2]:
                server.stop()
            await asyncio.sleep(REUSE_AFTER - 0.5)
            # One of the two sidecars is killed meanwhile, and starts again.
            restarted = self.machines[1]
            restarted.signal(rig_3.signal.SIGKILL)
            await restarted.process.wait()
            await asyncio.sleep(0.3)
            await restarted.start()
            await asyncio.sleep(0.3)
            for machine in self.machines[:2]:
                machine.service = "catalogue"
                machine.write_settings()
                self.record.write("settings", machine=machine.name, service="catalogue")
                await rig_3.Server(machine, "catalogue", 6, 0.05).start()
                changed[machine] = time.monotonic()
        # Requests of the clients and the servers on the two machines.
        end = time.monotonic() + 12
        while time.monotonic() < end:
            for machine in self.machines[:2]:
                self.spawn(self.request(machine, "GET", f"{QUERY}1", 4000))
                self.spawn(self.request(machine, "GET", f"{PULL}1", 4000))
            await asyncio.sleep(0.1)
        await asyncio.sleep(3)
        if not self.runs:
            raise rig_3.CannotRun("nothing ran")
        broken = {}  # Machine -> how long after the change such requests were sent.
        for _, _, request, _, headers in self.runs:
            sent, machine, _ = self.sent[request]
            after = sent - changed.get(machine, sent - SETTLED)
            if after >= SETTLED and headers.get("x-caller-service") != machine.service:
                broken.setdefault(machine, []).append(after)
        return [
            f"UNASKED: {len(times)} requests of {machine.name}, sent {min(times):.2f} "
            f"to {max(times):.2f} s after its service changed, ran with another "
            "X-Caller-Service"
            for machine, times in broken.items()
        ]


rig_3.main(Case, HERE)
