"""A server deregisters first and goes on serving; while the store is down the
machine that acknowledged it is killed, and an earlier heartbeat comes late."""
import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import rig_2 as rig_module  # noqa: E402

DRAIN_S = rig_module.BOUNDS["drain_ms"] / 1000
TOUCH_S = rig_module.BOUNDS["stable_window_ms"] / 1000
DOWN_S = 8.0
SERVES_S = 8.0  # From the acknowledgement: "at times many seconds".
SLACK_S = 0.2  # For this process, which notes when requests arrive.


class Case:
    def __init__(self, folder, trouble):
        self.rig = rig_module.Rig(folder)
        self.trouble = trouble
        self.over = False
        self.sent = {}  # Attempt id -> (machine, when sent)
        self.outcomes = {}
        self.restarted = 0.0

    async def client(self, machine, pause):
        while not self.over:
            attempt = self.rig.new_id()
            headers = {"Host": "ficu95.example", "X-Attempt-Id": attempt,
                       "X-Deadline-Ms": "1500"}
            self.sent[attempt] = (machine, time.monotonic())
            try:
                status, _, _ = await rig_module.call(
                    machine.outbound, "POST", "/pufi791/1", headers, b"b" * 500, 3)
                outcome = str(status)
            except (rig_module.Ended, OSError, asyncio.TimeoutError) as error:
                outcome = type(error).__name__
            self.outcomes[attempt] = outcome
            self.rig.record(f"{attempt} at {machine.name} -> {outcome}")
            await asyncio.sleep(pause)

    async def run(self):
        rig = self.rig
        rig.configure({"r-1": rig.route("/pufi791/", "unsafe", "huvo11a",
                                        timeout_ms=800)}, ["huvo11a"])
        for index, zone in enumerate(["whk-a", "whk-b", "whk-c"]):
            machine = rig_module.Machine(rig, index, "huvo11a", zone)
            rig.machines.append(machine)
            await machine.open()
            machine.start()
            server = rig_module.Server(machine, f"i-{index}", 9, work=0.05)
            rig.servers.append(server)
            await server.start()
        if not await rig.wait_ready():
            raise RuntimeError("the machines did not get ready")
        clients = [asyncio.create_task(self.client(machine, 0.1))
                   for machine in rig.machines for _ in range(2)]
        await asyncio.sleep(5)
        leaver = rig.servers[0]
        late = leaver.next_beat()
        rig.record(f"{leaver.name} sends heartbeat {late['status']['sequence']}, "
                   f"ready; it will come late")
        leaver.beats.cancel()
        if self.trouble:
            rig.store.silent = True
            rig.record("the store is silent")
        await asyncio.sleep(0.2)
        if not await leaver.tell(f"/api/Instances.Deregister/{leaver.name}", {}):
            raise RuntimeError("the leaving was not acknowledged")
        acked = time.monotonic()
        rig.record(f"{leaver.name} deregisters; acknowledged; it goes on serving")
        await asyncio.sleep(0.3)
        if self.trouble:
            rig.record(f"{leaver.machine.name} is killed")
            leaver.machine.signal(signal.SIGKILL)
        await asyncio.sleep(1)
        self.restarted = time.monotonic()
        rig.record(f"the late heartbeat comes; 2xx: {await leaver.beat(late)}")
        await asyncio.sleep(acked + SERVES_S - time.monotonic())
        leaver.end("after its planned shutdown")
        if self.trouble:
            rig.store.silent = False
            rig.record("the store is back")
        await asyncio.sleep(2)
        self.over = True
        await asyncio.gather(*clients)
        return self.judge(leaver, acked)

    def judge(self, leaver, acked):
        """Counts what the machine that gave the acknowledgement took from its
        clients once it had run for `stable_window_ms`."""
        before = after = lost = 0
        for attempt, runs in self.rig.runs.items():
            machine, sent = self.sent[attempt]
            for at, server in runs:
                if server != leaver.name:
                    continue
                if at <= acked:
                    before += 1
                elif (at > acked + DRAIN_S + SLACK_S and
                      sent > self.restarted + TOUCH_S):
                    after += 1
                    lost += self.outcomes.get(attempt) != "200"
                    self.rig.record(f"{attempt}, sent to {machine.name}, reached "
                                    f"{server} {at - acked:.3f} s after the "
                                    f"acknowledgement")
        self.rig.record(
            f"{before} requests ran at {leaver.name} before it said that it leaves; "
            f"{after} reached it later than {DRAIN_S} s after the acknowledgement, by "
            f"machines that had run for {TOUCH_S} s; {lost} of them were not answered "
            f"200")
        if before < 20:
            raise RuntimeError("hardly anything was served")
        return after == 0


async def main(folder, trouble):
    case = Case(folder, trouble)
    try:
        return await case.run()
    finally:
        await case.rig.close()


rig_module.main(main)
