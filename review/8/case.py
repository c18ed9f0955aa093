"""All servers leave as planned, as in a shutdown of the site; then all machines
lose power. When it is back, the servers start again under the ids that they
had."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import rig_2 as rig_module  # noqa: E402

# Of demands/habimana-tolls-grown.toml and its page.
BOUNDS = {**rig_module.BOUNDS, "ack_ms": 5000, "catch_up_s": 6, "drain_ms": 2500,
          "config_apply_ms": 2500, "fail_closed": False, "revoke_ms": 5000,
          "budget_slack": 214, "quota_window_s": 5, "quota_over": 0.1,
          "quota_slack": 20}
RECOVERY_S = 15
DOWN_S = 1.5
KEY = "key-of-a-tenant"


class Case:
    def __init__(self, folder, trouble):
        self.rig = rig_module.Rig(folder, BOUNDS)
        self.trouble = trouble
        self.over = False
        self.sent = []  # (when sent, outcome)

    async def client(self, number, machine):
        while not self.over:
            attempt = self.rig.new_id()
            headers = {"Host": "ficu95.example", "X-Attempt-Id": attempt,
                       "X-Deadline-Ms": "2000", "Authorization": f"Token {KEY}"}
            begin = time.monotonic()
            try:
                status, _, _ = await rig_module.call(
                    machine.outbound, "GET", f"/lohu930/{number}", headers, b"", 3)
                outcome = str(status)
            except (rig_module.Ended, OSError, asyncio.TimeoutError) as error:
                outcome = type(error).__name__
            self.sent.append((begin, outcome))
            self.rig.record(f"client {number}: {attempt} -> {outcome}")
            await asyncio.sleep(0.1)

    async def leave_and_lose_power(self):
        rig = self.rig
        for server in rig.servers:
            server.leaving = True
            acked = await server.beat()
            rig.record(f"{server.name} says draining; acknowledged: {acked}")
        await asyncio.sleep(BOUNDS["drain_ms"] / 1000 + 0.5)  # They go on serving.
        for server in rig.servers:
            acked = await server.tell(f"/api/Instances.Deregister/{server.name}", {})
            rig.record(f"{server.name} deregisters; acknowledged: {acked}")
            server.end("its planned shutdown")
        await asyncio.sleep(0.5)
        fault = time.monotonic()
        rig.record("all machines lose power")
        for machine in rig.machines:
            machine.down = True
            machine.kill()
        await asyncio.sleep(DOWN_S)
        rig.record("power is back")
        for machine in rig.machines:
            machine.down = False
        for server in rig.servers:
            await server.start()  # The same id, a later `born`.
        return fault

    async def run(self):
        rig = self.rig
        rig.configure(
            {"r-1": rig.route("/lohu930/", "safe", "huvo11a", timeout_ms=2000)},
            ["huvo11a"],
            tenants={"t-1": {"api_keys": [KEY], "rate_per_s": 5000, "burst": 5000}})
        for index in range(4):
            machine = rig_module.Machine(rig, index, "huvo11a", "kigali-a")
            rig.machines.append(machine)
            await machine.open()
            machine.start()
            server = rig_module.Server(machine, f"i-{index}", 12, work=0.05, born=True)
            rig.servers.append(server)
            await server.start()
        if not await rig.wait_ready():
            raise RuntimeError("the machines did not get ready")
        clients = [asyncio.create_task(self.client(i, rig.machines[i % 4]))
                   for i in range(8)]
        await asyncio.sleep(12)
        fault = time.monotonic()
        if self.trouble:
            fault = await self.leave_and_lose_power()
        if not await rig.wait_ready():
            rig.record("not all machines are ready again")
        back = time.monotonic()
        rig.record("the machines are back and say that they are ready")
        await asyncio.sleep(RECOVERY_S + 10)
        self.over = True
        await asyncio.gather(*clients)
        return self.judge(fault, back)

    def judge(self, fault, back):
        def share(begin, end):
            outcomes = [o for at, o in self.sent if begin < at <= end]
            return len(outcomes), sum(o == "200" for o in outcomes)
        before, served_before = share(0, fault)
        after, served_after = share(back + RECOVERY_S, float("inf"))
        for server in self.rig.servers:
            self.rig.record(f"{server.name} has sent {server.sequence} heartbeats "
                            f"since its start")
        self.rig.record(
            f"before the final fault {served_before} of {before} requests were served; "
            f"later than {RECOVERY_S} s after the machines were back, {served_after} "
            f"of {after}")
        if served_before * 4 < before or after < 50:
            raise RuntimeError("too little was served or sent")
        return served_after * 4 >= after


async def main(folder, trouble):
    case = Case(folder, trouble)
    try:
        return await case.run()
    finally:
        await case.rig.close()


rig_module.main(main)
