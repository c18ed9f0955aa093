"""One of three servers is in trouble: in place of some of its answers it sends
bytes without end. They must not end the sidecar that reads them."""
import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from fleet import Server, play  # noqa: E402

TROUBLE_AT, TROUBLE_S = 8.0, 5.5
LENGTH_S = 18.0
SHARE = 1.0  # Of the answers of that server.
CLIENTS = (30, 8, 8)  # At each machine.
CHUNK = b"x" * 1_048_576
PAUSE = 0.01  # Between two chunks: below 100 MB a second on a connection.
MAX_LOST = 3  # LOST: "more than three times".


async def endless(server, attempt, writer):
    """No answer: a body without a length, a signature or an end."""
    if random.random() >= SHARE:
        return False
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n")
    while not writer.transport.is_closing() and not server.gone:
        writer.write(CHUNK)
        await writer.drain()
        await asyncio.sleep(PAUSE)
    return True


async def client(fleet, machine, end):
    kept = []
    while time.monotonic() < end:
        if not machine.is_in:
            await asyncio.sleep(0.1)
        elif random.random() < 0.3:
            await fleet.request(machine, "POST", "/pufi791/2f", 1500, b"b" * 4000, kept)
        else:
            await fleet.request(machine, "GET", "/lohu930/2f", 1200, b"", kept)
        await asyncio.sleep(random.uniform(0.05, 0.15))


async def case(fleet, trouble):
    routes = [
        ("read", "/lohu930/", "safe", "huvo11a", 1200),
        ("commit", "/pufi791/", "unsafe", "huvo11a", 800),
    ]
    machines = [fleet.add_machine("huvo11a", f"whk-{zone}") for zone in "abc"]
    fleet.configure(routes, ["huvo11a"])
    await fleet.start(watch_memory=True)
    servers = [
        Server(machine, f"i-{machine.index}", work=0.12) for machine in machines
    ]
    for server in servers:
        await server.start()
    await fleet.until_in()
    begin = time.monotonic()
    clients = [
        fleet.spawn(client(fleet, machine, begin + LENGTH_S))
        for machine, count in zip(machines, CLIENTS)
        for _ in range(count)
    ]
    await asyncio.sleep(TROUBLE_AT)
    if trouble:
        fleet.record.add(f"server {servers[0].id} is in trouble")
        servers[0].trouble = endless
    await asyncio.sleep(TROUBLE_S)
    servers[0].trouble = None
    await asyncio.gather(*clients)

    sound = {server.id for server in servers[1:]}
    broken = []
    for machine in machines:
        fleet.record.add(
            f"{machine.name}: at most {machine.peak_mb:.0f} MB, killed {machine.kills}"
        )
        lost = [
            attempt
            for attempt, (at, on_kept) in fleet.origins.items()
            if at is machine
            and on_kept
            and fleet.answers.get(attempt, (1, ""))[1] == "the connection was closed"
            and any(name in sound for name, _ in fleet.runs.get(attempt, []))
        ]
        if len(lost) > MAX_LOST:
            broken.append(
                f"LOST: {machine.name} closed {len(lost)} kept connections without an "
                f"answer to a request that a sound server ran; the platform ended its "
                f"process {machine.kills} times for its memory"
            )
    good = sum(status == 200 for status, _ in fleet.answers.values())
    fleet.record.add(f"{good} of {len(fleet.answers)} requests got a 200")
    for server in servers:
        server.end()
    return broken


play(case, pathlib.Path(__file__).parent)
