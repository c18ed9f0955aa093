"""New tenants come while the store turns some machines away. They send more than
their quota from the start."""
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
WINDOW_S = 5.0
TURNED_AWAY_S = 9.0
MACHINES = 3
TURNED_AWAY = 1
CONNECTIONS = 3  # For each tenant, at each machine.
RATE = BURST = 40
TIMES = 4.65  # Of the rate, that each new tenant sends.
ALLOWED = (RATE * WINDOW_S + BURST) * 1.1 + 20
NEW = ["new-0", "new-7", "new-1"]


class Case:
    def __init__(self, folder, trouble):
        self.rig = rig_module.Rig(folder, BOUNDS)
        self.trouble = trouble
        self.over = False
        self.sent = {}  # Attempt id -> (tenant, when sent)
        self.outcomes = {}

    def configure(self, tenants):
        self.rig.configure(
            {"r-1": self.rig.route("/lohu930/", "safe", "huvo11a", timeout_ms=1500)},
            ["huvo11a"],
            tenants={t: {"api_keys": [f"key-of-{t}"], "rate_per_s": RATE,
                         "burst": BURST} for t in tenants})

    async def sender(self, tenant, machine, pause):
        connection = rig_module.KeptConnection(machine)
        while not self.over:
            attempt = self.rig.new_id()
            headers = {"Host": "ficu95.example", "X-Attempt-Id": attempt,
                       "X-Deadline-Ms": "1500",
                       "Authorization": f"Token key-of-{tenant}"}
            begin = time.monotonic()
            self.sent[attempt] = (tenant, begin)
            try:
                status, _, _ = await connection.request("GET", "/lohu930/1", headers,
                                                        timeout=2)
                outcome = str(status)
            except (rig_module.Ended, OSError, asyncio.TimeoutError) as error:
                outcome = type(error).__name__
            self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
            self.rig.record(f"{tenant}: {attempt} at {machine.name} -> {outcome}")
            await asyncio.sleep(max(0.0, begin + pause - time.monotonic()))
        connection.close()

    async def run(self):
        rig = self.rig
        self.configure(["old"])
        for index in range(MACHINES):
            machine = rig_module.Machine(rig, index, "huvo11a", "kigali-a")
            rig.machines.append(machine)
            await machine.open()
        for machine in rig.machines:
            machine.start()
            server = rig_module.Server(machine, f"i-{machine.index}", 12, work=0.01)
            rig.servers.append(server)
            await server.start()
        if not await rig.wait_ready():
            raise RuntimeError("the machines did not get ready")
        await asyncio.sleep(5)
        if self.trouble:
            away = [machine.name for machine in rig.machines[:TURNED_AWAY]]
            rig.record(f"the store turns {', '.join(away)} away")
            rig.store.refused = set(away)
        await asyncio.sleep(0.05)
        self.configure(["old", *NEW])
        others = rig.machines[TURNED_AWAY:]
        pause = len(others) * CONNECTIONS / (RATE * TIMES)
        senders = [asyncio.create_task(self.sender(tenant, machine, pause))
                   for tenant in NEW for machine in others
                   for _ in range(CONNECTIONS)]
        await asyncio.sleep(TURNED_AWAY_S)
        rig.store.refused = set()
        rig.record("the store serves all machines")
        await asyncio.sleep(2)
        self.over = True
        await asyncio.gather(*senders)
        return self.judge()

    def judge(self):
        worst = 0
        for tenant in NEW:
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
        if self.outcomes.get("200", 0) < 300:
            raise RuntimeError("hardly anything was served")
        return worst <= ALLOWED


async def main(folder, trouble):
    case = Case(folder, trouble)
    try:
        return await case.run()
    finally:
        await case.rig.close()


rig_module.main(main)
