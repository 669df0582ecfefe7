"""Pipelines of hobart-visa-desk-next are cancelled at the moment at which the state service refuses the leader alone; a second
later it is down for all, for longer than cancel_s. After that users ask about the last job of each pipeline."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import site_stand as site  # noqa: E402
from workers import Worker  # noqa: E402

PIPELINES = 8
OUTAGE_S = 42.0  # longer than cancel_s, 40 s
ASK_S = 12.0     # how long users ask after the outage


def pipeline(number):
    """The site's `lodgement`: passportscan; three photochecks and a formfill that need it; slotclaim, which needs those."""
    scan, *middle, form, claim = (f"j-{100000 + 10 * number + k}" for k in range(6))
    small = {"crew": "frontcounter", "cores": 2.0, "ram_gb": 3.2}
    checks = [site.job(name, jobclass="photocheck", pieces=24, guess_s=25.0, waits_on=[scan], **small) for name in middle]
    return [site.job(scan, jobclass="passportscan", crew="frontcounter", pieces=6, ram_gb=1.6, image_gb=1.0, guess_s=50.0),
            *checks,
            site.job(form, jobclass="formfill", shape="gang", urgency="normal", pieces=2, one_zone=True, bookmark_s=20.0,
                     stash_s=4.0, guess_s=20.0, waits_on=[scan], **dict(small, standby=False)),
            site.job(claim, jobclass="slotclaim", crew="frontcounter", urgency="urgent", pieces=3, ram_gb=1.6, guess_s=8.0,
                     due_s=300.0, waits_on=[*middle, form])]


async def case(record, trouble):
    here = site.Site(record, site.hobart_settings(), site.HOBART_TYPES)
    specs, broken, cancel_s = {}, [], here.settings["workers"]["cancel_s"]
    try:
        workers = [Worker(here, f"n-00000{k}", "thylacine", "sandybay", 0.6, specs, lambda spec: 50.0) for k in range(2)]
        await here.start()
        for worker in workers:
            await worker.start()
        leader = await here.leader()
        followers = [name for name in here.NAMES if name != leader]
        record.write(f"leader: {leader}")
        users = [site.User(here, followers[number % 2]) for number in range(PIPELINES)]
        pipelines = [pipeline(number) for number in range(PIPELINES)]

        async def submit(user, jobs):
            for spec in jobs:
                specs[spec["id"]] = spec
                status, _ = await user.persist("POST", "/api/jobs", spec)
                if status not in (200, 201):
                    raise site.CannotRun(f"not accepted: {spec['id']} {status}")
        await asyncio.gather(*(submit(user, jobs) for user, jobs in zip(users, pipelines)))
        await asyncio.sleep(4)

        # The cancellations, within the second in which the leader alone is refused.
        if trouble:
            record.write(f"state service: refuses {leader} alone")
            here.state.refused.add(leader)
        refused_at = time.monotonic()
        told = {}

        async def cancel(user, jobs):
            status, answer = await user.call("POST", f"/api/jobs/{jobs[0]['id']}/abort")
            if status == 200 and answer["status"] == "aborted":
                told[jobs[0]["id"]] = time.monotonic()
        await asyncio.gather(*(cancel(user, jobs) for user, jobs in zip(users, pipelines)))
        await asyncio.sleep(max(0.0, refused_at + 1 - time.monotonic()))
        if not told:
            raise site.CannotRun("no cancellation was confirmed within the second")
        if trouble:
            record.write("state service: out for all")
            here.state.begin_outage()
        await asyncio.sleep(OUTAGE_S)
        if trouble:
            here.state.refused.clear()
            here.state.end_outage()
            record.write("state service: serves all again")

        async def ask(user, jobs):
            if jobs[0]["id"] not in told:
                return
            last, end = jobs[-1]["id"], time.monotonic() + ASK_S
            while time.monotonic() < end:
                asked = time.monotonic()
                status, answer = await user.call("GET", f"/api/jobs/{last}", wait_s=2.0)
                late_s = asked - told[jobs[0]["id"]]
                if status == 200 and answer["status"] in ("queued", "running") and late_s > cancel_s:
                    broken.append(f"orphaned: {last} is called {answer['status']} at {user.name} {late_s:.1f} s after the user was "
                                  f"told that {jobs[0]['id']} before it is cancelled (cancel_s {cancel_s:.0f})")
                if status == 200 and answer["status"] == "aborted":
                    return
                await asyncio.sleep(0.25)
        await asyncio.gather(*(ask(site.User(here, name), jobs) for jobs in pipelines for name in followers))
        if here.ended_processes():
            broken.append(f"ended by themselves: {here.ended_processes()}")
        return broken
    finally:
        here.stop()


if __name__ == "__main__":
    site.run(case, HERE)
