"""Stand-ins for the state service and the cloud, after PROTOCOL, on loopback addresses. Each controller gets a port of its
own at the state service, so that it can be refused alone."""
import asyncio
import json
import time
from urllib.parse import parse_qs, urlsplit

from http11 import Server


class Bucket:
    """Allows `rate` units a second, with bursts of one second's worth."""

    def __init__(self, rate, burst=None):
        self.rate = self.level = rate
        self.burst = burst or rate
        self.level = self.burst
        self.at = time.monotonic()

    def take(self, count=1):
        now = time.monotonic()
        self.level = min(self.burst, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < count:
            return False
        self.level -= count
        return True


class StateService:
    def __init__(self, rps, write_rps, value_kb, txn_ops, latency_s):
        self.value_kb, self.txn_ops, self.latency_s = value_kb, txn_ops, latency_s
        self.requests, self.changes = Bucket(rps), Bucket(write_rps)
        self.keys = {}  # key -> [value, stamp, permit]
        self.epoch = 1
        self.history = []  # (stamp, key, event)
        self.leases = {}  # id -> [ttl, ends]
        self.next_lease = 0
        self.refused = set()  # names of controllers that get 503
        self.outage = False
        self.changed = asyncio.Condition()
        self.ports = {}
        self.ticker = None

    async def start(self, names):
        for name in names:
            server = Server(lambda method, target, body, name=name: self.handle(name, method, target, body))
            self.ports[name] = await server.start()
        self.ticker = asyncio.create_task(self._tick())

    def refuses(self, name):
        return self.outage or name in self.refused

    def begin_outage(self):
        self.outage = True

    def end_outage(self):
        """Every lease has its full time again."""
        self.outage = False
        for lease in self.leases.values():
            lease[1] = time.monotonic() + lease[0]

    async def _tick(self):
        while True:
            await asyncio.sleep(0.02)
            if self.outage:
                continue
            now = time.monotonic()
            for permit in [permit for permit, lease in self.leases.items() if now >= lease[1]]:
                await self._end_lease(permit)

    async def _end_lease(self, permit):
        self.leases.pop(permit, None)
        gone = [key for key, entry in self.keys.items() if entry[2] == permit]
        if gone:
            self.epoch += 1
            for key in gone:
                self._drop(key)
            await self._notify()

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    def _set(self, key, value, permit):
        self.keys[key] = [value, self.epoch, permit]
        self._remember(key, {"set": key, "v": value, "stamp": self.epoch})

    def _drop(self, key):
        self.keys.pop(key, None)
        self._remember(key, {"drop": key, "stamp": self.epoch})

    def _remember(self, key, event):
        self.history.append((self.epoch, key, event))
        del self.history[:-10000]

    async def handle(self, name, method, target, body):
        await asyncio.sleep(self.latency_s)
        if self.refuses(name):
            return 503, {"error": "trouble"}
        if not self.requests.take():
            return 429, {"error": "rate"}
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if parts.path == "/store":
            return self._list(query)
        if parts.path.startswith("/store/"):
            entry = self.keys.get(parts.path[7:])
            if not entry:
                return 404, {"epoch": self.epoch}
            return 200, {"k": parts.path[7:], "v": entry[0], "stamp": entry[1], "permit": entry[2]}
        if parts.path == "/commit":
            return await self._commit(body)
        if parts.path == "/follow":
            return await self._follow(name, query)
        if parts.path == "/leases":
            self.next_lease += 1
            self.leases[self.next_lease] = [body["ttl_ms"] / 1000, time.monotonic() + body["ttl_ms"] / 1000]
            return 200, {"permit": self.next_lease}
        if parts.path.startswith("/leases/"):
            permit = int(parts.path.split("/")[2])
            if permit not in self.leases:
                return 404, {}
            if method == "DELETE":
                await self._end_lease(permit)
            else:
                self.leases[permit][1] = time.monotonic() + self.leases[permit][0]
            return 200, {}
        return 400, {"error": "no such path"}

    def _list(self, query):
        prefix, after, most = query.get("under", ""), query.get("from", ""), min(1000, int(query.get("most", "1000")))
        entries, size = [], 0
        for key in sorted(self.keys):
            if not key.startswith(prefix) or (after and key <= after):
                continue
            value, stamp, _ = self.keys[key]
            size += len(json.dumps(value)) + len(key)
            if len(entries) >= most or size > 512 * 1024:
                return 200, {"entries": entries, "truncated": True, "epoch": self.epoch}
            entries.append({"k": key, "v": value, "stamp": stamp})
        return 200, {"entries": entries, "truncated": False, "epoch": self.epoch}

    async def _commit(self, body):
        guards, writes = body.get("guards") or [], body.get("writes") or []
        if len(writes) > self.txn_ops or len(guards) > 4 * self.txn_ops:
            return 400, {"error": "too many changes or conditions"}
        for write in writes:
            if "set" in write and len(json.dumps(write["v"], separators=(",", ":"))) > self.value_kb * 1024:
                return 400, {"error": "value too large"}
        if writes and not self.changes.take(len(writes)):
            return 429, {"error": "rate"}
        failed = [guard["k"] for guard in guards
                  if (self.keys[guard["k"]][1] if guard["k"] in self.keys else 0) != guard["stamp"]]
        if any("set" in write and write.get("permit") and write["permit"] not in self.leases for write in writes):
            return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if writes:
            self.epoch += 1
            for write in writes:
                if "set" in write:
                    self._set(write["set"], write["v"], write.get("permit") or 0)
                else:
                    self._drop(write["drop"])
            await self._notify()
        return 200, {"epoch": self.epoch}

    async def _follow(self, name, query):
        prefix, since = query.get("under", ""), int(query.get("from", "0"))
        until = time.monotonic() + min(60000, int(query.get("hold_ms", "0"))) / 1000
        if len(self.history) >= 10000 and since + 1 < self.history[0][0]:
            return 410, {"error": "too old"}
        while True:
            if not self.refuses(name):
                events = [event for stamp, key, event in self.history if stamp > since and key.startswith(prefix)]
                if events or time.monotonic() >= until:
                    return 200, {"epoch": self.epoch, "events": events}
            # During an outage open watches stay open.
            wait_s = 0.05 if self.refuses(name) else max(0.001, until - time.monotonic())
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), wait_s)
            except asyncio.TimeoutError:
                pass


