"""Requests that wait at a sidecar for a slot of its server, while the server
falls silent for good and its address goes to a server of another service."""
import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import rig_3  # noqa: E402

SLOTS = 6
REUSE_AFTER = 2.0
QUERY = "/lohu930/"  # pass-query: safe, to booking.
RESERVE = "/pufi791/"  # slot-reserve: unsafe, to booking.
PULL = "/pule252/"  # telemetry-pull: download, to catalogue.


class Case(rig_3.Case):
    net = 91

    async def play(self):
        booking, *others = [
            self.add_machine("booking", "charguia-a"),
            self.add_machine("catalogue", "charguia-b"),
            self.add_machine("catalogue", "lac-1"),
        ]

        def route(prefix, kind, service, aim, timeout, priority):
            return {
                "host": rig_3.HOST, "path_prefix": prefix, "kind": kind,
                "timeout_ms": timeout, "target_latency_ms": aim,
                "priority": priority, "service": service, "max_attempts": 2,
            }

        await self.configure(
            7,
            {
                "pass-query": route(QUERY, "safe", "booking", 800, 2500, 2),
                "slot-reserve": route(RESERVE, "unsafe", "booking", 1000, 3000, 1),
                "telemetry-pull": route(PULL, "download", "catalogue", 1000, 8000, 2),
            },
            ["booking", "catalogue"],
        )
        # The server of `booking` stands behind a proxy.
        proxy = rig_3.Proxy(booking.behind)
        await proxy.start(booking.app)
        old = rig_3.Server(booking, "booking", SLOTS, 0.25, address=booking.behind)
        rest = [rig_3.Server(m, "catalogue", SLOTS, 0.18) for m in others]
        for machine in self.machines:
            await machine.start()
        for server in [old, *rest]:
            await server.start()
        for machine in self.machines:
            await machine.wait_ready()
        await asyncio.sleep(3)

        # The usual traffic.
        end = time.monotonic() + 6
        while time.monotonic() < end:
            for machine in self.machines:
                self.spawn(self.request(machine, "GET", f"{QUERY}w", 5000))
            self.spawn(self.request(others[0], "POST", f"{RESERVE}w", 6000, b"x" * 900))
            self.spawn(self.request(others[1], "GET", f"{PULL}w", 8000))
            await asyncio.sleep(0.25)
        await asyncio.sleep(1.5)

        # All slots run pass-query; slot-reserve waits for them.
        for i in range(SLOTS):
            machine = self.machines[i % 3]
            self.spawn(self.request(machine, "GET", f"{QUERY}{i}", 5000))
        await asyncio.sleep(0.1)
        if self.trouble:
            proxy.cut()
            old.beats.cancel()
            self.record.write("silent", id=old.id, service=old.service)
        silent_at = time.monotonic()
        for i in range(4):
            await asyncio.sleep(0.1)
            machine = self.machines[i % 3]
            self.spawn(
                self.request(machine, "POST", f"{RESERVE}{i}", 6000, b"x" * 900)
            )
        await asyncio.sleep(silent_at + REUSE_AFTER + 0.1 - time.monotonic())
        if self.trouble:
            # The address goes to another service.
            new = rig_3.Server(booking, "catalogue", SLOTS, 0.18, address=booking.behind)
            old.stop()
            booking.service = "catalogue"
            booking.write_settings()
            booking.signal(rig_3.signal.SIGHUP)
            await new.start()
            proxy.heal(booking.behind)
        await asyncio.sleep(8)
        if not self.runs:
            raise rig_3.CannotRun("nothing ran")
        allowed = {QUERY: "booking", RESERVE: "booking", PULL: "catalogue"}
        return [
            f"ROUTE: {server.id} of {server.service} ran {request} {target}, "
            f"which may only go to {allowed[target[:9]]}"
            for _, server, request, target, _ in self.runs
            if server.service != allowed[target[:9]]
        ]


rig_3.main(Case, HERE)
