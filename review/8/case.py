"""A departure is acknowledged while the store is silent; the node is killed; a late heartbeat meets the next process."""

import asyncio
import collections
import json
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand_in_2"))
from fleet import Client, Fleet, http_call, main  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN = 2.0  # bounds.drain_ms
CONTACT = 3.0  # bounds.contact_ms
SILENCE = 2.5  # the store is silent; at most 4.5 s in the site's list
DOWN = 2.0  # from the kill to the next start; at most 3.5 s in the site's list
LATE = 4.0  # delay of one heartbeat: "may arrive seconds late"
SERVES_ON = 10.0  # after the acknowledgement: "at times many seconds"
CLIENTS = 3


async def case(folder):
    fleet = Fleet(folder, ["tallinn-a", "tallinn-a", "tallinn-b", "tallinn-b"], 64)
    try:
        route = {"host": fleet.host, "path_prefix": "/order/", "route_kind": "non_idempotent", "timeout_ms": 1200,
                 "target_latency_ms": 600, "priority": 1, "service": "order-desk", "max_attempts": 2}
        fleet.config(7, {"orders": route}, ["order-desk", "proof-room"])
        await fleet.start(["proof-room", "order-desk", "order-desk", "order-desk"])
        record, machine = fleet.record, fleet.machines[1]
        leaving = machine.backend
        end = time.monotonic() + 3.0 + SERVES_ON
        statuses = collections.Counter()
        calm_from = None

        async def order(entry, number):
            client = Client(entry, f"{entry.name}-{number}")
            await asyncio.sleep(number * 0.2 / CLIENTS)
            while time.monotonic() < end:
                sent = record.time()
                request_id, status, _ = await client.request("POST", f"/order/{number}", b"x" * 1200)
                sent_at[request_id] = sent
                statuses[str(status)] += 1
                await asyncio.sleep(0.05)

        sent_at = {}

        async def late_beat():
            """A heartbeat that the backend sends before its DELETE, and that is LATE on its way."""
            leaving.sequence += 1
            body = {"service": leaving.service, "address": f"{machine.address}:{machine.ports['app']}",
                    "zone": machine.zone, "version": leaving.version, "slots": leaving.slots, "state": "ready",
                    "cold_left_ms": 0, "sequence": leaving.sequence, "born": leaving.born}
            record.line(f"backend {leaving.id} sends heartbeat {leaving.sequence}, which is held up on its way")
            await asyncio.sleep(LATE)
            answer = await http_call(machine.address, machine.ports["admin"], "PUT",
                                     f"/goldcrestwell/instances/{leaving.id}", [("Content-Type", "application/json")],
                                     json.dumps(body).encode(), 1.0)
            record.line(f"heartbeat {body['sequence']} of {leaving.id} arrives, answer "
                        f"{answer.status if answer else 'none'}")

        async def silence():
            record.line("store: falls silent")
            fleet.store.silent = True
            await asyncio.sleep(SILENCE)
            fleet.store.silent = False
            fleet.store.server.close_connections()
            record.line("store: serves again")

        async def trouble():
            nonlocal calm_from
            await asyncio.sleep(2.0)
            leaving.beating.cancel()
            beat = asyncio.create_task(late_beat())
            silent = asyncio.create_task(silence()) if TROUBLE else None
            await asyncio.sleep(0.2)
            while leaving.acknowledged_at is None:
                answer = await http_call(machine.address, machine.ports["admin"], "DELETE",
                                         f"/goldcrestwell/instances/{leaving.id}", [], b"", 1.0)
                record.line(f"DELETE of {leaving.id}: answer {answer.status if answer else 'none'}")
                if answer is not None and answer.status // 100 == 2:
                    leaving.acknowledged_at = record.time()
            if TROUBLE:
                await asyncio.sleep(0.3)
                machine.signal(signal.SIGKILL)
                await machine.process.wait()
                await asyncio.sleep(DOWN)
                await machine.start_process()
                calm_from = record.time() + CONTACT
                await silent
            await beat
            await asyncio.sleep(max(0.0, leaving.acknowledged_at + SERVES_ON - record.time()))
            leaving.server.stop()
            record.line(f"backend {leaving.id} ends")

        await asyncio.gather(trouble(), *[order(entry, number) for entry in fleet.machines
                                          for number in range(CLIENTS)])
        bound = max(leaving.acknowledged_at + DRAIN, calm_from or 0.0)
        late = [run for run in fleet.runs if run[2] == leaving.id and sent_at.get(run[1], 0.0) > bound]
        summary = f"orders: {dict(statuses)}; acknowledged at {leaving.acknowledged_at:.1f} s; runs at the leaving " \
                  f"backend of orders sent after {bound:.1f} s, when all machines are in touch: {len(late)} " \
                  f"(none is allowed)"
        record.line(summary)
        print(summary)
        return 1 if late else 0
    finally:
        await fleet.stop()


main(case, HERE)
