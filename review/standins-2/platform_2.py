"""Stand-ins for the scripts of this review: the platform's store, workers, the list of machines, and clients.

They follow PROTOCOL.md: the store with versions, partitions, a feed with history and 412/410 answers; workers with leases,
fences, numbered ends and run numbers. All of them run in one asyncio loop on loopback addresses; the system under test runs as
separate processes, started with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import unquote

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "fuchsiamilld")
TEMPLATE = os.path.join(ROOT, "deploy", "entry.ini")
KEY = "north-key"
QUEUE_HOST = "queue.example"


class CannotRun(Exception):
    """The case could not run on this machine."""


# ---- HTTP ---------------------------------------------------------------------------------------------------------------


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.headers, self.body = method, headers, body
        self.path, _, query = target.partition("?")
        pairs = (it.partition("=") for it in query.split("&") if it)
        self.query = {name: unquote(value) for name, _, value in pairs}

    def json(self):
        return json.loads(self.body or b"null")


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


def encode(status, value):
    body = b"" if value is None else json.dumps(value).encode()
    reasons = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict", 410: "Gone",
               412: "Precondition Failed", 421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}
    head = f"HTTP/1.1 {status} {reasons.get(status, 'Status')}\r\ncontent-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def serve(handler, host="127.0.0.1", port=0):
    """Serves `handler(request) -> (status, value)`; a handler that returns None leaves the request unanswered."""

    async def connection(reader, writer):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                answer = await handler(Request(method, target, headers, body))
                if answer is None:
                    await asyncio.sleep(3600)
                writer.write(encode(*answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, host, port, limit=8 * 1024 * 1024)
    return server, server.sockets[0].getsockname()


async def call(addr, method, path, headers=None, value=None, timeout=3.0):
    """Makes one call on a connection of its own. Returns (status, value); status is None without an answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*addr)
        try:
            body = b"" if value is None else json.dumps(value).encode()
            lines = [f"{method} {path} HTTP/1.1", f"host: {QUEUE_HOST}", f"content-length: {len(body)}"]
            if value is not None:
                lines.append("content-type: application/json")
            lines += [f"{name}: {text}" for name, text in (headers or {}).items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            first, _, answer = await read_message(reader)
            return int(first.split(" ")[1]), (json.loads(answer) if answer[:1] in (b"{", b"[") else None)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None, None


# ---- the record ---------------------------------------------------------------------------------------------------------


class Record:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


# ---- the store ----------------------------------------------------------------------------------------------------------


class Store:
    ANSWER_S = 0.004
    TX_S = 0.008
    MOST_ROWS = 500
    MOST_BYTES = 1_000_000

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.log = []
        self.version = 0
        self.forgotten = 0
        self.busy = {}
        self.began = time.monotonic()
        self.changed = asyncio.Condition()
        self.slow_s = 0.0
        self.on_tx = None
        self.is_mute = False

    def now_ms(self):
        return int((time.monotonic() - self.began) * 1000)

    async def wake(self):
        async with self.changed:
            self.changed.notify_all()

    def write(self, key, value):
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = (value, self.version)
        self.log.append((self.version, key, value))

    async def put(self, table, key, value):
        """Writes a row as the operator or a worker does."""
        self.version += 1
        text = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
        self.write((table, "", key), text)
        await self.wake()

    def value(self, table, part, key):
        row = self.rows.get((table, part, key))
        return None if row is None else json.loads(base64.b64decode(row[0]))

    async def forget_history(self):
        """Feeds hear nothing for a second, then the history is discarded: whoever follows from an older version is told 410."""
        self.is_mute = True
        await asyncio.sleep(1.0)
        self.is_mute = False
        self.log.clear()
        self.forgotten = self.version
        self.record.note(f"store: the history before version {self.version} is discarded")
        await self.wake()

    async def handle(self, request):
        await asyncio.sleep(self.ANSWER_S + self.slow_s)
        match request.path:
            case "/rows-tx":
                return await self.transaction(request)
            case "/rows-get":
                return self.get(request.query)
            case "/rows-feed":
                return await self.feed(request.query)
            case "/rows-parts":
                parts = sorted({it[1] for it in self.rows if it[0] == request.query.get("table", "")})
                after = request.query.get("after", "")
                parts = [it for it in parts if it > after or not after]
                return 200, {"parts": parts[:1000], "has_more": len(parts) > 1000, "ver": self.version, "now_ms": self.now_ms()}
            case _:
                return 404, None

    def row(self, key):
        value, version = self.rows[key]
        return {"table": key[0], "part": key[1], "key": key[2], "value": value, "ver": version}

    async def transaction(self, request):
        tx = request.json()
        of = lambda name: [((it.get("table", ""), it.get("part", ""), it.get("key", "")), it) for it in tx.get(name) or []]
        expected, puts, drops = of("expected_rev"), of("set_keys"), of("remove")
        keys = [it[0] for it in expected + puts + drops]
        if len(keys) > 100 or len(request.body) > self.MOST_BYTES:
            return 400, None
        if any(it[0] in ("op", "servers") for it in [key for key, _ in puts + drops]):
            return 403, None
        if len({it[1] for it in keys}) > 1:
            return 400, None
        if any(len(base64.b64decode(it["value"])) > 65_536 for _, it in puts):
            return 400, None
        part = keys[0][1] if keys else ""
        now = time.monotonic()
        begin = max(now, self.busy.get(part, now))
        if begin - now > 1.0:
            return 429, None
        self.busy[part] = begin + 1 / 150
        await asyncio.sleep(begin - now + self.TX_S)
        if any((self.rows[key][1] if key in self.rows else 0) != it["ver"] for key, it in expected):
            found = [self.row(key) for key, _ in expected if key in self.rows]
            return 412, {"rows": found, "ver": self.version, "now_ms": self.now_ms()}
        self.version += 1
        for key, it in puts:
            self.write(key, it["value"])
        for key, _ in drops:
            self.write(key, None)
        if self.on_tx:
            self.on_tx(puts, drops)
        answer = 200, {"ver": self.version, "now_ms": self.now_ms()}
        await self.wake()
        return answer

    def get(self, query):
        table, part, first = query.get("table", ""), query.get("part", ""), query.get("from", "")
        last = query.get("to")
        keys = sorted(key for key in self.rows
                      if key[0] == table and key[1] == part and key[2] >= first and (last is None or key[2] < last))
        most = min(int(query.get("limit", self.MOST_ROWS)), self.MOST_ROWS)
        rows, size = [], 0
        for key in keys[:most]:
            size += len(self.rows[key][0]) + 200
            if rows and size > self.MOST_BYTES:
                break
            rows.append(self.row(key))
        return 200, {"rows": rows, "has_more": len(rows) < len(keys), "ver": self.version, "now_ms": self.now_ms()}

    async def feed(self, query):
        table, after = query.get("table", ""), int(query.get("after", 0))
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            if self.is_mute:
                await asyncio.sleep(0.005)
                continue
            if after < self.forgotten:
                return 410, None
            found = []
            for version, key, value in reversed(self.log):
                if version <= after:
                    break
                if key[0] == table:
                    found.append((version, key, value))
            left = until - time.monotonic()
            if found or left <= 0:
                rows = []
                for version, key, value in reversed(found):
                    row = {"table": key[0], "part": key[1], "key": key[2], "ver": version}
                    row.update({"removed": True} if value is None else {"value": value})
                    rows.append(row)
                return 200, {"rows": rows, "has_more": False, "ver": self.version, "now_ms": self.now_ms()}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


# ---- workers ------------------------------------------------------------------------------------------------------------


class Runs:
    """Every run of every task, as the workers saw it, and what breaks TWICE among them."""

    def __init__(self, record):
        self.record = record
        self.by_task = {}
        self.broken = []

    def began(self, worker, task, run):
        for it in self.by_task.get(task, []):
            if it["ended"] is None:
                self.broken.append(f"{task}: run {run} began on {worker.id} while run {it['run']} is at work on {it['worker']}")
            elif it["how"] == "done" and it["noted"] is not None:
                self.broken.append(
                    f"{task}: run {run} began on {worker.id} {time.monotonic() - it['ended']:.1f} s after run {it['run']}"
                    f" ended done on {it['worker']}, and {time.monotonic() - it['noted']:.1f} s after that end was taken note of")
        it = {"worker": worker.id, "run": run, "began": time.monotonic(), "ended": None, "how": None, "noted": None, "excused": False}
        self.by_task.setdefault(task, []).append(it)
        self.record.note(f"run: {task} run {run} began on {worker.id}")
        return it

    def ended(self, it, task, how):
        it["ended"], it["how"] = time.monotonic(), how
        self.record.note(f"run: {task} run {it['run']} ended {how} on {it['worker']}")


class Worker:
    """One machine with one life of an executor. Stops take STOP_S; a lease is at most HOLD_MAX_S."""

    HOLD_MAX_MS = 10_000
    STOP_S = 0.1

    def __init__(self, runs, store, name, pool, zone, rack):
        self.runs, self.store = runs, store
        self.id, self.pool, self.zone, self.rack = name, pool, zone, rack
        self.born = int(time.time() * 1000)
        self.boot = time.monotonic()
        self.fence = 0
        self.deadline = 0
        self.running = {}
        self.ends = []
        self.next_end = 1
        self.highest = {}
        self.changed = asyncio.Condition()
        self.addr = None
        self.seq = 0
        self.capacity = {"cpu": 16_000, "mem_mb": 65_536, "gpu": 0}

    def clock_ms(self):
        return int((time.monotonic() - self.boot) * 1000)

    async def start(self):
        _, self.addr = await serve(self.handle)
        asyncio.ensure_future(self.look_after_leases())
        asyncio.ensure_future(self.beat())

    async def beat(self):
        while True:
            self.seq += 1
            await self.store.put("servers", self.id, {
                "service": self.pool, "address": f"{self.addr[0]}:{self.addr[1]}", "zone": self.zone, "version": "v1",
                "slots": 8, "state": "ready", "cold_remaining_ms": 0, "seq": self.seq, "born": self.born,
                "capacity": self.capacity, "labels": ["a", self.rack]})
            await asyncio.sleep(1.5)

    async def look_after_leases(self):
        while True:
            await asyncio.sleep(0.02)
            if self.clock_ms() > self.deadline:
                # The rule excuses ends that were listed before the lease lapsed and are taken note of after it.
                for *_, it in self.ends:
                    it["excused"] = True
                for task in list(self.running):
                    await self.end(task, "lapsed")

    async def end(self, task, how):
        entry = self.running.pop(task, None)
        if entry is None:
            return
        it, timer = entry
        if timer is not None and timer is not asyncio.current_task():
            timer.cancel()
        self.runs.ended(it, task, how)
        self.highest[task] = max(self.highest.get(task, 0), it["run"])
        self.ends.append((self.next_end, task, it["run"], how, it))
        self.next_end += 1
        async with self.changed:
            self.changed.notify_all()

    async def work(self, task, seconds, how):
        await asyncio.sleep(seconds)
        await self.end(task, how)

    async def handle(self, request):
        if request.headers.get("x-fuchsiamill-expect-instance", self.id) != self.id:
            return 421, None
        body = request.json()
        fence = body.get("fence_token", 0)
        if fence < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = fence
        if "deadline_ms" in body and request.path in ("/hold", "/run-start"):
            self.deadline = max(self.deadline, min(body["deadline_ms"], self.clock_ms() + self.HOLD_MAX_MS))
        match request.path:
            case "/run-start":
                return self.begin(body)
            case "/run-stop":
                task, run = body["task"], body["run"]
                self.highest[task] = max(self.highest.get(task, 0), run)
                if task in self.running and self.running[task][0]["run"] <= run:
                    asyncio.ensure_future(self.work(task, self.STOP_S, "stopped"))
                return 200, {"clock_ms": self.clock_ms()}
            case "/hold":
                return await self.hold(body)
            case "/pace":
                return 200, {"clock_ms": self.clock_ms()}
            case _:
                return 404, None

    def begin(self, body):
        task, run = body["task"], body["run"]
        answer = {"clock_ms": self.clock_ms()}
        if task in self.running and self.running[task][0]["run"] == run:
            return 200, answer
        if run <= self.highest.get(task, 0):
            return 409, {**answer, "reason": "old"}
        if body["deadline_ms"] < self.clock_ms():
            return 409, {**answer, "reason": "late"}
        # A start doesn't carry the request's sizes, so the jobs of these scripts tell them in their text, too.
        spec = json.loads(body["spec"])
        used = [sum(it["spec"][size] for it, _ in self.running.values()) for size in ("cpu", "mem_mb")]
        if used[0] + spec["cpu"] > self.capacity["cpu"] or used[1] + spec["mem_mb"] > self.capacity["mem_mb"]:
            return 409, {**answer, "reason": "room"}
        it = self.runs.began(self, task, run)
        it["spec"] = spec
        timer = None
        if not spec.get("lasts"):
            timer = asyncio.ensure_future(self.work(task, spec["ms"] / 1000, "done"))
        self.running[task] = (it, timer)
        return 200, answer

    async def hold(self, body):
        seen = body.get("seen_upto", 0)
        for number, _, _, _, it in self.ends:
            if number <= seen and it["noted"] is None and not it["excused"]:
                it["noted"] = time.monotonic()
        self.ends = [it for it in self.ends if it[0] > seen]
        until = time.monotonic() + min(body.get("wait_ms", 0), 2_000) / 1000
        while not self.ends and (left := until - time.monotonic()) > 0:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        running = [[task, it["run"], "", 100, 0] for task, (it, _) in self.running.items()]
        ended = [[number, task, run, how, ""] for number, task, run, how, _ in self.ends[:500]]
        return 200, {"clock_ms": self.clock_ms(), "born": self.born, "running": running, "ended": ended}


class Machines:
    """The list of machines. No wave and no move is asked for in these cases, and no pool is spare."""

    def __init__(self, workers):
        self.workers = workers

    async def handle(self, request):
        if request.path != "/machines":
            return 409, {"reason": "busy"}
        rows = [{"machine": f"m-{it.id}", "pool": it.pool, "state": "up", "zone": it.zone, "labels": ["a", it.rack],
                 "capacity": it.capacity, "id": it.id} for it in self.workers]
        return 200, {"machines": rows, "next_token": None}


# ---- the system under test ----------------------------------------------------------------------------------------------


def free_ip():
    """A loopback address of this run's own, on which the ports of the deploy file are free."""
    for _ in range(100):
        ip = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
        try:
            for port in (8340, 8343, 7000, 7009):
                with socket.socket() as it:
                    it.bind((ip, port))
            return ip
        except OSError:
            continue
    raise CannotRun("no loopback address with free ports")


class Entry:
    """One entry host: the deploy file's command with the deploy file's template."""

    def __init__(self, folder, number, zone, store, hosts, bounds):
        self.name, self.ip = f"front-{zone}-{number}", free_ip()
        self.front, self.ready = (self.ip, 8340), (self.ip, 8343)
        values = {
            "node": self.name, "ip": self.ip, "listen.front": f"{self.ip}:8340", "listen.ready": f"{self.ip}:8343",
            "port_range.0": 7000, "platform.address": f"{store[0]}:{store[1]}", "cloud.address": f"{hosts[0]}:{hosts[1]}",
            "advice": "", "platform.row_bytes": 65_536, "limits.cpu_share": 0.25, "limits.cores": 1,
            "limits.link_mbps": 1000.0, **{f"bounds.{name}": value for name, value in bounds.items()}}
        with open(TEMPLATE) as it:
            text = it.read()
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", str(value))
        if "{{" in text:
            raise CannotRun("the template of the deploy file has a field that this stand-in does not know")
        self.settings = os.path.join(folder, self.name + ".ini")
        with open(self.settings, "w") as it:
            it.write(text)
        self.log = os.path.join(folder, self.name + ".log")
        self.process = None

    def start(self):
        self.process = subprocess.Popen([PROGRAM, "--config", self.settings], stdout=open(self.log, "a"),
                                        stderr=subprocess.STDOUT, cwd=ROOT, env={"PATH": os.environ.get("PATH", "")})

    def signal(self, number):
        self.process.send_signal(number)

    def memory_mb(self):
        """The memory of the process in MB; 0 if it isn't there."""
        try:
            with open(f"/proc/{self.process.pid}/status") as it:
                rows = [line.split() for line in it if line.startswith("VmRSS")]
            return int(rows[0][1]) / 1024 if rows else 0
        except OSError:
            return 0

    async def keep_within(self, memory_mb, record, ends):
        """Does what the platform does: ends the process once it is over its memory, and restarts a process that has ended."""
        while True:
            await asyncio.sleep(0.02)
            if self.memory_mb() > memory_mb:
                record.note(f"platform: {self.name} has {self.memory_mb():.0f} MB, over its {memory_mb}: killed")
                ends.append(self.name)
                self.process.kill()
            if self.process.poll() is not None:
                await asyncio.sleep(0.5)
                self.start()

    async def is_ready(self):
        return (await call(self.ready, "GET", "/ready", timeout=1.0))[0] == 200


# The figures of the sheet of the small deployment ruiyuan-rota.
BOUNDS = {"hold_max_ms": 10_000, "move_s": 1.5, "upkeep_s": 2, "lease_ms": 3_000, "cancel_ms": 3_000,
          "fencing_required": "false", "grace_s": 6, "far_x": 1.5, "status_s": 120}


class Site:
    """Entry hosts, workers and the platform of one small deployment."""

    def __init__(self, folder, bounds=None):
        self.record = Record(folder)
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.temporary = tempfile.TemporaryDirectory(prefix="review-2-")
        self.store = Store(self.record)
        self.runs = Runs(self.record)
        self.workers, self.entries = [], []

    async def start(self, entries=3, workers=9, pool="swapdesk", manifest=None, others=0, other_pool="parentline"):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("the program is not built: run the build of the deploy file")
        _, self.store_addr = await serve(self.store.handle)
        _, self.hosts_addr = await serve(Machines(self.workers).handle)
        for number in range(workers):
            zone = f"zone-{'abc'[number % 3]}"
            service = pool if number < workers - others else other_pool
            worker = Worker(self.runs, self.store, f"w{number:02}-{random.getrandbits(32):08x}", service, zone, f"r{number // 4}")
            self.workers.append(worker)
            await worker.start()
        await self.store.put("op", "config", manifest or self.manifest(1, pool))
        for number in range(entries):
            zone = f"zone-{'abc'[number % 3]}"
            self.entries.append(Entry(self.temporary.name, number, zone, self.store_addr, self.hosts_addr, self.bounds))
        for it in self.entries:
            it.start()
        until = time.monotonic() + 10
        while not all([await it.is_ready() for it in self.entries]):
            if time.monotonic() > until:
                raise CannotRun("the entry hosts did not become ready")
            await asyncio.sleep(0.1)
        self.record.note(f"{entries} entry hosts are ready")

    @staticmethod
    def manifest(version, pool, routes=(("swap", False),), tenants=(("north", KEY),)):
        """A manifest with these routes, each public or not and to the service named last or `pool`, and tenants with a key each."""
        pools = {pool, *(it[2] for it in routes if len(it) > 2)}
        route = lambda name, public, service=pool: {
            "name": name, "host": QUEUE_HOST, "path_prefix": f"/{name}/", "service": service, "kind": "non_idempotent",
            "timeout_ms": 3_000, "target_duration_ms": 600, "priority": 0, "max_attempts": 3, "stretch": 1.6, "public": public}
        tenant = lambda name, key: {
            "name": name, "api_keys": [key], "weight": 100, "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0}}
        return {
            "version": version,
            "routes": [route(*it) for it in routes],
            "services": [{"name": it, "rejects_overload": True, "spare": False} for it in sorted(pools)],
            "limits": {"max_header_bytes": 16_384, "max_body_bytes": 262_144},
            "tenants": [tenant(*it) for it in tenants]}

    async def client(self, method, job, value=None, entry=None, queue="swap", key=KEY):
        """One call of a client about a job, at any entry host; without a key where `key` is None."""
        entry = entry or random.choice(self.entries)
        headers = {"x-fuchsiamill-request-deadline": "3000", **({"x-api-key": key} if key else {})}
        status, answer = await call(entry.front, method, f"/{queue}/{job}", headers, value)
        who = f"with key {key}" if key else "without a key"
        self.record.note(f"client {who}: {method} /{queue}/{job} at {entry.name}: {status} {answer or ''}".rstrip())
        return status, answer

    @staticmethod
    def job(ms, count=4, lasts=False, padding=0):
        """A job of one step, with a text of so many further bytes."""
        step = {"count": count, "cpu": 900, "mem_mb": 256, "estimate_ms": ms, **({"long_running": True} if lasts else {})}
        spec = {"ms": ms, "lasts": lasts, "cpu": step["cpu"], "mem_mb": step["mem_mb"], "text": "x" * padding}
        return {"spec": json.dumps(spec), "steps": [step]}

    async def post(self, ms, count=4, padding=0):
        """Hands a new job in, with repeats as a client makes them, until it is accepted. Returns its id, or None."""
        job = f"{random.getrandbits(64):016x}"
        value = self.job(ms, count, padding=padding)
        for _ in range(4):
            status, _ = await self.client("POST", job, value)
            if status is not None and 200 <= status < 300:
                return job
            await asyncio.sleep(0.3)
        return None

    def leader(self):
        lease = self.store.value("coordinator", "", "lease")
        return next((it for it in self.entries if lease and lease["holder"] == it.name), None)

    def stop(self):
        for it in self.entries:
            if it.process and it.process.poll() is None:
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()
                it.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for it in self.entries:
                os.system(f"cp {it.log} {keep}/")
        self.temporary.cleanup()


def run(folder, case, limit_s=115):
    """Runs `case(site_class, trouble) -> list of broken rules`, and exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(case(folder, trouble), limit_s))
    except CannotRun as e:
        print(f"cannot run: {e}")
        sys.exit(2)
    except asyncio.TimeoutError:
        print("cannot run: the case took too long")
        sys.exit(2)
    for it in broken[:10]:
        print(it)
    print(f"broken {len(broken)} times" if broken else "held")
    sys.exit(1 if broken else 0)
