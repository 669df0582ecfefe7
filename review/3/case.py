"""The cloud has fewer machines to give, so that a pipeline is at risk of missing its deadline. Its class is named in Sinhala. The
reason that the leader tells the other controllers is cut in the middle of a letter, and they close the link: from then on
they call every running job queued."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import site_stand as site  # noqa: E402
from workers import Worker  # noqa: E402

CLASS = "ආපනශාලා මෙනු සමමුහුර්ත කිරීම සහ මිල යාවත්කාලීන කිරීම"  # "synchronisation of restaurant menus and update of prices"
LAG_S = 3.0
WATCH_S = 40.0
RUN_S = {"j-100001": 110.0, "j-100002": 45.0, "j-100003": 8.0}


async def case(record, trouble):
    here = site.Site(record, site.hobart_settings(), site.HOBART_TYPES)
    specs, broken = {}, []
    try:
        workers = [Worker(here, f"n-{k:06}", "thylacine", "sandybay", 0.6, specs, lambda spec: RUN_S[spec["id"]])
                   for k in range(1 if trouble else 8)]
        record.write(f"cloud: {len(workers)} machines of 32 cores, and no more to give")
        await here.start()
        for worker in workers:
            await worker.start()
        leader = await here.leader()
        followers = [name for name in here.NAMES if name != leader]
        record.write(f"leader: {leader}")
        users = [site.User(here, name) for name in followers]

        async def submit(spec):
            specs[spec["id"]] = spec
            status, answer = await users[0].persist("POST", "/api/jobs", spec)
            if status not in (200, 201):
                raise site.CannotRun(f"not accepted: {spec['id']} {status} {answer}")

        def running_since(job_id):
            """Since when a task of the job runs without a break, by the workers."""
            times = [task["since"] for worker in workers for (piece, _), task in worker.tasks.items()
                     if piece.startswith(job_id + "/") and task["status"] == "running"]
            return min(times) if times else None

        await submit(site.job("j-100001", crew="clientcare", pieces=4, urgency="normal", guess_s=110.0, standby=False))

        async def runs():
            return running_since("j-100001") is not None
        await here.until(runs, 30, "the ordinary job runs")
        pipeline = {"crew": "frontcounter", "urgency": "normal", "jobclass": CLASS, "standby": False}
        await submit(site.job("j-100002", pieces=200, guess_s=45.0, **pipeline))
        await submit(site.job("j-100003", pieces=3, guess_s=8.0, due_s=130.0, waits_on=["j-100002"], **pipeline))

        end = time.monotonic() + WATCH_S
        while time.monotonic() < end:
            for user in users:
                since, asked = running_since("j-100001"), time.monotonic()
                status, answer = await user.call("GET", "/api/jobs/j-100001", wait_s=2.0)
                if since is None or running_since("j-100001") != since or asked - since <= LAG_S:
                    continue  # it did not run all the time
                if status == 200 and answer["status"] == "queued":
                    broken.append(f"status: j-100001 is called queued (no task runs) at {user.name}, while {len(workers)} machine(s) "
                                  f"have run its tasks for {asked - since:.1f} s without a break; the state may lag by {LAG_S:.0f} s")
            await asyncio.sleep(1.0)
        return broken
    finally:
        here.stop()


if __name__ == "__main__":
    site.run(case, HERE)
