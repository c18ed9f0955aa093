"""Groups with keys in the fault soak: callers whose keys are added, withdrawn and
guessed, on kept and on new connections, and what is promised of keys.

Nothing runs in the name of another group than the key's, nor for a key that no
configuration ever held; a key goes no further than the node that is asked; nodes
in touch follow a change of keys in time, and with `fail_closed` all nodes stop
taking a withdrawn key in time.
"""
import asyncio
import random
import re
import time

import protocol  # Of ../platform, which faults.py adds to the path.
from fault_http import KeptConnections, call
from fault_quotas import send_steadily

ROUTE = "keyed"  # The route on which callers need a key.
REVOKE = 5.0  # Seconds in which a node out of touch may take a withdrawn key.
SLACK = 0.5  # Seconds for the scheduling of this process.
GROUPS = ["trams", "ferries", "night buses"]
MARK = "key-of-"  # In each key; nowhere else.
STEADY = MARK + "trams-steady"  # Never withdrawn.
KEYS = [STEADY] + [f"{MARK}nobody-else-{i}" for i in range(6)]
NEVER_HELD = MARK + "no-group"
FORGED = "forged"  # A group that a caller names itself.
# A configuration has keys without a scheme before them.
SENT_KEY = re.compile(rb"[a-z] +" + MARK.encode() + rb"|" + NEVER_HELD.encode(), re.I)


class Sent:
    """A request of a caller with a key; None: without."""

    def __init__(self, key, keyed):
        self.key = key
        self.keyed = keyed  # Sent to the route that needs a key.
        self.at = time.monotonic()