class Cloud:
    """Lists the machines that the case adds to `machines` and those that were rented. A rented machine comes up after
    `boot_s(name)` seconds, when `on_up(machine)` is called; None: it stays `starting`. Without `boot_s` there is no capacity."""

    def __init__(self, types, machines=()):
        self.types, self.machines, self.began = types, list(machines), time.monotonic()
        self.boot_s = self.on_up = None
        self.hired, self.next_name = {}, 100
        self.record = None

    async def start(self):
        self.port = await Server(self.handle).start()

    async def handle(self, method, target, body):
        path = urlsplit(target).path
        if path == "/machine_types":
            return 200, {"hulls": self.types}
        if path == "/machines" and method == "GET":
            after = parse_qs(urlsplit(target).query).get("from", [""])[0]
            boxes = [{"id": machine["box"], "address": machine.get("address") or "127.0.0.1:9", "hull": machine["hull"],
                      "yard": machine["yard"], "standby": machine.get("standby", False),
                      "status": machine.get("status", "running"),
                      "age_s": time.monotonic() - machine.get("since", self.began - 100.0)}
                     for machine in sorted(self.machines, key=lambda machine: machine["box"]) if machine["box"] > after]
            return 200, {"boxes": boxes, "truncated": False}
        if path == "/machines":
            return self._rent(body)
        if path == "/machines/return":
            self.machines = [machine for machine in self.machines if machine["box"] not in body.get("boxes", [])]
            self.record.write(f"cloud: returned {body.get('boxes')}")
            return 200, {}
        return 400, {"error": "malformed"}

    def _rent(self, body):
        if body["hire"] in self.hired:
            return 200, self.hired[body["hire"]]
        if not self.boot_s:
            return 503, {"error": "no capacity"}
        names = []
        for _ in range(min(50, body["number"])):
            self.next_name += 1
            name = f"n-{self.next_name:06}"
            machine = {"box": name, "hull": body["hull"], "yard": body["yard"], "standby": body["standby"],
                       "status": "starting", "since": time.monotonic()}
            self.machines.append(machine)
            names.append(name)
            asyncio.get_running_loop().create_task(self._boot(machine))
        self.hired[body["hire"]] = {"boxes": names}
        self.record.write(f"cloud: rented {names}: {body['hull']} in {body['yard']}, standby {body['standby']}")
        return 200, self.hired[body["hire"]]

    async def _boot(self, machine):
        boot_s = self.boot_s(machine["box"])
        if boot_s is None:
            return
        await asyncio.sleep(boot_s)
        if machine in self.machines:
            await self.come_up(machine)

    async def come_up(self, machine):
        self.record.write(f"cloud: {machine['box']} is up")
        machine["status"] = "running"
        await self.on_up(machine)
