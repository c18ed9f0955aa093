#!/usr/bin/env python3
"""Measures the memory that nodes take to pass on one request with a large body.

Runs three sidecars on loopback with the fault soak's stand-ins, without faults.
Exit code 0 if no node takes more than a node is given on the users' platform.
"""
import argparse
import asyncio
import pathlib
import shutil
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))
import faults  # noqa: E402
import protocol  # noqa: E402

MAX_BODY_BYTES = 67_108_864  # What callers may send.
BODY_BYTES = 60_000_000
NODE_MEMORY_MB = 260
DEADLINE_MS = 8_000


def peak_memory_mb(process):
    for line in pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) // 1024
    return 0


async def measure(options):
    soak = faults.Soak(options)
    soak.begin = time.monotonic()
    configuration = soak.configuration()
    configuration["limits"] = {
        "max_header_bytes": 16_384,
        "max_body_bytes": MAX_BODY_BYTES,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    }
    for route in configuration["routes"].values():
        route["timeout_ms"] = DEADLINE_MS
    await soak.store.change(*protocol.CONFIGURATION, configuration)
    for node, store_proxy, link_proxy in zip(
        soak.nodes, soak.store_proxies, soak.link_proxies
    ):
        node.write_settings()
        store = (node.ip, soak.base_port + 8)
        await asyncio.start_server(soak.store.serve, *store)
        await asyncio.start_server(store_proxy.serve, *node.store_proxy)
        await asyncio.start_server(link_proxy.serve, *node.links_proxy)
    keepers = [asyncio.create_task(node.run()) for node in soak.nodes]
    for instance in soak.instances:
        await instance.start()
    await asyncio.sleep(options.warm_up)
    soak.sent["big"] = (False, None)
    headers = {
        "Host": "a.example",
        protocol.REQUEST_ID: "big",
        protocol.DEADLINE_MS: str(DEADLINE_MS),
    }
    status, _, _ = await faults.call(
        soak.nodes[0].callers, "POST", "/p1/safe/big", headers, b"x" * BODY_BYTES, 10.0
    )
    peaks = [peak_memory_mb(node.process) for node in soak.nodes]
    soak.over = True
    for instance in soak.instances:
        instance.task.cancel()
    await asyncio.gather(*(node.stop() for node in soak.nodes))
    await asyncio.gather(*keepers)
    shutil.rmtree(soak.folder)
    print(f"status {status}, peak memory of the nodes in MB: {peaks}")
    return max(peaks)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binary", default="build/verbenastile")
    parser.add_argument("--port-offset", type=int, default=9_600)
    options = parser.parse_args()
    options.seed, options.nodes, options.warm_up = 1, 3, 3.0
    options.clients = options.ending_requests = 0
    options.seconds = 0.0
    return 0 if asyncio.run(measure(options)) <= NODE_MEMORY_MB else 1


if __name__ == "__main__":
    sys.exit(main())
