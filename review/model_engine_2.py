"""A stand-in for model engines that hold adapters."""

from standins_2 import *  # noqa: F403

MODEL = "m0"
STEP_S = 0.021  # an event of a stream holds 2 tokens
TOKENS_PER_S = 19_200
ADAPTER_LOAD_S = 0.25
MAX_PENDING = 4


class Run:
    def __init__(self, request_id, adapter, tokens, key):
        self.id, self.adapter, self.tokens, self.key = request_id, adapter, tokens, key
        # the version that it begins on, or None if it was declined before
        self.begun = asyncio.get_running_loop().create_future()
        self.events = 0


class ModelEngine(Backend):
    """A sound engine: prompts are read one after the other, the most urgent first; a request begins
    with its first token; a replacement waits for its runs, and what has not begun gets 503."""

    def __init__(self, store, record, service, adapters, newest, slots=64):
        super().__init__(store, record, service, slots=slots)
        self.adapters = dict(adapters)  # name: version held
        self.newest = newest  # name: version in the weight store
        self.pending = {}  # name: version on its way
        self.waiting, self.running = [], []
        self.begun = []  # (time, request id, adapter, version)
        self.requests = self.orders = 0
        self.arrived = asyncio.Event()

    async def start(self):
        await super().start()
        self.tasks = [asyncio.create_task(self.read_prompts())]

    def models(self):
        held = [f"{name}@{version}" for name, version in sorted(self.adapters.items())]
        return [{"Name": MODEL, "Version": 1, "Adapters": held}]

    def publish(self, state):
        self.seq += 1
        self.store.put(f"servers/{self.id}", {
            "Service": self.service, "Address": self.address, "Zone": "zone-a", "Version": "v1",
            "Slots": self.slots, "State": state, "ColdLeftMs": 0, "Seq": self.seq,
            "Stage": "both", "Models": self.models()})

    def report(self):
        runs = [[run.id, run.tokens, run.events, 5] for run in self.running + self.waiting]
        return {"Stage": "both", "Models": self.models(), "Busy": False, "Seq": self.orders,
                "Queued": 0, "Running": len(runs), "KvUsed": 1000, "KvTotal": 250_000, "Handles": 0,
                "Pending": [f"{MODEL}/{n}@{v}" for n, v in self.pending.items()], "Runs": runs}

    async def read_prompts(self):
        while True:
            if not self.waiting:
                self.arrived.clear()
                await self.arrived.wait()
                continue
            run = min(self.waiting, key=lambda run: run.key)
            left = run.tokens / TOKENS_PER_S
            while left > 0 and run in self.waiting:
                step = min(left, 0.02)
                await asyncio.sleep(step)
                left -= step
            if run not in self.waiting:
                continue  # its client left, or a replacement was ordered
            self.waiting.remove(run)
            self.running.append(run)
            version = self.adapters[run.adapter]
            self.begun.append((time.monotonic(), run.id, run.adapter, version))
            self.record.write(f"{self.id} begins {run.id} on {run.adapter}@{version}")
            run.begun.set_result(version)

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                line, headers = head
                body = await read_body(reader, headers)
                path = line.split(" ")[1]
                if path == "/chalkcart/report":
                    data = json.dumps(self.report()).encode()
                    writer.write(response("200 OK", data, [("Content-Type", "application/json")]))
                elif path == "/chalkcart/order":
                    writer.write(response(self.order(headers, json.loads(body))))
                elif path == "/health":
                    writer.write(response("200 OK", b"", [("Chalkcart-Instance-Id", self.id)]))
                else:
                    await self.generate(headers, reader, writer)
                    return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def order(self, headers, order):
        name = order.get("Adapter")
        answer = self.order_answer(headers, order, name)
        self.record.write(f"{self.id} is ordered to {order['Operation']} {name}: {answer}")
        return answer

    def order_answer(self, headers, order, name):
        if headers.get("chalkcart-expect-instance") != self.id:
            return "421 Misdirected Request"
        if order.get("ExpectedCount") not in (None, self.orders):
            return "409 Conflict"
        if order["Operation"] == "unload":
            if any(run.adapter == name for run in self.running + self.waiting):
                return "409 Conflict"
            self.orders += 1
            self.adapters.pop(name, None)
            self.publish("ready")
            return "200 OK"
        if self.adapters.get(name) == self.newest[name]:
            return "200 OK"
        if name in self.pending or len(self.pending) >= MAX_PENDING:
            return "409 Conflict"
        self.orders += 1
        self.pending[name] = self.newest[name]
        for run in [run for run in self.waiting if run.adapter == name]:
            self.waiting.remove(run)
            run.begun.set_result(None)
        self.tasks.append(asyncio.create_task(self.load(name)))
        return "202 Accepted"

    async def load(self, name):
        await asyncio.sleep(ADAPTER_LOAD_S)
        while any(run.adapter == name for run in self.running):
            await asyncio.sleep(0.01)
        self.adapters[name] = self.pending.pop(name)
        self.record.write(f"{self.id} holds {name}@{self.adapters[name]}")
        self.publish("ready")

    async def generate(self, headers, reader, writer):
        request_id = headers["chalkcart-request-id"]
        adapter = headers["chalkcart-model"].partition("/")[2]
        expected = headers.get("chalkcart-expect-version")

        def decline(status):
            writer.write(response(status, b"", [
                ("Chalkcart-Request-Id", request_id), ("Chalkcart-Not-Run", "1"),
                ("Chalkcart-Instance-Id", self.id)]))

        if headers.get("chalkcart-expect-instance") != self.id or adapter not in self.adapters:
            return decline("421 Misdirected Request")
        if adapter in self.pending or len(self.running) + len(self.waiting) >= self.slots + 192:
            return decline("503 Service Unavailable")
        if expected and int(expected) != self.adapters[adapter]:
            return decline("421 Misdirected Request")
        tokens_in, tokens_out = map(int, headers["chalkcart-token-usage"].split(","))
        self.requests += 1
        key = int(headers.get("chalkcart-request-urgency", 5)), self.requests
        run = Run(request_id, adapter, tokens_in, key)
        self.waiting.append(run)
        self.arrived.set()
        gone = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait([run.begun, gone], return_when=asyncio.FIRST_COMPLETED)
            if not run.begun.done():
                return
            version = run.begun.result()
            if version is None:
                return decline("503 Service Unavailable")
            writer.write((
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"Transfer-Encoding: chunked\r\nChalkcart-Request-Id: {request_id}\r\n"
                f"Chalkcart-Response-Stamp: s-{request_id}\r\n"
                f"Chalkcart-Weight-Versions: {version}\r\n\r\n").encode())
            for number in range(1, tokens_out // 2 + 1):
                event = f"id: {number}\ndata: {adapter}@{version} {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                run.events = number
                await writer.drain()
                if gone.done():
                    return
                await asyncio.sleep(STEP_S)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            for runs in (self.waiting, self.running):
                if run in runs:
                    runs.remove(run)
            gone.cancel()
            if run.begun.done() and run.begun.result() is not None:
                self.record.write(f"{self.id} ends {request_id}")


def engine_service(name):
    return {"Name": name, "HealthPath": "/health", "MaxConns": 360, "Engine": {
        "Slots": 64, "KvCapacity": 250_000, "WeightsMb": 44_000, "LoadsPerS": 2.8,
        "AdapterSlots": 21, "Models": [{"Name": MODEL, "WeightsMb": 42_700, "AdapterMb": 12,
                                        "LoadTimeS": 1.3, "Adapters": 3000}]}}
