"""Workers after PROTOCOL: reports, sessions, tokens, leases and orders. Gangs gather, start and complete together; what becomes
of a gang that loses a task or is stopped is left out."""
import asyncio
import random
import time

from http11 import Client, Server


class Worker:
    """`specs` holds the submitted jobs by id, `run_s(spec)` says how long a task of it runs."""

    def __init__(self, site, box, hull, yard, pull_gb_per_s, specs, run_s, machine=None):
        self.site, self.box, self.hull, self.yard = site, box, hull, yard
        self.machine = machine  # the cloud's entry, if it was rented
        self.pull, self.specs, self.run_s = pull_gb_per_s, specs, run_s
        kind = next(one for one in site.cloud.types if one["sku"] == hull)
        self.cores, self.ram_gb = kind["cores"], kind["ram_gb"]
        settings = site.settings["workers"]
        self.report_s, self.lease_s = settings["report_s"], settings["lease_s"]
        self.shift, self.tick, self.baton = 1, 0, 0
        self.tasks = {}  # (piece, try) -> {"status", "cause", "until", "spec"}
        self.images = set()
        self.node = random.choice(site.NAMES)
        self.changed = asyncio.Event()
        self.lease_from = time.monotonic()
        self.refused_reports = 0
        self.sessions_ended = 0
        self.tasks_killed = 0

    async def start(self):
        port = await Server(self._direct).start()
        self.address = f"127.0.0.1:{port}"
        if self.machine is None:
            self.machine = {"box": self.box, "hull": self.hull, "yard": self.yard}
            self.site.cloud.machines.append(self.machine)
        self.machine["address"] = self.address
        self.jobs = [asyncio.create_task(self._report_loop()), asyncio.create_task(self._clock())]

    def report(self):
        self.tick += 1
        pieces = []
        for (piece, attempt), task in self.tasks.items():
            entry = {"piece": piece, "try": attempt, "status": task["status"]}
            if task["cause"]:
                entry["cause"] = task["cause"]
            pieces.append(entry)
        return {"box": self.box, "address": self.address, "hull": self.hull, "yard": self.yard, "standby": self.machine.get("standby", False),
                "shift": self.shift, "tick": self.tick, "baton": self.baton, "warning_s": None, "pieces": pieces}

    async def _direct(self, method, target, body):
        if target == "/show":
            return 200, self.report()
        if "baton" not in body or "shift" not in body:
            return 400, {}
        if body["baton"] < self.baton or body["shift"] != self.shift:
            return 409, self.report()
        self.baton = body["baton"]
        self._execute(body.get("orders", []))
        return 200, self.report()

    def _end(self, key, cause):
        task = self.tasks[key]
        if task["on"]:
            self.site.record.write(f"worker {self.box}: {key[0]} try {key[1]} off, {cause}")
        task.update(status="exited", cause=cause, on=False)
        self.changed.set()

    def _execute(self, orders):
        for order in orders:
            key = (order["piece"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "start" and task is None:
                self._start(key)
            elif order["verb"] == "kill" and task and task["status"] != "exited":
                self._end(key, "stopped")
            elif order["verb"] == "reap" and task and task["status"] == "exited":
                del self.tasks[key]

    def _start(self, key):
        spec = self.specs.get(key[0].split("/")[0])
        task = {"status": "pulling", "cause": None, "on": False, "spec": spec, "until": time.monotonic(), "since": 0.0}
        self.tasks[key] = task
        self.changed.set()
        live = [other for other in self.tasks.values() if other["status"] != "exited" and other["spec"]]
        if spec is None:
            return self._end(key, "no_such")
        if any(other != key and other[0] == key[0] and self.tasks[other]["status"] != "exited" for other in self.tasks):
            return self._end(key, "busy")
        if (sum(other["spec"]["cores"] for other in live) > self.cores + 1e-6 or
                sum(other["spec"]["ram_gb"] for other in live) > self.ram_gb + 1e-6):
            return self._end(key, "full")
        if spec["bundle"] not in self.images:
            task["until"] += spec["image_gb"] / self.pull

    def _arrive(self, key, task, now):
        """The task has its image."""
        self.site.record.write(f"worker {self.box}: {key[0]} try {key[1]} on")
        task.update(status="running", on=True, since=now, until=now + self.run_s(task["spec"]))
        self.changed.set()
        if task["spec"]["shape"] != "gang":
            return
        task.update(status="gathering", until=now + self.site.settings["workers"]["gang_wait_s"])
        gang = self.site.gangs.setdefault((task["spec"]["id"], key[1]), {})
        gang[key[0]] = (self, task)
        if len(gang) == task["spec"]["pieces"]:
            for worker, mate in gang.values():
                mate.update(status="running", since=now, until=now + self.run_s(task["spec"]))
                worker.changed.set()

    async def _clock(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for key, task in list(self.tasks.items()):
                if task["status"] == "pulling" and now >= task["until"]:
                    self.images.add(task["spec"]["bundle"])
                    self._arrive(key, task, now)
                elif task["status"] == "gathering" and now >= task["until"]:
                    self._end(key, "alone")
                elif task["status"] == "running" and task["spec"]["shape"] != "service" and now >= task["until"]:
                    self._end(key, "done")
            if now - self.lease_from > self.lease_s:
                live = [key for key, task in self.tasks.items() if task["status"] != "exited"]
                self.site.record.write(f"worker {self.box}: lease of session {self.shift} over, {len(live)} tasks killed")
                self.sessions_ended += 1
                self.tasks_killed += len(live)
                self.tasks.clear()
                self.shift += 1
                self.lease_from = now
                self.changed.set()

    async def _report_loop(self):
        client = Client(self.site.api[self.node])
        while self.machine in self.site.cloud.machines:
            self.changed.clear()
            sent, shift = time.monotonic(), self.shift
            status, answer = await client.call("POST", "/v1/report", self.report(), 4.0)
            pause = None
            if status == 200:
                if answer.get("baton", -1) >= self.baton and shift == self.shift:
                    self.baton = answer["baton"]
                    self.lease_from = max(self.lease_from, sent)
                    self._execute(answer["orders"])
            else:
                if status != 421:
                    self.refused_reports += 1
                    self.site.record.write(f"worker {self.box}: report to {self.node} -> {status} {answer}")
                client.close()
                named = answer.get("answer_to") if status == 421 and isinstance(answer, dict) else None
                if named in self.site.api and named != self.node:
                    self.node, pause = named, random.uniform(0, 0.5)
                else:
                    self.node, pause = self.site.NAMES[(self.site.NAMES.index(self.node) + 1) % 3], 1.0
                client = Client(self.site.api[self.node])
            if pause is not None:
                await asyncio.sleep(pause)
                continue
            due = sent + self.report_s * random.uniform(0.75, 1.25)
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, due - time.monotonic()))
                await asyncio.sleep(max(0.0, sent + 0.5 - time.monotonic()))
            except asyncio.TimeoutError:
                pass
