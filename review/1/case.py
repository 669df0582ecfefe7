"""A gang whose tasks take no cores and no memory waits while the first machine boots. The job is accepted; once it has waited for
reserve_after_s, each controller that leads stops answering for ever, and so does the next."""
import asyncio
import json
import os
import sys
import time
import urllib.request

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import site_stand as site  # noqa: E402
from workers import Worker  # noqa: E402

BOOT_S = 32.0         # 1.07 times startup_s of the type; usual are 0.6 to 1.5 times
RESERVE_AFTER_S = 8.0  # the operator's setting; 120 by default
FORGOTTEN_S = 75.0    # without any answer, once all troubles are over
POLL_S = 5.0


async def case(record, trouble):
    types = [dict(site.HOBART_TYPES[0])]  # wombat, startup_s 30
    here = site.Site(record, site.hobart_settings(), types)
    specs, answered, done = {}, {}, set()
    up = asyncio.Event()

    async def on_up(machine):
        await Worker(here, machine["box"], machine["hull"], machine["yard"], 0.8, specs, lambda spec: 5.0, machine).start()
        up.set()

    def shorten_reservation_wait(port):
        request = urllib.request.Request(f"http://127.0.0.1:{port}/admin/v1/settings", method="PUT",
                                         data=json.dumps({"reserve_after_s": RESERVE_AFTER_S}).encode())
        with urllib.request.urlopen(request, timeout=3) as answer:
            return answer.status

    async def poll(user, job_id):
        """As PROTOCOL: about every 5 s, waiting 2 s for a response."""
        while job_id not in done:
            status, answer = await user.call("GET", f"/api/jobs/{job_id}", wait_s=2.0)
            if status == 200:
                answered[job_id] = time.monotonic()
                if answer["status"] == "done":
                    done.add(job_id)
            await asyncio.sleep(POLL_S)

    try:
        here.cloud.boot_s = lambda name: BOOT_S if trouble else 1.0
        here.cloud.on_up = on_up
        await here.start()
        leader = await here.leader()
        status = await asyncio.to_thread(shorten_reservation_wait, here.api[leader])
        record.write(f"operator: reserve_after_s {RESERVE_AFTER_S:.0f} -> {status}")
        user = site.User(here, leader)
        ordinary = site.job("j-100001", crew="clientcare", urgency="normal", pieces=4, standby=False)
        empty = site.job("j-100002", shape="gang", urgency="normal", pieces=70, one_zone=True, cores=0.0, ram_gb=0.0,
                         standby=False, guess_s=5.0)
        for spec in (ordinary, empty):
            specs[spec["id"]] = spec
            status, answer = await user.persist("POST", "/api/jobs", spec)
            if status == 400 and spec is empty:
                return []  # refused as malformed: no harm done
            if status not in (200, 201):
                raise site.CannotRun(f"not accepted: {spec['id']} {status} {answer}")
            answered[spec["id"]] = time.monotonic()
        polls = [asyncio.create_task(poll(site.User(here, name), spec["id"]))
                 for spec in (ordinary, empty) for name in here.NAMES]
        await asyncio.wait_for(up.wait(), BOOT_S + 10)
        over = time.monotonic()
        record.write("the machine is up; there is no trouble any more")
        while time.monotonic() < over + FORGOTTEN_S + 3 and len(done) < 2:
            await asyncio.sleep(0.5)
            silent = [f"forgotten: no question about {job_id} is answered for {FORGOTTEN_S:.0f} s after all troubles are over"
                      for job_id, at in answered.items()
                      if job_id not in done and time.monotonic() - max(at, over) > FORGOTTEN_S]
            if silent:
                break
        running = [name for name, process in here.processes.items() if process.poll() is None]
        healthy = []
        for name in here.NAMES:
            status, _ = await site.Client(here.api[name]).call("GET", "/up", wait_s=1.0)
            healthy += [name] if status == 200 else []
        record.write(f"processes there: {running}; answer GET /up within 1 s: {healthy}; done: {sorted(done)}")
        for task in polls:
            task.cancel()
        return silent
    finally:
        here.stop()


if __name__ == "__main__":
    site.run(case, HERE)
