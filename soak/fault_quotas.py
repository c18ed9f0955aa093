"""Quotas of groups in the fault soak: a group that sends far more than its quota
through all nodes, and quotas that change. Part of soak/faults.py.

The promise: in no window do more of its requests run than the platform allows,
nodes out of touch included.
"""
import asyncio
import collections
import random
import time

import protocol  # Of ../platform, which faults.py adds to the path.

WINDOW = 5.0  # Seconds.
OVER = 0.1
SLACK = 20
NAME = "hot"
KEY = "key-of-the-hot-group"
RATES = (2, 4, 6)  # Requests a second; the burst is one second's.


async def send_steadily(soak, rng, prefix, longest_pause, one_request):
    """Sends until the soak is over, and waits for what is under way."""
    number = 0
    tasks = set()
    while not soak.over:
        number += 1
        task = asyncio.create_task(one_request(f"{prefix}{number:x}"))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(rng.uniform(0.0, longest_pause))
    await asyncio.gather(*tasks)


class Quotas:
    def __init__(self, soak, seed):
        self.soak = soak
        # Separate, so that the schedule of a seed stays as it is.
        self.rng = random.Random(seed + 3_000_000)
        self.rate = RATES[-1]
        self.sent = {}  # Request id -> when it was sent.
        self.ids = set()  # Of all requests so far.
        self.ran = collections.deque()  # (sent, ran), by `ran`.
        self.statuses = collections.Counter()

    def extend(self, configuration):
        """Adds the group. Other callers have no keys, and need none."""
        for route in configuration["routes"].values():
            route["public"] = True
        configuration["tenants"] = protocol.tenant(NAME, [KEY], self.rate, self.rate)
        return configuration

    def group_of(self, request):
        """The group in whose name a request has to run."""
        return NAME if request in self.ids else None

    def on_run(self, request):
        sent = self.sent.pop(request, None)
        if sent is None:
            return  # Of another caller, or a repeat of one that has run.
        now = time.monotonic()
        self.ran.append((sent, now))
        while self.ran[0][1] < now - WINDOW:
            self.ran.popleft()
        count = sum(begin >= now - WINDOW for begin, _ in self.ran)
        # A lower limit may not have reached every node yet.
        allowed = (RATES[-1] * WINDOW + RATES[-1]) * (1 + OVER) + SLACK
        if count > allowed:
            self.soak.fail(
                f"{count} requests of a group ran in {WINDOW} s, whose quota "
                f"allows {allowed:.0f}"
            )

    async def one_request(self, request):
        node = self.rng.choice(self.soak.nodes)
        self.sent[request] = time.monotonic()
        self.ids.add(request)
        await self.soak.one_request(
            node,
            self.soak.routes[0],
            False,
            request,
            f"{request}-quota",
            {protocol.KEY: f"{protocol.KEY_SCHEME} {KEY}"},
        )
        self.statuses[self.soak.sent[request][1]] += 1

    async def callers(self):
        """About 60 requests a second, ten times the highest rate."""
        await send_steadily(self.soak, self.rng, "q", 0.033, self.one_request)

    async def changes(self, end):
        while time.monotonic() < end:
            await asyncio.sleep(self.rng.uniform(3.0, 8.0))
            self.rate = self.rng.choice(RATES)
            self.soak.schedule.append(
                f"{time.monotonic() - self.soak.begin:.3f} s: quota {self.rate}"
            )
            self.soak.version += 1
            await self.soak.write_configuration()

    def check(self):
        """Whether the quota was in force, and left the group its part."""
        if not self.statuses[429] or not self.statuses[200]:
            self.soak.fail(f"the hot group got {dict(self.statuses)}")
