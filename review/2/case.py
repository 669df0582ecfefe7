"""Fifty teams share the service. After each has run a small job, the state service lowers its limits as announced. From then on no
job starts any more, although the machine is empty."""
import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import site_stand as site  # noqa: E402
from workers import Worker  # noqa: E402

TEAMS = 50
OPEN_AT_ONCE = 5
WAITING_S = 90.0


async def case(record, trouble):
    teams = [f"agency-{number:02}" for number in range(TEAMS)]
    settings = site.hobart_settings(
        teams=[{"name": name, "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0} for name in teams],
        state={"rps": 250.0, "write_rps": 15.0, "value_kb": 8.0, "txn_ops": 8,
               "next": {"value_kb": 2.0, "txn_ops": 4, "write_rps": 15.0}})
    here = site.Site(record, settings, site.HOBART_TYPES)
    specs = {}
    try:
        worker = Worker(here, "n-000001", "thylacine", "sandybay", 0.6, specs, lambda spec: 0.3)
        await here.start()
        await worker.start()
        leader = await here.leader()

        async def submit(user, spec):
            specs[spec["id"]] = spec
            status, answer = await user.persist("POST", "/api/jobs", spec)
            if status not in (200, 201):
                raise site.CannotRun(f"not accepted: {spec['id']} {status} {answer}")

        async def run_some(numbers):
            user = site.User(here, leader)
            for number in numbers:
                job_id = f"j-{100000 + number}"
                await submit(user, site.job(job_id, crew=teams[number], urgency="urgent", image_gb=0.1, standby=False))

                async def done():
                    return "open/" + job_id not in here.state.keys or "final" in json.dumps(here.state.keys["open/" + job_id][0])
                await here.until(done, 15, "a small job is done")
        await asyncio.gather(*(run_some(range(first, TEAMS, OPEN_AT_ONCE)) for first in range(OPEN_AT_ONCE)))
        sizes = {key: len(json.dumps(entry[0], separators=(",", ":"))) for key, entry in here.state.keys.items()
                 if key.startswith("progress/")}
        record.write(f"every team has run a job; progress records: {sizes}")
        if trouble:
            here.state.value_kb, here.state.txn_ops = 2.0, 4
            record.write("state service: values of at most 2 KiB and 4 changes a transaction from now on")
        user = site.User(here, leader)
        late = site.job("j-200000", crew=teams[0], urgency="urgent", image_gb=0.1, standby=False)
        await submit(user, late)
        accepted = time.monotonic()
        while time.monotonic() < accepted + WAITING_S + 1:
            status, answer = await user.call("GET", "/api/jobs/j-200000", wait_s=2.0)
            if status == 200 and answer["status"] in ("running", "done"):
                return []
            await asyncio.sleep(2.0)
        if any(piece.startswith("j-200000/") for piece, _ in worker.tasks):
            return []
        live = [key for key, task in worker.tasks.items() if task["status"] != "exited"]
        record.write(f"worker n-000001: 32 cores, {len(live)} tasks, session {worker.shift}")
        return [f"left waiting: j-200000 waits for {WAITING_S:.0f} s after it was accepted, while a machine that fits runs {len(live)} tasks "
                "and its team has no limit"]
    finally:
        here.stop()


if __name__ == "__main__":
    site.run(case, HERE)
