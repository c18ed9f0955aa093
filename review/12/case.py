"""All processes of the system are killed at the same moment while one tenant
sends many times its usual. The quota of the tenant counts all machines."""
import asyncio
import pathlib
import random
import re
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import rig_3  # noqa: E402

rig_3.HEARTBEAT = 1.5  # The site's.
RATE, BURST = 200, 20
WINDOW, OVER, SLACK = 5.0, 0.1, 20
LIMIT = (RATE * WINDOW + BURST) * (1 + OVER) + SLACK
USUAL, HOT = 0.5 * RATE, 3.75 * RATE  # 7.5 times its usual.
HOT_FOR = 6.5
KILL_AT = 3.1  # Seconds after the tenant began to send more.
ROUNDS = 8
PREFIX = "/lohu930/"


class Case(rig_3.Case):
    net = 94

    async def play(self):
        for zone in ["kigali-a", "kigali-b", "kigali-c"] * 2:
            machine = self.add_machine("wallet", zone)
            machine.extra_bounds = {
                "fail_closed": False, "revoke_ms": 5000, "quota_window_s": 5,
                "quota_over": OVER, "quota_slack": SLACK,
            }
        await self.configure(
            7,
            {
                "balance-check": {
                    "host": rig_3.HOST, "path_prefix": PREFIX, "kind": "safe",
                    "timeout_ms": 1500, "target_latency_ms": 600, "priority": 1,
                    "service": "wallet", "max_attempts": 1,
                }
            },
            ["wallet"],
            tenants={
                "kerwa": {"api_keys": ["key-1"], "rate_per_s": RATE, "burst": BURST}
            },
        )
        servers = [rig_3.Server(m, "wallet", 12, 0.01) for m in self.machines]
        for machine in self.machines:
            await machine.start()
        for server in servers:
            await server.start()
        for machine in self.machines:
            await machine.wait_ready()
        self.per_s = USUAL
        self.ends = False
        for machine in self.machines:
            self.spawn(self.clients(machine))
        await asyncio.sleep(6)
        for _ in range(ROUNDS):
            self.per_s = HOT
            await asyncio.sleep(KILL_AT)
            if self.trouble:
                await self.restart_all()
            await asyncio.sleep(HOT_FOR - KILL_AT)
            self.per_s = USUAL
            await asyncio.sleep(4.5)
        self.ends = True
        await asyncio.sleep(2)
        if not self.runs:
            raise rig_3.CannotRun("nothing ran")
        most, begin = self.worst_window()
        print(f"most in a window: {most}, the limit is {LIMIT:.0f}")
        self.record.write("worst_window", requests=most, limit=LIMIT)
        if most <= LIMIT:
            return []
        return [
            f"QUOTA: {most} requests of the tenant were sent and ran in the 5 s from "
            f"{begin - self.record.begin:.1f} s on; {LIMIT:.0f} are allowed"
        ]

    async def clients(self, machine):
        rng = random.Random(machine.name)
        share = 1 / len(self.machines)
        while not self.ends:
            self.spawn(
                self.request(
                    machine, "GET", f"{PREFIX}1", 1500,
                    headers={"Authorization": "Token key-1"},
                )
            )
            await asyncio.sleep(rng.expovariate(self.per_s * share))

    async def restart_all(self):
        coordinator = await self.coordinator()
        for machine in self.machines:
            machine.signal(rig_3.signal.SIGKILL)
        for machine in self.machines:
            await machine.process.wait()
        await asyncio.sleep(0.2)
        # "All machines start within 0.3 s of each other, in any order." That
        # which lent the tenant's quota is the last one.
        await asyncio.gather(
            *(
                self.start_after(machine, 0.0 if machine is coordinator else 0.1 + i * 0.04)
                for i, machine in enumerate(self.machines)
            )
        )

    async def coordinator(self):
        """The machine that says in its metrics that it lends a quota."""
        for machine in self.machines:
            address = (machine.ip, machine.internal[1])
            _, _, text = await rig_3.exchange(address, "GET", "/metrics", {})
            found = re.search(rb"^\w*quota_groups_coordinated (\d+)", text, re.MULTILINE)
            if found and int(found.group(1)) > 0:
                self.record.write("lends", machine=machine.name)
                return machine
        return None

    async def start_after(self, machine, seconds):
        await asyncio.sleep(seconds)
        await machine.start()

    def worst_window(self):
        """The most requests that were both sent and ran in one window."""
        both = sorted((self.sent[request][0], at) for at, _, request, _, _ in self.runs)
        most, when = 0, 0.0
        for i, (begin, _) in enumerate(both):
            end = begin + WINDOW
            count = 0
            for sent, ran in both[i:]:
                if sent > end:
                    break
                count += ran <= end
            if count > most:
                most, when = count, begin
        return most, when


rig_3.main(Case, HERE)
