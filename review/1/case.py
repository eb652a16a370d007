"""The store is silent for 4.5 s; a configuration that it acknowledges afterwards has to be applied in time."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand_in"))

from fleet import CONTACT_S, Backend, CannotRun, Client, Fleet, now, route, run  # noqa: E402

APPLY_S = 2.0
SILENT_S = 4.5
# From a change that all nodes have applied to the outage; then the fleet is idle.
IDLE_S = 18.0
CHANGE_AFTER_S = 1.0
LOAD_S = 8.0


async def keep_asking(client, until):
    while now() < until:
        await client.send("GET", "/stock/1")
        await asyncio.sleep(0.1)


async def case(record, trouble):
    async with Fleet(record) as fleet:
        front = fleet.add_machine("front")
        fleet.add_machine("old-desk")
        fleet.add_machine("new-desk")
        services = ["front", "old-desk", "new-desk"]

        async def change(version, service):
            fleet.put_config(version, {"stock": route("/stock/", service, "idempotent", timeout_ms=1000)}, services)
            await fleet.store.notify()
            record.line(f"store acknowledges configuration {version}: /stock/ goes to {service}")
            return now()

        await change(1, "old-desk")
        for number, machine in enumerate(fleet.machines):
            machine.start()
            await fleet.add_backend(Backend(machine, f"{machine.service}-{number}", work_s=0.05)).start()
        await fleet.wait_until_ready()
        await asyncio.sleep(2)
        await change(2, "old-desk")
        await asyncio.sleep(IDLE_S)
        if trouble:
            record.line("the store is silent")
            fleet.store.silent = True
        await asyncio.sleep(SILENT_S)
        fleet.store.silent = False
        back_at = now()
        record.line("the store answers")
        await asyncio.sleep(CHANGE_AFTER_S)
        acknowledged_at = await change(3, "new-desk")
        clients = [Client(front, f"c{number}") for number in range(4)]
        until = now() + LOAD_S
        await asyncio.gather(*(keep_asking(client, until) for client in clients))

        binds_from = max(acknowledged_at + APPLY_S, back_at + CONTACT_S)
        sent = {attempt.request_id: attempt.sent_at for client in clients for attempt in client.attempts}
        counted = [entry for backend in fleet.backends for entry in backend.runs if sent[entry.request_id] > binds_from]
        if not counted:
            raise CannotRun("no requests ran")
        stale = [entry for entry in counted if entry.instance.startswith("old-desk")]
        return (bool(stale),
                f"{len(stale)} of {len(counted)} requests that were sent later than config_apply_ms after the "
                f"acknowledgement of configuration 3, with all machines in touch, were run by the old service")


run(case, __file__)
