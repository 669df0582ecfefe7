"""A small deployment on loopback: three controllers started with the run command of the deploy file, the stand-ins for what is
outside, and a record of what was sent, answered and run."""
import asyncio
import json
import os
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

from http11 import Client
from outside import Cloud, StateService

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class CannotRun(Exception):
    pass


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Record:
    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")


class Site:
    NAMES = ["roost-0", "roost-1", "roost-2"]

    def __init__(self, record, settings, types, machines=(), latency_s=0.006):
        self.record, self.settings, self.latency_s = record, settings, latency_s
        self.cloud = Cloud(types, machines)
        self.cloud.record = record
        state = settings["state"]
        self.state = StateService(state["rps"], state["write_rps"], state["value_kb"], state["txn_ops"], latency_s)
        self.processes = {}
        self.gangs = {}  # (job, try) -> piece -> (worker, task) that has its image
        _sites.append(self)
        self.folder = tempfile.mkdtemp(prefix="loftrouter-review-")
        ports = free_ports(6)
        self.api = dict(zip(self.NAMES, ports[:3]))
        self.peer = dict(zip(self.NAMES, ports[3:]))

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as file:
            self.command = shlex.split(tomllib.load(file)["run"])
        if not os.access(os.path.join(ROOT, self.command[0]), os.X_OK):
            raise CannotRun("the program is not built: " + self.command[0])
        await self.state.start(self.NAMES)
        await self.cloud.start()
        for name in self.NAMES:
            self._write_settings(name)
            self.start_controller(name)
        await self.until(self.all_up, 30, "controllers are up")

    def _write_settings(self, name):
        settings = {
            "node_name": name, "site": "sandybay", "api_addr": f"127.0.0.1:{self.api[name]}",
            "peer_listen": f"127.0.0.1:{self.peer[name]}",
            "siblings": [{"node_name": other, "site": "sandybay", "address": f"127.0.0.1:{self.peer[other]}"}
                         for other in self.NAMES if other != name],
            "outside": {"cloud": f"127.0.0.1:{self.cloud.port}", "state": f"127.0.0.1:{self.state.ports[name]}"},
            "settings": self.settings}
        with open(self._settings_path(name), "w") as file:
            json.dump(settings, file)

    def _settings_path(self, name):
        return os.path.join(self.folder, name + ".json")

    def start_controller(self, name):
        log = open(os.path.join(self.folder, name + ".log"), "a")
        self.processes[name] = subprocess.Popen(self.command + [self._settings_path(name)], cwd=ROOT, stderr=log,
                                                stdout=log, env=dict(os.environ, LOG_LEVEL="info"))
        self.record.write(f"platform: {name} started")

    def stop(self):
        for process in self.processes.values():
            process.kill()
            process.wait()
        if os.environ.get("KEEP"):
            print("kept " + self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def ended_processes(self):
        return [name for name, process in self.processes.items() if process.poll() is not None]

    async def until(self, condition, limit_s, what):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await condition():
                return
            await asyncio.sleep(0.2)
        raise CannotRun("not in time: " + what)

    async def all_up(self):
        for name in self.NAMES:
            status, _ = await Client(self.api[name]).call("GET", "/up", wait_s=1)
            if status != 200:
                return False
        return await self.leader() is not None

    async def leader(self):
        """The holder of the leader key in the state service."""
        entry = self.state.keys.get("leader")
        for name in self.NAMES if entry else []:
            if name in json.dumps(entry[0]):
                return name
        return None


class User:
    """Asks one controller on a connection that it keeps open, as a connection through the load balancer does."""

    def __init__(self, site, name, label=""):
        self.site, self.name, self.client = site, name, Client(site.api[name])
        self.label = label

    async def call(self, method, target, value=None, wait_s=5.0):
        sent = self.site.record.now()
        status, answer = await self.client.call(method, target, value, wait_s)
        shown = "" if value is None else f" waits_on={value.get('waits_on')}"
        self.site.record.write(f"user at {self.name}: {method} {target}{shown} sent {sent:.3f} -> {status} {answer}")
        return status, answer

    async def persist(self, method, target, value=None, within_s=60.0):
        """Repeats a submission or a cancellation until it is answered, as PROTOCOL says."""
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            job = "" if value is None else " " + value["id"]
            status, answer = await self.call(method, target + "", value)
            if status in (200, 201, 400, 404, 422):
                return status, answer
            await asyncio.sleep(1.05)
        return status, answer


def job(job_id, **fields):
    spec = {"id": job_id, "jobclass": "letterbatch", "crew": "backoffice", "shape": "array", "urgency": "low", "pieces": 1,
            "cores": 1.0, "cards": 0.0, "ram_gb": 1.4, "bundle": "img-07", "image_gb": 0.5, "hulls": None, "yard": None,
            "one_zone": False, "apart": False, "standby": True, "guess_s": 30.0, "bookmark_s": 0.0, "stash_s": 0.0,
            "due_s": None}
    spec.update(fields)
    return spec


def hobart_settings(**changes):
    """The settings of hobart-visa-desk (BRIEF, DEPLOY); the limits of the state service are the site's own."""
    settings = {
        "size": 3, "zones": ["glenorchy", "sandybay"],
        "teams": [{"name": name, "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}
                  for name in ("frontcounter", "backoffice", "clientcare")],
        "objectives": [{"kind": "deadline", "class": "letterbatch", "share": 0.88, "times": 1.0}],
        "workers": {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 35.0, "gang_peer_s": 4.0, "cancel_s": 40.0},
        "state": {"rps": 250.0, "write_rps": 15.0, "value_kb": 8.0, "txn_ops": 8},
        "cloud": {"rps": 5.0, "list_lag_s": 3.0},
        "limits": {"cpu_share": 0.08, "memory_mb": 56.0, "fd_limit": 700}, "time_bound_ms": 5.0}
    settings.update(changes)
    return settings


HOBART_TYPES = [
    {"sku": "wombat", "cores": 4.0, "cards": 0.0, "ram_gb": 8.0, "local_gb": 60.0, "pull_gb_per_s": 0.8, "rate": 0.26,
     "spot_price": 0.06, "startup_s": 30.0, "yards": ["sandybay", "glenorchy"]},
    {"sku": "quoll", "cores": 8.0, "cards": 0.0, "ram_gb": 32.0, "local_gb": 40.0, "pull_gb_per_s": 1.0, "rate": 0.59,
     "spot_price": 0.14, "startup_s": 50.0, "yards": ["sandybay", "glenorchy"]},
    {"sku": "thylacine", "cores": 32.0, "cards": 0.0, "ram_gb": 256.0, "local_gb": 25.0, "pull_gb_per_s": 0.6,
     "rate": 2.48, "spot_price": 0.58, "startup_s": 25.0, "yards": ["sandybay", "glenorchy"]}]


LIMIT_S = 119.0  # of a run
_sites = []


def _finish(record, text, code):
    """Ends all that the run started, then the run itself, whatever coroutines are still under way."""
    for one in _sites:
        one.stop()
    record.write(text)
    print(text, flush=True)
    os._exit(code)


def run(case, folder):
    """Runs `case(record, trouble)`, a coroutine that returns the list of broken rules, and exits with 1, 0 or 2."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {trouble}")
    late = threading.Timer(LIMIT_S, lambda: _finish(record, "cannot run: not over in time", 2))
    late.daemon = True
    late.start()
    for one in (signal.SIGTERM, signal.SIGINT):
        signal.signal(one, lambda *_: _finish(record, "cannot run: ended from outside", 2))

    async def whole():
        try:
            broken = await case(record, trouble)
        except Exception as problem:  # of the stand-ins or the machine, not of the programs under test
            _finish(record, f"cannot run: {problem!r}", 2)
        for text in broken:
            record.write("BROKEN " + text)
        _finish(record, f"broken: {broken[0]}" if broken else "held", 1 if broken else 0)
    asyncio.run(whole())
