"""Stand-ins of the platform's store, of engines, of a plain service and of clients, as PROTOCOL.md
describes them, and the start of the project's own processes. Standard library only."""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ZONE, REGION, HOST = "posta", "dar", "ficu95.example"
MODEL = "daka510000"
ENGINES, PLAIN = "huvo11a", "wuno96b"
HEARTBEAT_S = 1.2

BOUNDS = {
    "SeedLagS": 3, "AddrReuseS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchupS": 4,
    "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250, "SkewMaxMs": 5000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10,
    "BudgetExtra": 54, "RecoveryS": 12, "PassMs": 120, "RetryAfterS": 0, "EnforceFencing": True,
    "LeaseMs": 3000, "ThawSlackMs": 300, "CeilingWindowS": 5, "CeilingOverage": 1.1,
    "version_ms": 5000,
}


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, file):
        self.started = time.monotonic()
        self.file = open(file, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()


# The ports that the processes of a case listen on, each at the address of its machine.
PORTS = [7380, 8080, 8141, 8142, 8144, 8145, 8149, 9464]
HOSTS = [1, 10, 30, 31, 32, 40, 41, 42, 43, 44]


def is_free(ip, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def net_prefix():
    """A loopback network on which all ports of a case are free."""
    for _ in range(50):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        if all(is_free(f"{net}.{host}", port) for host in HOSTS for port in PORTS):
            return net
    raise OSError("no loopback network with free ports")


# ---- HTTP/1.1

async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader):
    first, headers = await read_head(reader)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return first, headers, body
            body += part[:-2]
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


def response(status, headers=(), body=b"", length=True):
    reason = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone",
              412: "Precondition Failed", 421: "Misdirected Request", 500: "Error",
              503: "Service Unavailable", 400: "Bad Request", 504: "Gateway Timeout"}
    lines = [f"HTTP/1.1 {status} {reason.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """Serves one request at a time on each connection."""

    def __init__(self):
        self.server = None
        self.writers = set()
        self.tasks = set()

    async def listen(self, ip, port):
        self.ip, self.port = ip, port
        self.server = await asyncio.start_server(self.serve, ip, port, limit=1 << 20)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                if not await self.answer(method, target, headers, body, reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    def end(self):
        """Ends at once, as a process that is killed: nothing listens and connections are reset."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock:
                linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
                try:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                except OSError:
                    pass
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()


# ---- the store

class Store(Server):
    def __init__(self):
        super().__init__()
        self.items, self.history, self.revision = {}, [], 0
        self.changed = asyncio.Event()

    def put(self, key, value):
        """Writes an item; the return is the store's acknowledgement."""
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        item = {"Key": key, "Value": text, "Revision": self.revision, "made": self.revision,
                "lease": 0}
        self.items[key] = item
        self.history.append(item)
        self.wake()

    def delete(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self.history.append({"Key": key, "Revision": self.revision, "gone": True})
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, method, target, headers, body, reader, writer):
        path, _, query = target.partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        prefix, after = fields.get("PathPrefix", ""), fields.get("after", "")
        await asyncio.sleep(0.004)
        if path == "/chalkcart/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = {"items": [self.items[k] for k in keys[:50]], "more": len(keys) > 50,
                    "at": self.revision}
        elif path == "/chalkcart/kv-watch":
            until = time.monotonic() + int(fields.get("WaitMs", "0")) / 1000
            while True:
                events = [e for e in self.history
                          if e["Revision"] > int(after) and e["Key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            page = {"events": events, "at": self.revision}
        else:
            writer.write(response(404))
            return True
        data = json.dumps(page).encode()
        writer.write(response(200, [("Content-Type", "application/json")], data))
        await writer.drain()
        return True


# ---- back ends

class PlainServer(Server):
    """A server of a plain service: runs a request for `work_s` and answers."""

    def __init__(self, store, record, zone=ZONE, work_s=0.03, slots=6):
        super().__init__()
        self.id = f"i-{random.getrandbits(40):010x}"
        self.store, self.record, self.zone = store, record, zone
        self.work_s, self.slots, self.seq = work_s, slots, 0
        self.runs = []  # request id, time of arrival, whether it ended well
        self.beating = None

    def entry(self, state="ready"):
        return {"Service": PLAIN, "Address": f"{self.ip}:{self.port}", "Zone": self.zone,
                "Version": "v1", "Slots": self.slots, "State": state, "ColdLeftMs": 0,
                "Seq": self.seq}

    def register(self):
        self.store.put(f"servers/{self.id}", self.entry())

    def unregister(self):
        self.store.delete(f"servers/{self.id}")

    async def answer(self, method, target, headers, body, reader, writer):
        if target == "/health":
            writer.write(response(200, [("Chalkcart-Instance-Id", self.id)]))
            return True
        request = headers.get("chalkcart-request-id", "")
        if headers.get("chalkcart-expect-instance", self.id) != self.id:
            writer.write(response(421, [("Chalkcart-Instance-Id", self.id)]))
            return True
        run = {"id": request, "at": self.record.now(), "whole": False}
        self.runs.append(run)
        self.record.line(f"server {self.id} runs {request}")
        await asyncio.sleep(self.work_s)
        run["whole"] = True
        head = [("Chalkcart-Request-Id", request), ("Chalkcart-Response-Stamp", "s." + self.id)]
        writer.write(response(200, head, b"done " + request.encode()))
        await writer.drain()
        return True


class ModelEngine(Server):
    """A model engine with adapters. `slow_orders` is how many times as long it takes over orders
    (`srv_grey` slow); its health check, its report and its runs stay as they are."""

    ORDER_S, ADAPTER_S, PREFILL_S, EVENT_S = 0.08, 0.25, 0.076, 0.021

    def __init__(self, store, record, adapters, adapter_slots=21, zone=ZONE, events=86):
        super().__init__()
        self.id = f"i-{random.getrandbits(40):010x}"
        self.store, self.record, self.zone = store, record, zone
        self.held = {name: 1 for name in adapters}
        self.pending, self.runs, self.seq, self.orders = {}, {}, 0, 0
        self.slow_orders, self.on_order = 1, None
        self.adapter_slots, self.events = adapter_slots, events
        self.newest = {}
        self.over_limit, self.fence, self.has_fallen = [], 0, False
        self.begun = []
        # how many answers it still spoils (`garble`), each after so many events
        self.spoils, self.spoils_after = 0, 20
        # whether it drops a run once the connection closes, as most engines do
        self.drops = True
        self.intervals = []  # request id, begin and end of each run
        # orders are carried out one at a time, and prompts are read one after the other
        self.ordering, self.reading = asyncio.Lock(), asyncio.Lock()

    def models(self):
        held = [f"{name}@{version}" for name, version in sorted(self.held.items())]
        return [{"Name": MODEL, "Version": 1, "Adapters": held}]

    def register(self, state="ready"):
        self.store.put(f"servers/{self.id}", {
            "Service": ENGINES, "Address": f"{self.ip}:{self.port}", "Zone": self.zone,
            "Version": "v1", "Slots": 64, "State": state, "ColdLeftMs": 0, "Stage": "both",
            "Models": self.models(), "Seq": self.seq})

    def unregister(self):
        self.store.delete(f"servers/{self.id}")

    async def answer(self, method, target, headers, body, reader, writer):
        if target == "/health":
            writer.write(response(200, [("Chalkcart-Instance-Id", self.id)]))
            return True
        if target.startswith("/chalkcart/report"):
            report = {"Stage": "both", "Models": self.models(), "Busy": False, "Seq": self.seq,
                      "Pending": [f"{MODEL}/{n}@{v}" for n, v in sorted(self.pending.items())],
                      "Queued": 0, "Running": len(self.runs), "KvUsed": 1500 * len(self.runs),
                      "KvTotal": 131025, "Handles": 0, "State": "ready",
                      "Runs": [[r, 1500, e, 5] for r, e in self.runs.items()]}
            data = json.dumps(report).encode()
            writer.write(response(200, [("Content-Type", "application/json")], data))
            return True
        if headers.get("chalkcart-expect-instance", self.id) != self.id:
            writer.write(response(421, [("Chalkcart-Instance-Id", self.id)]))
            return True
        if target == "/chalkcart/order":
            return await self.order(json.loads(body), writer)
        return await self.run(headers, writer)

    async def order(self, order, writer):
        name, operation = order.get("Adapter"), order["Operation"]
        self.orders += 1
        if self.on_order:
            self.on_order(self)
        self.record.line(f"engine {self.id} gets the order {operation} {name}")
        # takes the order, even if its sender has gone meanwhile
        taken = asyncio.get_running_loop().create_task(self.take(order))
        self.tasks.add(taken)
        status = await asyncio.shield(taken)
        writer.write(response(status, [("Chalkcart-Instance-Id", self.id)]))
        await writer.drain()
        return True

    async def take(self, order):
        async with self.ordering:
            await asyncio.sleep(self.ORDER_S * self.slow_orders)
        name, operation = order.get("Adapter"), order["Operation"]
        if order["FencingToken"] < self.fence:
            return 412
        self.fence = order["FencingToken"]
        if "ExpectedCount" in order and order["ExpectedCount"] != self.seq:
            return 409
        if name is None:
            return 200
        if operation == "unload":
            if name not in self.held:
                return 400
            self.seq += 1
            del self.held[name]
            self.record.line(f"engine {self.id} unloads {name}: {self.taken()} places taken")
            return 200
        newest = self.newest.get(name, 1)
        if self.held.get(name) == newest or name in self.pending:
            return 200
        is_new = name not in self.held
        if is_new and self.taken() >= self.adapter_slots:
            self.over_limit.append(name)
            self.record.line(f"engine {self.id} is ordered to load {name} beyond its "
                             f"{self.adapter_slots} AdapterSlots, with {len(self.runs)} runs: "
                             "it falls")
            self.has_fallen = True
            self.end()
            return 500
        self.seq += 1
        self.pending[name] = newest
        self.record.line(f"engine {self.id} takes the order to load {name}: "
                         f"{self.taken()} places taken")
        asyncio.get_running_loop().call_later(self.ADAPTER_S, self.loaded, name)
        return 202

    def loaded(self, name):
        if name in self.pending:
            self.held[name] = self.pending.pop(name)

    def taken(self):
        return len(self.held) + sum(1 for name in self.pending if name not in self.held)

    async def run(self, headers, writer):
        request = headers.get("chalkcart-request-id", "")
        model, _, adapter = headers.get("chalkcart-model", "").partition("/")
        version = headers.get("chalkcart-expect-version")
        held = self.held.get(adapter)
        if adapter and (held is None or version not in (None, str(held))):
            self.record.line(f"engine {self.id} declines {request} (421): {adapter} is {held}, "
                             f"{version} is expected")
            writer.write(response(421, [("Chalkcart-Instance-Id", self.id)]))
            return True
        self.runs[request] = 0
        self.record.line(f"engine {self.id} admits {request} ({adapter}@{held})")
        try:
            async with self.reading:
                await asyncio.sleep(self.PREFILL_S)
            self.begun.append((self.record.now(), request, adapter, held))
            self.record.line(f"engine {self.id} begins {request} ({adapter}@{held})")
            head = [("Chalkcart-Request-Id", request),
                    ("Chalkcart-Response-Stamp", "s." + self.id),
                    ("Chalkcart-Weight-Versions", str(held or 1)),
                    ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
            writer.write(response(200, head, length=False))
            begun, is_spoilt = self.record.now(), False
            interval = [request, begun, None]
            self.intervals.append(interval)
            last = headers.get("last-event-id")
            for number in range(int(last) + 1 if last else 1, self.events + 1):
                if self.spoils > 0 and number > self.spoils_after and not is_spoilt:
                    is_spoilt = True
                    self.spoils -= 1
                    self.record.line(f"engine {self.id} spoils its answer to {request}")
                    writer.write(b"@@@ no answer @@@\r\n")
                if is_spoilt and not self.drops:
                    self.runs[request] = number
                    interval[2] = self.record.now()
                    await asyncio.sleep(self.EVENT_S)
                    continue
                interval[2] = self.record.now()
                event = f"id: {number}\ndata: piece {number} of {request}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                self.runs[request] = number
                await asyncio.sleep(self.EVENT_S)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.runs.pop(request, None)
        return True


# ---- settings and processes of the project

def platform_fields(name, role, machine_class, ip, store, listen, app=None):
    fields = {
        "NodeName": name, "Role": role, "MachineClass": machine_class,
        "Serves": ["front", "control"] if machine_class == "front" else ["side"],
        "Ip": ip, "Zone": ZONE, "Region": REGION, "Zones": {ZONE: REGION},
        "Listen": listen, "PortRange": [7380, 7395], "Seeds": [], "Bootstrap": True,
        "FaultCounted": False,
        "Limits": {"CpuShare": 0.19, "Cores": 1, "MemoryMb": 260, "MaxFds": 4100,
                   "LinkMbps": 1000.0, "DiskMb": 0},
        "DataDir": None, "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1200,
        "Contracts": ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream",
                      "engine", "platform"],
        "FaultTolerance": {"Machines": 2, "Zones": 0, "Regions": 0}, "Bounds": BOUNDS,
        "Provider": {"Address": store, "form": "read", "writes_per_s": 400, "reads_per_s": 2000,
                     "HistoryS": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
    }
    if app:
        fields["app"], fields["Service"] = app, ENGINES
    return {"platform": fields}


class Processes:
    """The project's processes, started with the commands of the deploy file."""

    all = []

    def __init__(self):
        self.folder = tempfile.mkdtemp(prefix="chalkcart-review-")
        self.started = []
        Processes.all.append(self)

    def start(self, name, command, settings):
        file = os.path.join(self.folder, name + ".json")
        with open(file, "w", encoding="utf-8") as out:
            json.dump(settings, out)
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "CHALKCART_CONFIG": file}
        process = subprocess.Popen(command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                   stdout=log, stderr=log)
        self.started.append(process)
        return process

    def ingress(self, name, ip, store):
        listen = {"Front": f"{ip}:8149", "Readiness": f"{ip}:8141", "Control": f"{ip}:8144"}
        settings = platform_fields(name, "ingress", "front", ip, store, listen)
        return self.start(name, ["target/release/chalkcart", "ingress"], settings)

    def sidecar(self, name, ip, store, app):
        settings = platform_fields(name, "sidecar", "side", ip, store, {}, app)
        return self.start(name, ["target/release/chalkcart-sidecar", "--place"], settings)

    def end(self):
        for process in self.started:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.started:
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def config(version, adapter_slots=21, timeout_ms=15000):
    return {
        "Version": version,
        "Routes": [
            {"Name": "r-stream", "Host": HOST, "PathPrefix": "/lohu930/", "Kind": "stream",
             "TimeoutMs": timeout_ms, "TargetLatencyMs": 1000, "Priority": 1, "Service": ENGINES,
             "MaxAttempts": 1, "Sticky": True, "Resumable": False, "TargetGapMs": 250},
            {"Name": "r-unsafe", "Host": HOST, "PathPrefix": "/puxa403/", "Kind": "unsafe",
             "TimeoutMs": 1500, "TargetLatencyMs": 150, "Priority": 2, "Service": PLAIN,
             "MaxAttempts": 1},
            {"Name": "r-safe", "Host": HOST, "PathPrefix": "/cufi504/", "Kind": "safe",
             "TimeoutMs": 1500, "TargetLatencyMs": 150, "Priority": 2, "Service": PLAIN,
             "MaxAttempts": 2},
        ],
        "Services": [
            {"Name": ENGINES, "HealthPath": "/health", "MaxConns": 360, "Protocol": "h1",
             "Tls": False,
             "Engine": {"Slots": 64, "KvCapacity": 131025, "KvTokenBytes": 163840,
                        "HostMb": 130000.0, "DiskMb": 390000.0, "WeightsMb": 45000.0,
                        "AdapterSlots": adapter_slots, "LoadsPerS": 3.3,
                        "Models": [{"Name": MODEL, "WeightsMb": 42700.0, "LoadTimeS": 0.6,
                                    "Adapters": 3000, "AdapterMb": 66.0, "WarmupS": 0.89,
                                    "DiskS": 1.2}]}},
            {"Name": PLAIN, "HealthPath": "/health", "MaxConns": 100, "Protocol": "h1",
             "Tls": False},
        ],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000},
    }


# ---- clients

async def ready(ip, port=8141):
    try:
        reader, writer = await asyncio.open_connection(ip, port)
        writer.write(b"GET /chalkcart/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        first, _ = await asyncio.wait_for(read_head(reader), 1)
        writer.close()
        return " 200 " in first + " "
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return False


async def wait_ready(ip, limit_s=15):
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        if await ready(ip):
            return True
        await asyncio.sleep(0.1)
    return False


async def ask(ip, method, target, deadline_ms, headers=(), body=b"", request=None, limit_s=None):
    """One client attempt on a new connection: (request id, status or None, headers, body, whole)."""
    request = request or f"{random.getrandbits(64):016x}"
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"Chalkcart-Request-Id: {request}",
             f"Chalkcart-Deadline-Ms: {deadline_ms}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    status, got, data = None, {}, b""
    writer = None
    try:
        reader, writer = await asyncio.open_connection(ip, 8149)
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        limit = limit_s or deadline_ms / 1000 + 1

        async def read():
            nonlocal status, got, data
            first, got = await read_head(reader)
            status = int(first.split(" ")[1])
            if got.get("transfer-encoding", "").lower() == "chunked":
                while True:
                    size = int((await reader.readline()).strip(), 16)
                    part = await reader.readexactly(size + 2)
                    if size == 0:
                        return
                    data += part[:-2]
            else:
                data = await reader.readexactly(int(got.get("content-length", "0")))

        await asyncio.wait_for(read(), limit)
        whole = True
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        whole = False
    finally:
        if writer:
            writer.close()
    return request, status, got, data, whole


def finish(processes, servers, code):
    for server in servers:
        server.end()
    processes.end()
    sys.stdout.flush()
    os._exit(code)


def give_up(*_):
    """Ends all processes; the case couldn't run."""
    for processes in Processes.all:
        processes.end()
    sys.stdout.flush()
    os._exit(2)


def run(main):
    """Runs a case, which ends by `finish`."""
    signal.signal(signal.SIGTERM, give_up)
    signal.signal(signal.SIGINT, give_up)
    try:
        asyncio.run(main())
    except BaseException:  # a fault of the script must not look like a broken rule
        traceback.print_exc()
    give_up()