class Groups:
    def __init__(self, soak, seed):
        self.soak = soak
        # Separate, so that the schedule of a seed stays as it is.
        self.rng = random.Random(seed + 4_000_000)
        self.fail_closed = seed % 2 == 1
        self.holders = {STEADY: GROUPS[0]}  # Key -> group, now.
        # Key -> (since when, group or None, era of the store), oldest first.
        self.history = {STEADY: [(0.0, GROUPS[0], 1)]}
        self.sent = {}  # Request id -> Sent.
        self.kept = KeptConnections()
        self.runs = self.refusals = 0

    def extend(self, configuration):
        for kind in ("safe", "unsafe"):
            route = protocol.route(f"/{ROUTE}/{kind}/", kind, "booking")
            route["public"] = False
            configuration["routes"][f"{ROUTE}-{kind}"] = route
        for group in GROUPS:
            keys = [key for key, holder in self.holders.items() if holder == group]
            configuration["tenants"] |= protocol.tenant(group, keys, 0, 0)
        return configuration

    def in_force(self):
        """Seconds until nodes in touch follow a change of keys."""
        return self.soak.configurations.apply + SLACK

    def held(self, key, begin, end):
        """The groups, None for no group, that had the key at some time between."""
        changes = self.history.get(key, [])
        ends = [since for since, _, _ in changes[1:]] + [end]
        found = {
            group
            for (since, group, _), until in zip(changes, ends)
            if since <= end and until >= begin
        }
        return found if changes and changes[0][0] <= begin else found | {None}

    def on_run(self, instance, request, line, headers):
        """For requests of all callers."""
        if any(MARK in value for value in headers.values()) or MARK in line:
            self.soak.fail(f"{request} reached {instance.id} with a key")
        named = protocol.header(headers, protocol.GROUP)
        sent = self.sent.get(request)
        if sent is None:
            return self.check_other(request, named)
        self.runs += 1
        ever = {group for _, group, _ in self.history.get(sent.key, [])} - {None}
        if sent.keyed and not ever:
            self.soak.fail(f"{request} ran for a key that no configuration held")
        if named not in ever | ({None} if not sent.keyed else set()):
            self.soak.fail(f"{request} ran in the name of {named}, not of {ever}")
        node, _ = self.soak.origins[request]
        if self.soak.is_in_touch(node, sent.at):
            may = self.held(sent.key, sent.at - self.in_force(), time.monotonic())
            if named not in may:
                self.soak.fail(
                    f"{request} ran in the name of {named}, {self.in_force()} s after its "
                    f"key went to {may}"
                )
        self.check_withdrawn(request, sent, named)

    def check_other(self, request, named):
        expected = self.soak.quotas.group_of(request)
        if named != expected:
            self.soak.fail(f"{request} ran in the name of {named}, not of {expected}")

    def check_withdrawn(self, request, sent, named):
        """With `fail_closed`: at any node, whatever it is cut off from."""
        if not self.fail_closed or not sent.keyed or named is None:
            return
        since, group, era = self.history[sent.key][-1]
        if group is None and era == self.soak.store.era:
            if sent.at > since + REVOKE + SLACK:
                self.soak.fail(
                    f"{request} ran {sent.at - since:.1f} s after its key was "
                    "withdrawn, with fail_closed"
                )

    def check_status(self, request, node, status):
        sent = self.sent[request]
        if status != 401:
            return
        self.refusals += 1
        if sent.key == STEADY:
            self.soak.fail(f"{request} got 401 with a key that all groups' tables have")
        if not sent.keyed:
            self.soak.fail(f"{request} got 401 on a route without keys")
        held = self.held(sent.key, sent.at - self.in_force(), time.monotonic())
        if None not in held and self.soak.is_in_touch(node, sent.at):
            self.soak.fail(f"{request} got 401 with a key in force since long")

    async def one_request(self, request, node=None, key=None):
        rng = self.rng
        node = node or rng.choice(self.soak.nodes)
        key = key or rng.choice([*KEYS, STEADY, STEADY, NEVER_HELD, None])
        keyed = rng.random() < 0.7
        # No key counts under another scheme.
        other_scheme = key is not None and rng.random() < 0.1
        scheme = protocol.KEY_SCHEME
        scheme = rng.choice([scheme, scheme.lower(), scheme.upper()])
        headers = {} if rng.random() < 0.5 else {protocol.GROUP: FORGED}
        if key is not None:
            headers[protocol.KEY] = f"{'Bearer' if other_scheme else scheme} {key}"
        self.sent[request] = Sent(None if other_scheme else key, keyed)
        await self.soak.one_request(
            node,
            ROUTE if keyed else self.soak.routes[0],
            rng.random() < 0.4,
            request,
            f"{request}-group",
            headers,
            self.kept if rng.random() < 0.7 else None,
        )
        self.check_status(request, node, self.soak.sent[request][1])

    async def callers(self):
        """About 30 requests a second."""
        await send_steadily(self.soak, self.rng, "g", 0.066, self.one_request)
        self.kept.close()

    def set_holder(self, key, group):
        if self.holders.get(key) == group:
            return
        self.holders[key] = group
        self.history.setdefault(key, []).append(
            (time.monotonic(), group, self.soak.store.era)
        )
        at = time.monotonic() - self.soak.begin
        self.soak.schedule.append(f"{at:.3f} s: {key} to {group}")

    async def change(self, changes):
        """Holders by key; the time of a change is that of its write."""
        for key, group in changes.items():
            self.set_holder(key, group)
        self.soak.version += 1
        await self.soak.write_configuration()

    async def changes(self):
        """Adds keys, withdraws them, at times all of a group, until the end."""
        while not self.soak.over:
            await asyncio.sleep(self.rng.uniform(0.5, 3.0))
            if self.rng.random() < 0.2:
                group = self.rng.choice(GROUPS)
                keys = [k for k in KEYS[1:] if self.holders.get(k) == group]
                await self.change(dict.fromkeys(keys))
                continue
            key = self.rng.choice(KEYS[1:])
            held = self.holders.get(key)
            await self.change({key: self.rng.choice(GROUPS) if held is None else None})

    async def cut_off(self):
        """Withdraws a key while a node is cut off from the store, and from links
        that others open to it, for longer than it may take the key."""
        index = self.rng.randrange(len(self.soak.nodes))
        node, key = self.soak.nodes[index], MARK + "cut-off"
        await self.change({key: GROUPS[1]})
        await asyncio.sleep(self.rng.uniform(1.0, 3.0))
        proxies = [self.soak.store_proxies[index]]
        proxies += [self.soak.link_proxies[index]] * (self.rng.random() < 0.5)
        end = time.monotonic() + REVOKE + 2.0
        for proxy in proxies:
            proxy.set_mode("silent")
        await self.change({key: None})
        number = 0
        while time.monotonic() < end:
            for proxy in proxies:
                if proxy.mode != "silent":  # Another fault of it has ended.
                    proxy.set_mode("silent")
            number += 1
            await self.one_request(f"h{number:x}", node, key)
            await asyncio.sleep(0.05)
        for proxy in proxies:
            proxy.set_mode("pass")

    def on_link_bytes(self, data, tail):
        """Returns what the next bytes may continue."""
        found = SENT_KEY.search(tail + data)
        if found:
            self.soak.fail(f"a key passed a link between nodes: {found[0]!r}")
        return (tail + data)[-64:]

    async def check_metrics(self):
        for node in self.soak.nodes:
            status, _, body = await call(node.metrics, "GET", "/metrics")
            if status != 200 or MARK.encode() in body:
                self.soak.fail(f"metrics of node {node.index}: {status}, or a key")

    def check(self):
        """After all nodes have stopped."""
        for log in self.soak.folder.glob("node-*.log"):
            if MARK in log.read_text(errors="replace"):
                self.soak.fail(f"a key is in {log}")
        if not self.runs or not self.refusals:
            self.soak.fail(f"groups: {self.runs} runs, {self.refusals} refusals")
