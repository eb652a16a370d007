"""A heartbeat of another writer, with a field missing, arrives after a backend's leaving was acknowledged."""

import asyncio
import collections
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand_in_2"))
from fleet import Client, Fleet, http_call, main, now_ms  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN = 2.0  # bounds.drain_ms
SERVES_ON = 8.0  # "a little longer (at times many seconds)"
CLIENTS = 3


async def foreign_beat(backend):
    """One heartbeat of another writer: it has no zone, and states the start of its writer, not of the backend."""
    machine = backend.machine
    body = {"service": backend.service, "address": f"{machine.address}:{machine.ports['app']}",
            "version": backend.version, "slots": backend.slots, "state": "ready", "cold_left_ms": 0, "sequence": 1,
            "born": now_ms()}
    machine.fleet.record.line(f"another writer sends PUT /goldcrestwell/instances/{backend.id} {json.dumps(body)}")
    answer = await http_call(machine.address, machine.ports["admin"], "PUT", f"/goldcrestwell/instances/{backend.id}",
                             [("Content-Type", "application/json")], json.dumps(body).encode(), 1.0)
    machine.fleet.record.line(f"another writer gets {answer.status if answer else 'no answer'}")


async def case(folder):
    fleet = Fleet(folder, ["tallinn-a", "tallinn-a", "tallinn-b", "tallinn-b"], 63)
    try:
        route = {"host": fleet.host, "path_prefix": "/order/", "route_kind": "non_idempotent", "timeout_ms": 1200,
                 "target_latency_ms": 600, "priority": 1, "service": "order-desk", "max_attempts": 2}
        fleet.config(7, {"orders": route}, ["order-desk", "proof-room"])
        await fleet.start(["proof-room", "order-desk", "order-desk", "order-desk"])
        end = time.monotonic() + 4.0 + SERVES_ON
        statuses = collections.Counter()

        async def order(machine, number):
            client = Client(machine, f"{machine.name}-{number}")
            await asyncio.sleep(number * 0.2 / CLIENTS)
            while time.monotonic() < end:
                _, status, _ = await client.request("POST", f"/order/{number}", b"x" * 1200)
                statuses[str(status)] += 1
                await asyncio.sleep(0.05)

        leaving = fleet.machines[1].backend

        async def leave():
            await asyncio.sleep(3.0)
            leaving.beating.cancel()
            leaving.state = "draining"
            while leaving.acknowledged_at is None:
                await leaving.beat()
            await asyncio.sleep(1.0)
            if TROUBLE:
                await foreign_beat(leaving)
            await asyncio.sleep(SERVES_ON - 1.0)

        await asyncio.gather(leave(), *[order(machine, number) for machine in fleet.machines
                                        for number in range(CLIENTS)])
        bound = leaving.acknowledged_at + DRAIN
        late = [run for run in fleet.runs if run[2] == leaving.id and run[0] > bound]
        between = [run for run in fleet.runs if run[2] == leaving.id and leaving.acknowledged_at < run[0] <= bound]
        summary = f"orders: {dict(statuses)}; runs at the leaving backend up to {DRAIN:.0f} s after the acknowledgement: " \
                  f"{len(between)}, later: {len(late)} (none is allowed)"
        fleet.record.line(summary)
        print(summary)
        return 1 if late else 0
    finally:
        await fleet.stop()


main(case, HERE)
