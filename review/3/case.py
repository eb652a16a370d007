"""A backend leaves, the node beside it restarts, and a heartbeat that was sent before arrives late."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand_in"))

from fleet import CONTACT_S, DRAIN_S, Backend, CannotRun, Client, Fleet, now, route, run  # noqa: E402

KILL_AFTER_S = 0.3
RESTART_S = 0.5
LATE_BY_S = 2.0
# A backend serves for `drain_ms` after the acknowledgement and at times many seconds longer.
SERVES_FOR_S = 7.0


async def keep_ordering(client, until):
    while now() < until:
        await client.send("POST", "/order/1", b"x" * 1200)
        await asyncio.sleep(0.05)


async def case(record, trouble):
    async with Fleet(record) as fleet:
        for _ in range(3):
            fleet.add_machine("desk")
        fleet.put_config(1, {"orders": route("/order/", "desk", "non_idempotent")}, ["desk"])
        for number, machine in enumerate(fleet.machines):
            machine.start()
            await fleet.add_backend(Backend(machine, f"i-{number}", work_s=0.3)).start()
        await fleet.wait_until_ready()
        await asyncio.sleep(4)
        machine, leaving = fleet.machines[0], fleet.backends[0]
        # Clients of the other machines only: these machines have no disruption at all.
        clients = [Client(other, f"c{other.name[-1]}{number}") for other in fleet.machines[1:] for number in range(4)]
        work = [asyncio.create_task(keep_ordering(client, now() + 3 + SERVES_FOR_S)) for client in clients]
        await asyncio.sleep(2)
        if not leaving.runs:
            raise CannotRun("the backend gets no requests before it leaves")

        leaving.stop_beats()
        late = leaving.next_heartbeat()
        sent_at = now()
        record.line("i-0: sends a heartbeat that is delayed on its way")
        acknowledged_at = await leaving.withdraw()
        if acknowledged_at is None:
            raise CannotRun("no acknowledgement of the withdrawal")
        back_at = acknowledged_at
        if trouble:
            await asyncio.sleep(KILL_AFTER_S)
            machine.signal(signal.SIGKILL)
            machine.process.wait()
            await asyncio.sleep(RESTART_S)
            machine.start()
            back_at = now()
        await asyncio.sleep(max(sent_at + LATE_BY_S - now(), 0))
        await leaving.send_heartbeat(late, f" (sent {now() - sent_at:.1f} s before, sequence {leaving.sequence})")
        await asyncio.sleep(max(acknowledged_at + SERVES_FOR_S - now(), 0))
        leaving.stop()
        record.line("i-0: exits")
        await asyncio.gather(*work)

        # Only requests that were sent when the machine of the backend was in touch again count.
        binds_from = max(acknowledged_at + DRAIN_S, back_at + CONTACT_S)
        sent = {attempt.request_id: attempt for client in clients for attempt in client.attempts}
        late_runs = [entry for entry in leaving.runs if sent[entry.request_id].sent_at > binds_from]
        last = max((entry.at - acknowledged_at for entry in late_runs), default=0.0)
        lost = [entry.request_id for entry in late_runs if sent[entry.request_id].status != 200]
        return (bool(late_runs),
                f"{len(late_runs)} orders reached i-0 later than drain_ms after the acknowledgement with all machines in "
                f"touch, the last {last:.1f} s after it; {len(lost)} of them were lost when i-0 exited: "
                f"{' '.join(lost)}")


run(case, __file__)
