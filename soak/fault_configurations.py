"""Changes of routes in the fault soak, while all nodes that read the store for
the others are killed, stopped or cut off from it.

The promise: a change that the store has acknowledged is in force in time on each
node that no fault touches, whatever happens to the others; and within one run of
its process, no node handles a request by an older configuration than before.
"""
import asyncio
import random
import signal
import time

import protocol  # Of ../platform, which faults.py adds to the path.
from fault_http import call
from fault_quotas import send_steadily

ROLLBACK = 0.25  # Seconds in which a node may still act by what it had before.
SLACK = 0.5  # Seconds for the scheduling of this process.
STRETCH = 5.0  # Seconds by which a change may be later while the store rejects.
PROBE_DROPPED = 3  # Routes that were dropped last.


class Configurations:
    def __init__(self, soak, seed):
        self.soak = soak
        # Separate, so that the schedule of a seed stays as it is.
        self.rng = random.Random(seed + 8_000_000)
        self.apply = self.rng.choice([2.0, 2.5, 3.0])  # Seconds until in force.
        self.added = {}  # Route -> (version, when it was acknowledged).
        self.dropped = {}
        self.seen = {}  # (node, run of its process) -> (version, when).
        self.checked = 0

    def on_change(self, version, added, dropped, acked=float("inf")):
        """Called before a change is written, and again once it is."""
        for route in added:
            self.added[route] = (version, acked)
        for route in dropped:
            self.dropped[route] = (version, acked)

    def on_answer(self, node, run, route, sent, status):
        """For requests of all callers; `run`: of the node's process, when it was
        sent."""
        if run != node.starts or route not in self.added or status not in (200, 404):
            return
        added, _ = self.added[route]
        dropped, _ = self.dropped.get(route, (None, None))
        key = (node.index, run)
        seen, at = self.seen.get(key, (0, 0.0))
        if status == 200:
            self.check(node, route, sent, "served", self.dropped.get(route), seen, at)
            version = added
        elif dropped is None:
            self.check(node, route, sent, "got 404", self.added[route], seen, at)
            version = 0
        else:  # Not known yet, or not any more.
            version = dropped if seen >= added else 0
        if version > seen:
            self.seen[key] = (version, time.monotonic())

    def check(self, node, route, sent, outcome, change, seen, at):
        """`change`: the version by which this outcome has ended, if there is
        one, and when it was acknowledged."""
        if change is None:
            return
        version, acked = change
        self.checked += 1
        what = f"node {node.index}: {route} {outcome} {sent - acked:.2f} s after"
        if sent > acked + self.apply + SLACK and self.soak.is_in_touch(node, sent):
            self.soak.fail(f"{what} version {version}, which is in force in time")
        if seen >= version and sent > at + ROLLBACK + SLACK:
            self.soak.fail(f"{what} version {version}, after it had acted by {seen}")

    async def one_request(self, request):
        """On a route that was added or dropped lately."""
        dropped = list(self.dropped)[-PROBE_DROPPED:]
        route = self.rng.choice([self.soak.routes[-1], *dropped])
        node = self.rng.choice(self.soak.nodes)
        await self.soak.one_request(node, route, False, request, f"{request}-probe")

    async def callers(self):
        """About 60 requests a second."""
        await send_steadily(self.soak, self.rng, "c", 0.033, self.one_request)

    async def disturb_readers(self, seconds):
        readers = [node for node in self.soak.nodes if node.reads_store]
        how = self.rng.choice(["kill", "freeze", "silent", "reset"])
        at = time.monotonic() - self.soak.begin
        self.soak.schedule.append(f"{at:.3f} s: {how} the readers")
        proxies = [self.soak.store_proxies[node.index] for node in readers]
        if how == "kill":
            for node in readers:
                node.signal(signal.SIGKILL)
            await asyncio.sleep(seconds)
        elif how == "freeze":
            await asyncio.gather(*(node.freeze(seconds) for node in readers))
        else:
            for proxy in proxies:
                proxy.set_mode(how)
            await asyncio.sleep(seconds)
            for proxy in proxies:
                proxy.set_mode("pass")

    async def inject(self, end):
        """Series of changes, each while the readers are disturbed."""
        while time.monotonic() < end:
            await asyncio.sleep(self.rng.uniform(1.0, 4.0))
            readers = asyncio.create_task(
                self.disturb_readers(self.rng.uniform(1.0, 5.0))
            )
            for _ in range(self.rng.randint(1, 4)):
                await self.soak.fault_configuration()
                await asyncio.sleep(self.rng.uniform(0.1, 1.0))
            await readers
