"""Roll-outs in the fault soak: orders for good and bad versions, beside the
other faults, and what is promised of them."""
import asyncio
import random
import time

import protocol

SHARE = 0.1  # Of the requests that reach the service, for an unproven version.
SLACK = 10  # Requests beyond it.
ROLLBACK = 5.0  # Seconds after the 50th bad answer.
DURATION = 12.0  # Seconds from an order to its deadline.
WORD = 2.0  # Seconds in which nodes in touch follow a word in the store.
STARTED = 3.0  # Seconds after which a node that started is bound by the share.
COLD = 2.0  # Seconds in which a new instance of a version is slow.
TARGET_NODES = 2  # How many of the instances are started with the new version.
BAD = ["fails", "slow", "fails late", "fails when full", "fails on one route"]
GOOD = ["good", "good", "cold"]


class Rollouts:
    def __init__(self, soak, seed):
        self.soak = soak
        self.rng = random.Random(seed + 3_000_000)
        self.base = "v1"  # What instances run that no order concerns.
        self.number = 1
        self.kind = None  # How the ordered version behaves; None: no order.
        self.ordered = False  # The order was written.
        self.done = []  # "KIND: WORD" of the orders so far.

    def begin_order(self, kind):
        self.number += 1
        self.kind = kind
        self.target = f"v{self.number}"
        self.began = time.monotonic()
        self.deadline = self.began + DURATION
        self.reached = self.exposed = self.bad = 0
        self.fiftieth_bad = self.word_at = self.word = None

    def instances(self):
        return [i for i in self.soak.instances if i.node.service == "booking"]

    def outcome(self, instance, line, work):
        """How long the instance works on a request, and its status."""
        if self.kind is None or instance.version != self.target:
            return work, 200
        age = time.monotonic() - self.began
        if self.kind == "cold" and time.monotonic() - instance.changed < COLD:
            return work * 5, 200
        unlucky = self.rng.random() < 0.5
        running = len(self.soak.running.get(instance.id, ()))
        fails = {
            "fails": unlucky,
            "fails late": unlucky and age > DURATION / 3,
            "fails when full": unlucky and running >= instance.slots,
            "fails on one route": unlucky and "/unsafe/" in line,
        }.get(self.kind, False)
        slow = self.kind == "slow" and unlucky
        if fails or slow:
            self.bad += 1
            if self.bad == 50:
                self.fiftieth_bad = time.monotonic()
        return (work * 6 if slow else work), (500 if fails else 200)

    def on_run(self, instance, request):
        if not self.ordered:
            return
        now = time.monotonic()
        node, sent = self.soak.origins.get(request, (None, now))
        self.reached += 1
        in_touch = node is not None and self.soak.in_touch(node)
        late = self.word_at is not None and sent > self.word_at + WORD
        if instance.version != self.target:
            at_once = self.word_at is not None and sent > self.word_at
            if self.word == "completed" and at_once and in_touch:
                self.soak.fail(f"{request} went to an old instance after completed")
            return
        if self.word == "completed":
            return
        # A node that has just started may not have heard of the order.
        if node is not None and node.interrupted < now - STARTED:
            self.exposed += 1
        allowed = SHARE * self.reached + SLACK
        if self.exposed > allowed and now < self.deadline and not self.moving():
            self.soak.fail(
                f"{self.exposed} of {self.reached} requests went to {self.target}, "
                f"which is not proved: {self.kind}"
            )
        if in_touch and self.word == "rolled_back" and late:
            self.soak.fail(f"{request} went to {self.target} after rolled_back")
        if in_touch and self.fiftieth_bad and sent > self.fiftieth_bad + ROLLBACK:
            self.soak.fail(f"{request} went to {self.target} after 50 bad answers")

    def moving(self):
        """Calls move to a good version before its word is written."""
        return self.kind in GOOD and time.monotonic() > self.deadline - DURATION / 2

    def order(self):
        return {
            "service": "booking",
            "target_version": self.target,
            "duration_s": DURATION,
        }

    async def rewrite(self):
        """The store lost the order, and the operator writes it again."""
        key = (protocol.ROLLOUTS, "booking")
        if self.ordered and key not in self.soak.store.objects:
            await self.soak.store.change(*key, self.order())

    def stored_word(self):
        stored = self.soak.store.objects.get((protocol.ROLLOUTS, "booking"))
        status = (stored or {}).get("status") or {}
        if status.get("target_version") != self.target:
            return None
        state = status.get("state")
        return state if state in ("completed", "rolled_back") else None

    async def await_word(self):
        """Notes the word, and that it doesn't change. Returns at the deadline."""
        while time.monotonic() < self.deadline:
            word = self.stored_word()
            if word is not None and self.word is None:
                self.word, self.word_at = word, time.monotonic()
            elif word is not None and word != self.word:
                self.soak.fail(f"{self.target} is {word} after it was {self.word}")
                self.word = word
            if self.word and time.monotonic() > self.word_at + WORD + 1.0:
                return
            await asyncio.sleep(0.02)

    async def replace(self, instances, version, drains):
        async def one(instance):
            while instance.changing:
                await asyncio.sleep(0.1)
            instance.next_version = version
            await (instance.replace(True) if drains else instance.crash(0.5))

        await asyncio.gather(*(one(instance) for instance in instances))

    async def run_order(self):
        kind = self.rng.choice(BAD + GOOD)
        chosen = self.rng.sample(self.instances(), TARGET_NODES)
        if kind == "fails when full":
            for instance in chosen:
                instance.slots = 1
        self.begin_order(kind)
        self.soak.schedule.append(f"{self.began - self.soak.begin:.3f} s: {kind}")
        starting = asyncio.create_task(self.replace(chosen, self.target, True))
        while all(i.version != self.target for i in chosen):
            await asyncio.sleep(0.01)
        self.began = time.monotonic()
        self.deadline = self.began + DURATION
        self.reached = self.exposed = self.bad = 0
        self.ordered = True
        await self.soak.store.change(protocol.ROLLOUTS, "booking", self.order())
        await self.await_word()
        await starting
        self.ordered = False
        self.check_word()
        self.done.append(f"{kind}: {self.word}")
        others = [i for i in self.instances() if i not in chosen]
        if self.word == "completed":
            self.base = self.target
            await self.replace(others, self.base, False)
        else:
            await self.replace(chosen, self.base, True)
        for instance in chosen:
            instance.slots = instance.full_slots
        self.kind = None

    def check_word(self):
        good = self.kind in GOOD
        if self.word is None:
            if not self.soak.store.disturbed_since(self.deadline - 3.0):
                self.soak.fail(f"{self.target}, {self.kind}, has no word in time")
        elif good and self.word == "rolled_back":
            self.soak.fail(f"{self.target} is {self.kind} and was returned from")
        elif not good and self.word == "completed":
            self.soak.fail(f"{self.target} {self.kind} and was moved to")

    async def inject(self, end):
        while True:
            await self.run_order()
            if time.monotonic() > end:
                return
            if self.rng.random() < 0.5:
                await self.soak.store.change(
                    protocol.ROLLOUTS, "booking", None, deleted=True
                )
            await asyncio.sleep(self.rng.uniform(0.0, 2.0))
