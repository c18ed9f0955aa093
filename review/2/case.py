"""A machine is cut off from the store and from the machines of other zones, but
not from those of its own, while a tenant asks for more than its quota on both
sides. The quota holds for all machines together."""
import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from fleet import Server, play  # noqa: E402

QUOTA = {"quota_window_s": 5, "quota_over": 0.1, "quota_slack": 20}
# What else habimana-tolls-grown has other than the bounds of the other cases.
BOUNDS = {
    "ack_ms": 5000,
    "catch_up_s": 6,
    "drain_ms": 2500,
    "config_apply_ms": 2500,
    "budget_slack": 214,
    "fail_closed": False,
    "revoke_ms": 5000,
}
RATE, BURST = 100, 20
USUAL = 30  # Asked a second, at each of two machines.
ASKED = 150  # The same, from `HOT_AT` on.
HOT_AT = 8.0
CUT_AT, CUT_S = 14.0, 6.0
LENGTH_S = 24.0


def mix(value):
    mask = (1 << 64) - 1
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9 & mask
    value = (value ^ (value >> 27)) * 0x94D049BB133111EB & mask
    return value ^ (value >> 31)


def digest(text):
    value = 0xCBF29CE484222325
    for byte in text.encode():
        value = (value ^ byte) * 0x100000001B3 & ((1 << 64) - 1)
    return value


def order(tenant, machines):
    """The machines in the order in which they keep the tenant's quota."""
    return sorted(
        machines, key=lambda m: mix(digest(tenant) ^ digest(m.name)), reverse=True
    )


async def ask(fleet, machine, key, begin):
    tasks = set()
    while (now := time.monotonic() - begin) < LENGTH_S:
        per_s = USUAL if now < HOT_AT else ASKED
        if machine.is_in:
            task = asyncio.create_task(
                fleet.request(machine, "GET", "/lohu930/2f", 1500, key=key)
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.sleep(random.expovariate(per_s))
    await asyncio.gather(*tasks)


async def case(fleet, trouble):
    fleet.more_bounds = QUOTA | BOUNDS
    cut_off = fleet.add_machine("huvo11a", "whk-a")
    near = [fleet.add_machine("huvo11a", "whk-a") for _ in range(3)]
    far = fleet.add_machine("huvo11a", "whk-b")
    # One tenant of ten is of this kind: its quota is kept by one of the two
    # machines, and by the other one where that one is not reached.
    names = (f"hule{number}" for number in range(100, 999))
    tenant = next(
        name
        for name in names
        if set(order(name, fleet.machines)[:2]) == {cut_off, far}
    )
    fleet.tenants = {
        tenant: {"api_keys": ["5mgjy5rcpihhacrudded"], "rate_per_s": RATE, "burst": BURST}
    }
    fleet.configure([("read", "/lohu930/", "safe", "huvo11a", 1500)], ["huvo11a"])
    for machine in fleet.machines:
        await machine.stand_behind_cuts()
    await fleet.start()
    servers = [Server(m, f"i-{m.index}", work=0.04) for m in fleet.machines]
    for server in servers:
        await server.start()
    await fleet.until_in()
    begin = time.monotonic()
    asking = [
        fleet.spawn(ask(fleet, m, "5mgjy5rcpihhacrudded", begin))
        for m in (cut_off, far)
    ]
    await asyncio.sleep(CUT_AT)
    if trouble:
        fleet.record.add(f"{cut_off.name} is cut off from {far.name} and the store")
        cut_off.store_cut.cut({cut_off})
        cut_off.links_cut.cut({far})
        far.links_cut.cut({cut_off})
    await asyncio.sleep(CUT_S)
    for cut in (cut_off.store_cut, cut_off.links_cut, far.links_cut):
        cut.cut(())
    fleet.record.add("the cut is over")
    await asyncio.gather(*asking)

    window = QUOTA["quota_window_s"]
    limit = (RATE * window + BURST) * (1 + QUOTA["quota_over"]) + QUOTA["quota_slack"]
    ran = sorted(
        (fleet.sent[attempt], places[0][1])
        for attempt, places in fleet.runs.items()
        if fleet.ran_for.get(attempt) == tenant
    )
    most, at = 0, 0.0
    for sent, _ in ran:
        count = sum(s >= sent and r <= sent + window for s, r in ran)
        if count > most:
            most, at = count, sent - begin
    fleet.record.add(
        f"{tenant} is kept by {[m.name for m in order(tenant, fleet.machines)]}; "
        f"at most {most} requests ran in {window} s, from {at:.1f} s on; "
        f"the limit is {limit:.0f}"
    )
    if most <= limit:
        return []
    return [
        f"QUOTA: {most} requests of {tenant} were sent and ran within {window} s, "
        f"from {at:.1f} s on; the rule allows {limit:.0f}"
    ]


play(case, pathlib.Path(__file__).parent)
