"""One client sends one request with a body inside `max_body_bytes`; the process that takes it exceeds its memory."""

import asyncio
import collections
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand_in_2"))
from fleet import Client, Fleet, main  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 260  # self.limits.memory_mb of the settings
MAX_BODY_BYTES = 67_108_864  # limits.max_body_bytes of the configuration
UPLOAD_BYTES = 60_000_000
RESTART_DELAY = 0.5
CLIENTS = 12
LENGTH = 12.0


async def enforce_memory(machine):
    """The platform: kills a process that exceeds its memory and starts it again."""
    while True:
        if machine.process.returncode is None and peak_mb(machine.process.pid) > MEMORY_MB:
            machine.fleet.record.line(f"platform: {machine.name} has used {peak_mb(machine.process.pid):.0f} MB of "
                                      f"{MEMORY_MB} MB")
            machine.signal(signal.SIGKILL)
            await machine.process.wait()
            await asyncio.sleep(RESTART_DELAY)
            await machine.start_process()
        await asyncio.sleep(0.005)


def peak_mb(pid):
    try:
        with open(f"/proc/{pid}/status", encoding="ascii") as file:
            for line in file:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


async def case(folder):
    fleet = Fleet(folder, ["tallinn-a", "tallinn-a", "tallinn-b", "tallinn-b"], 61)
    try:
        route = {"host": fleet.host, "path_prefix": "/order/", "route_kind": "non_idempotent", "timeout_ms": 2500,
                 "target_latency_ms": 600, "priority": 1, "service": "order-desk", "max_attempts": 2}
        fleet.config(7, {"orders": route}, ["order-desk", "proof-room"])
        await fleet.start(["proof-room", "order-desk", "order-desk", "order-desk"])
        for machine in fleet.machines:
            machine.backend.work = 0.3
        guards = [asyncio.create_task(enforce_memory(machine)) for machine in fleet.machines]
        entry = fleet.machines[0]
        end = time.monotonic() + LENGTH
        results = []

        async def order(number):
            client = Client(entry, f"c{number}")
            await asyncio.sleep(number * 0.35 / CLIENTS)
            while time.monotonic() < end:
                kept = client.writer is not None
                request_id, status, _ = await client.request("POST", f"/order/{number}", b"x" * 1200)
                results.append((request_id, status, kept))
                await asyncio.sleep(0.05)

        async def upload():
            await asyncio.sleep(4.0)
            if TROUBLE:
                result = await Client(entry, "uploader").request("POST", "/order/drawing", b"x" * UPLOAD_BYTES, 2.5)
                fleet.record.line(f"the upload of {UPLOAD_BYTES} of {MAX_BODY_BYTES} bytes ends with {result[1]}")

        await asyncio.gather(upload(), *[order(number) for number in range(CLIENTS)])
        for guard in guards:
            guard.cancel()
        ran = {run[1] for run in fleet.runs}
        lost = [request_id for request_id, status, kept in results if kept and status == "closed" and request_id in ran]
        summary = f"orders: {dict(collections.Counter(str(status) for _, status, _ in results))}; passed on to a sound " \
                  f"backend from a kept connection that was closed without an answer: {len(lost)} (three are allowed)"
        fleet.record.line(summary)
        print(summary)
        return 1 if len(lost) > 3 else 0
    finally:
        await fleet.stop()


main(case, HERE)
