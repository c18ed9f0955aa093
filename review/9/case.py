"""Two of seven machines are cut off from the others and from the store, and one
of the two is killed. Tenants send more than their quota on both sides."""
import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import rig_2 as rig_module  # noqa: E402

# Of demands/habimana-tolls-grown.toml and its page.
BOUNDS = {**rig_module.BOUNDS, "ack_ms": 5000, "catch_up_s": 6, "drain_ms": 2500,
          "config_apply_ms": 2500, "fail_closed": False, "revoke_ms": 5000,
          "budget_slack": 214, "quota_window_s": 5, "quota_over": 0.1,
          "quota_slack": 20}
WINDOW_S = 5.0
CUT_S = 8.0
RATE = BURST = 60
ALLOWED = (RATE * WINDOW_S + BURST) * 1.1 + 20
TENANTS = ["t-0", "t-2", "t-3", "t-4"]
SENDERS = 2  # For each tenant, on each side.


class Case:
    def __init__(self, folder, trouble):
        self.rig = rig_module.Rig(folder, BOUNDS)
        self.trouble = trouble
        self.over = False
        self.sent = {}  # Attempt id -> (tenant, when sent)
        self.outcomes = {}

    async def sender(self, tenant, machines):
        """Sends about 50 requests a second, to one machine after the other."""
        kept = [rig_module.KeptConnection(machine) for machine in machines]
        number = 0
        while not self.over:
            number += 1
            attempt = self.rig.new_id()
            headers = {"Host": "ficu95.example", "X-Attempt-Id": attempt,
                       "X-Deadline-Ms": "1500",
                       "Authorization": f"Token key-of-{tenant}"}
            begin = time.monotonic()
            self.sent[attempt] = (tenant, begin)
            connection = kept[number % len(kept)]
            try:
                status, _, _ = await connection.request(
                    "GET", f"/lohu930/{number}", headers, timeout=2)
                outcome = str(status)
            except (rig_module.Ended, OSError, asyncio.TimeoutError) as error:
                outcome = type(error).__name__
            self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
            self.rig.record(f"{tenant}: {attempt} at {connection.machine.name} -> "
                            f"{outcome}")
            await asyncio.sleep(max(0.0, begin + 0.02 - time.monotonic()))
        for connection in kept:
            connection.close()

    async def run(self):
        rig = self.rig
        rig.configure(
            {"r-1": rig.route("/lohu930/", "safe", "huvo11a", timeout_ms=1500)},
            ["huvo11a"],
            tenants={t: {"api_keys": [f"key-of-{t}"], "rate_per_s": RATE,
                         "burst": BURST} for t in TENANTS})
        for index in range(7):
            machine = rig_module.Machine(rig, index, "huvo11a", "kigali-a")
            rig.machines.append(machine)
            await machine.open(with_proxy=True)
        for machine in rig.machines:
            machine.start()
            server = rig_module.Server(machine, f"i-{machine.index}", 12, work=0.01)
            rig.servers.append(server)
            await server.start()
        if not await rig.wait_ready():
            raise RuntimeError("the machines did not get ready")
        await asyncio.sleep(3)
        cut, others = rig.machines[:2], rig.machines[2:]
        senders = [asyncio.create_task(self.sender(tenant, side))
                   for tenant in TENANTS for side in (cut[:1], others)
                   for _ in range(SENDERS)]
        await asyncio.sleep(6)
        if self.trouble:
            rig.record(f"{cut[0].name} and {cut[1].name} are cut off; connections are "
                       f"reset")
            rig.part([machine.name for machine in cut])
            await asyncio.sleep(0.3)
            rig.record(f"{cut[1].name} is killed")
            cut[1].signal(signal.SIGKILL)
            await asyncio.sleep(CUT_S - 0.3)
            rig.record("the cut heals")
            rig.part([])
        else:
            await asyncio.sleep(CUT_S)
        await asyncio.sleep(3)
        self.over = True
        await asyncio.gather(*senders)
        return self.judge()

    def judge(self):
        worst = 0
        for tenant in TENANTS:
            runs = sorted((runs[0][0], self.sent[attempt][1])
                          for attempt, runs in self.rig.runs.items()
                          if self.sent.get(attempt, ("", 0))[0] == tenant)
            most, at, first = 0, 0.0, 0
            for last, (ran, _) in enumerate(runs):
                while runs[first][0] <= ran - WINDOW_S:
                    first += 1
                # Sent and run in the window.
                count = sum(sent > ran - WINDOW_S
                            for _, sent in runs[first:last + 1])
                if count > most:
                    most, at = count, ran - self.rig.record.begin
            worst = max(worst, most)
            self.rig.record(f"{tenant}: {most} requests sent and run in the "
                            f"{WINDOW_S:.0f} s until {at:.3f} s; "
                            f"{ALLOWED:.0f} are allowed")
        self.rig.record(f"ends of the requests: {self.outcomes}")
        if self.outcomes.get("200", 0) < 1000:
            raise RuntimeError("hardly anything was served")
        return worst <= ALLOWED


async def main(folder, trouble):
    case = Case(folder, trouble)
    try:
        return await case.run()
    finally:
        await case.rig.close()


rig_module.main(main)
