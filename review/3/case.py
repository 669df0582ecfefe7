"""The state service answers slowly for 80 s. A job that waits on 100 others, nearly all of them done, is asked about at a controller
that does not lead. Every poll for it is refused, while polls for other jobs on the same controller are answered."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import site_stand as site  # noqa: E402
from workers import Worker  # noqa: E402

SLOW_S, FACTOR = 80.0, 30.0  # the site's state_slow: factor = 30.0, for_s = 80.0
NEEDS = 100
FORGOTTEN_S = 90.0
POLL_S, POLL_WAIT_S = 5.0, 2.0


def fleet_settings():
    """hobart-visa-desk-fleet."""
    return site.hobart_settings(
        workers={"report_s": 4.0, "lease_s": 22.0, "gang_wait_s": 35.0, "gang_peer_s": 4.0, "cancel_s": 52.0},
        state={"rps": 900.0, "write_rps": 60.0, "value_kb": 8.0, "txn_ops": 8}, cloud={"rps": 10.0, "list_lag_s": 3.0},
        limits={"cpu_share": 0.28, "memory_mb": 188.0, "fd_limit": 2426})


async def case(record, trouble):
    here = site.Site(record, fleet_settings(), site.HOBART_TYPES)
    specs, polls = {}, {}
    try:
        workers = [Worker(here, f"n-{k:06}", "thylacine", "sandybay", 0.6, specs, lambda spec: 0.5) for k in range(4)]
        await here.start()
        for worker in workers:
            await worker.start()
        leader = await here.leader()
        other = next(name for name in here.NAMES if name != leader)
        record.write(f"leader: {leader}; users ask at {other}")

        async def submit(user, spec):
            specs[spec["id"]] = spec
            status, answer = await user.persist("POST", "/api/jobs", spec)
            if status not in (200, 201):
                raise site.CannotRun(f"not accepted: {spec['id']} {status} {answer}")

        third = next(name for name in here.NAMES if name not in (leader, other))

        async def submit_all(name, ids):
            user = site.User(here, name)
            for job_id in ids:
                await submit(user, site.job(job_id, urgency="urgent", image_gb=0.1, standby=False))
        before = [f"j-{200000 + k}" for k in range(NEEDS - 1)]
        await asyncio.gather(*(submit_all((leader, third)[k % 2], before[k::10]) for k in range(10)))
        user = site.User(here, leader)
        waiting = site.job("j-290001", urgency="urgent", hulls=["quoll"], standby=False)  # no such machine is up
        await submit(user, waiting)
        await submit(user, site.job("j-290000", shape="service", urgency="urgent", guess_s=0.0, standby=False))
        await submit(user, site.job("j-300000", waits_on=before + [waiting["id"]], standby=False))

        async def all_done():
            return all("end/" + job_id in here.state.keys for job_id in before)
        await here.until(all_done, 20, "the jobs before it are done")
        record.write(f"{len(before)} of the {NEEDS} jobs before j-300000 are done")

        began = time.monotonic()

        async def poll(job_id):
            asker, polls[job_id] = site.User(here, other), []
            while time.monotonic() < began + FORGOTTEN_S + 0.5:
                sent = time.monotonic()
                status, _ = await asker.call("GET", f"/api/jobs/{job_id}", wait_s=POLL_WAIT_S)
                polls[job_id].append((sent, time.monotonic(), status))
                if job_id == "j-300000" and status in (200, 404):
                    return
                await asyncio.sleep(max(0.0, sent + POLL_S - time.monotonic()))

        async def slow_spell():
            here.state.latency_s = here.latency_s * FACTOR
            record.write(f"state service: answers take {here.state.latency_s:.2f} s")
            await asyncio.sleep(SLOW_S)
            here.state.latency_s = here.latency_s
            record.write("state service: fast again")
        spell = asyncio.create_task(slow_spell()) if trouble else None
        others = [asyncio.create_task(poll(job_id)) for job_id in ("j-290000", "j-290001")]
        await poll("j-300000")
        for task in others:
            task.cancel()
        if spell:
            spell.cancel()

        mine = polls["j-300000"]
        span_s = mine[-1][1] - mine[0][0]
        rest = [status for job_id, one in polls.items() if job_id != "j-300000" for _, _, status in one]
        answered = sum(status in (200, 404) for status in rest)
        record.write(f"j-300000: {len(mine)} polls in {span_s:.1f} s, {sum(one[2] == 200 for one in mine)} answered; "
                     f"others: {answered} of {len(rest)} answered")
        if mine[-1][2] == 404:
            return ["forgotten: the accepted job j-300000 gets 404"]
        if all(one[2] != 200 for one in mine) and span_s >= FORGOTTEN_S and 2 * answered > len(rest):
            return [f"forgotten: every one of {len(mine)} polls for j-300000 fails for {span_s:.0f} s, while {answered} of "
                    f"{len(rest)} others are answered"]
        return []
    finally:
        here.stop()


if __name__ == "__main__":
    site.run(case, HERE)
