"""One heartbeat of another writer, with a field missing, arrives at each machine of a service."""

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
CONTACT = 3.0  # bounds.contact_ms
CONFIG_APPLY = 2.0  # bounds.config_apply_ms
BEFORE = 6.0
AFTER = 20.0
MIN_REQUESTS = 20
CLIENTS = 3


async def foreign_beat(machine, number):
    """One heartbeat of another writer: it has no zone, an id of its own, and the start time of its writer."""
    backend = machine.backend
    body = {"service": backend.service, "address": f"{machine.address}:{machine.ports['app']}",
            "version": backend.version, "slots": backend.slots, "state": "ready", "cold_left_ms": 0, "sequence": 1,
            "born": now_ms()}
    target = f"/goldcrestwell/instances/i-foreign-{number}"
    machine.fleet.record.line(f"another writer sends PUT {target} {json.dumps(body)} to {machine.name}")
    answer = await http_call(machine.address, machine.ports["admin"], "PUT", target,
                             [("Content-Type", "application/json")], json.dumps(body).encode(), 1.0)
    machine.fleet.record.line(f"another writer gets {answer.status if answer else 'no answer'}")


async def case(folder):
    fleet = Fleet(folder, ["tallinn-a", "tallinn-a", "tallinn-b", "tallinn-b"], 65)
    try:
        first = {"host": fleet.host, "path_prefix": "/order/", "route_kind": "non_idempotent", "timeout_ms": 1200,
                 "target_latency_ms": 600, "priority": 1, "service": "order-desk", "max_attempts": 2}
        added = dict(first, path_prefix="/reorder/")
        fleet.config(7, {"orders": first}, ["order-desk", "proof-room"])
        await fleet.start(["proof-room", "order-desk", "order-desk", "order-desk"])
        record = fleet.record
        end = time.monotonic() + BEFORE + CONTACT + CONFIG_APPLY + AFTER
        steady = [True]
        added_in_force = asyncio.Event()
        counts = {"first": collections.Counter(), "added": collections.Counter()}

        async def order(machine, number):
            client = Client(machine, f"{machine.name}-{number}")
            await asyncio.sleep(number * 0.2 / CLIENTS)
            turn = 0
            while time.monotonic() < end:
                turn += 1
                kind = "added" if added_in_force.is_set() and turn % 2 else "first"
                counted = steady[0]
                path = "/reorder/" if kind == "added" else "/order/"
                _, status, _ = await client.request("POST", f"{path}{number}", b"x" * 1200)
                if counted:
                    counts[kind][str(status)] += 1
                await asyncio.sleep(0.15)

        async def trouble():
            await asyncio.sleep(BEFORE)
            steady[0] = False
            if TROUBLE:
                for number, machine in enumerate(fleet.machines[1:]):
                    await foreign_beat(machine, number)
            await asyncio.sleep(CONTACT)
            fleet.config(9, {"orders": first, "reorders": added}, ["order-desk", "proof-room"])
            await asyncio.sleep(CONFIG_APPLY)
            added_in_force.set()
            steady[0] = True
            record.line("steady state again")

        await asyncio.gather(trouble(), *[order(machine, number) for machine in fleet.machines
                                          for number in range(CLIENTS)])

        def share(kind):
            return counts[kind]["200"] / max(1, counts[kind].total())

        broken = counts["added"].total() >= MIN_REQUESTS and share("added") < share("first") / 4
        summary = f"in steady state, first route: {dict(counts['first'])}, {share('first'):.2f} served; added route: " \
                  f"{dict(counts['added'])}, {share('added'):.2f} served (a quarter of the first's share is the least)"
        record.line(summary)
        print(summary)
        return 1 if broken else 0
    finally:
        await fleet.stop()


main(case, HERE)
