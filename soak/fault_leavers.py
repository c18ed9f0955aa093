"""Callers that leave before they are answered: nothing of their requests may
reach an instance, or go on there, much later."""
import asyncio
import random
import time

import protocol
from fault_http import call

WORK = 3.0  # Seconds that an instance would work on such a request.
CHECK = 0.05  # Seconds between two looks at the connection.
TOLD = 0.5  # Seconds after which an instance gets and does nothing for them.
SLACK = 0.5  # Seconds for the scheduling of this process.
FEW = 3


class Leavers:
    def __init__(self, soak, seed):
        self.soak = soak
        self.rng = random.Random(seed + 7_000_000)
        self.left = {}  # Request id -> (node, when its caller left)
        self.runs = 0
        self.arrived_late = []
        self.worked_late = []

    def is_leaver(self, request):
        return request.startswith("leave")

    async def callers(self):
        sequence = 0
        while not self.soak.over:
            sequence += 1
            node = self.rng.choice(self.soak.nodes)
            request = f"leave{sequence:x}"
            self.soak.sent[request] = (False, None)
            target = f"/{self.soak.routes[0]}/safe/{request}"
            headers = {"Host": "a.example", protocol.REQUEST_ID: request}
            try:
                patience = self.rng.uniform(0.03, 0.4)
                await call(node.callers, "GET", target, headers, timeout=patience)
            except asyncio.TimeoutError:
                self.left[request] = (node, time.monotonic())
            except (OSError, asyncio.IncompleteReadError):
                pass  # Its node is down.
            await asyncio.sleep(self.rng.uniform(0.0, 0.1))

    def since_left(self, request):
        _, at = self.left.get(request, (None, time.monotonic()))
        return time.monotonic() - at

    def on_run(self, request):
        if self.since_left(request) > TOLD + SLACK:
            self.arrived_late.append(request)

    async def work(self, instance, request, reader):
        """Works until the connection ends."""
        self.runs += 1
        end = time.monotonic() + WORK
        while time.monotonic() < end:
            if reader.at_eof() or reader.exception():
                break
            await asyncio.sleep(CHECK)
        node, _ = self.left.get(request, (None, 0))
        if node and self.since_left(request) > TOLD + SLACK:
            if self.soak.in_touch(node) and self.soak.in_touch(instance.node):
                self.worked_late.append(request)
        raise ConnectionError("its caller has left")

    def check(self):
        if len(self.arrived_late) > FEW:
            self.soak.fail(
                f"{len(self.arrived_late)} requests reached an instance over "
                f"{TOLD} s after their caller left: {self.arrived_late[:5]}"
            )
        if len(self.worked_late) > FEW:
            self.soak.fail(
                f"instances worked on {len(self.worked_late)} of {self.runs} requests "
                f"over {TOLD} s after their caller left: {self.worked_late[:5]}"
            )
