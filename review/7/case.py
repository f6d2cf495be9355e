"""Machines that start again can't read the list past an entry of another writer."""

import collections
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins_2 import *  # noqa: E402,F403

RATE_PER_ENTRY = 15.0
FOREIGN_AT, FINAL_FAULT_AT, DOWN_S = 12.0, 14.0, 1.3  # closing = kill_all
RECOVERY_S, JUDGED_S = 12.0, 10.0
# An entry of another writer: bytes that can't be read, under a key with blanks. With 1 MB it fills
# a page of the list, so that the next page starts after its key.
FOREIGN_KEY, FOREIGN = "servers/a batch job 7", b"\x00\xff" * 524_288
PAGE_BYTES = 1_000_000


class PagingStore(Store):
    """Ends a page of a list at 500 items or at about 1 MB."""

    async def answer(self, path, query):
        status, body = await super().answer(path, query)
        if path == "/chalkcart/kv-range":
            items, size = [], 0
            for item in body["items"]:
                if size >= PAGE_BYTES:
                    body["more"] = True
                    break
                items.append(item)
                size += len(item["Value"]) * 3 // 4
            body["items"] = items
        return status, body


async def post(entry, record, results, began):
    request_id, sent = new_id(), time.monotonic() - began
    try:
        ip, port = entry.front.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(request("/desk/x", request_id, 1500, b"p" * 600))
        head = await asyncio.wait_for(read_head(reader), 4)
        status = head[0].split(" ")[1] if head else "closed"
        if head:
            await asyncio.wait_for(read_body(reader, head[1]), 4)
        writer.close()
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as e:
        status = type(e).__name__
    record.write(f"{entry.name} {request_id} sent at {sent:.2f}: {status}")
    results.append((sent, status))


async def clients(entry, record, results, began, end_at):
    tasks = []
    while time.monotonic() - began < end_at:
        tasks.append(asyncio.create_task(post(entry, record, results, began)))
        await asyncio.sleep(random.expovariate(RATE_PER_ENTRY))
    await asyncio.gather(*tasks)


async def case(tmp, record, trouble, machines):
    store = PagingStore()
    await store.start()
    engines = [Backend(store, record, "advance-desk") for _ in range(4)]
    for engine in engines:
        await engine.start()
    routes = [route("advance-post", "/desk/", "unsafe", "advance-desk", 1500, aim_ms=150)]
    store.put("op/config", configuration(1, routes, [plain_service("advance-desk")]))
    for number in (1, 2):
        machines.append(Machine(store, tmp, "ingress", f"front-{number}"))
        machines[-1].start()
    for machine in machines:
        await machine.wait_ready()
    began, results = time.monotonic(), []
    back_at = FINAL_FAULT_AT + DOWN_S
    end_at = back_at + RECOVERY_S + JUDGED_S

    async def operate():
        async def until(at):
            await asyncio.sleep(max(0.0, at - (time.monotonic() - began)))

        await until(FOREIGN_AT)
        if trouble:
            store.put(FOREIGN_KEY, FOREIGN)
            record.write(f"another writer puts {FOREIGN_KEY!r}: {len(FOREIGN)} bytes")
        await until(FINAL_FAULT_AT)
        for machine in machines:
            record.write(f"{machine.name} says ready: {await machine.is_ready()}; it is killed")
            machine.kill()
        await until(back_at)
        for machine in machines:
            machine.start()
        record.write("the machines are back")

    traffic = [clients(machine, record, results, began, end_at) for machine in machines]
    await asyncio.gather(operate(), *traffic)
    for machine in machines:
        if machine.process.poll() is not None:
            raise CannotRun(f"{machine.name} has ended")
        record.write(f"{machine.name} runs and says ready: {await machine.is_ready()}")

    def share(low, high):
        statuses = collections.Counter(status for sent, status in results if low <= sent < high)
        return statuses["200"] / max(1, sum(statuses.values())), dict(statuses)

    before, counts_before = share(0.0, FINAL_FAULT_AT)
    after, counts_after = share(back_at + RECOVERY_S, end_at)
    text = (f"served before the final fault: {before:.2f} ({counts_before}); of those sent later than "
            f"{RECOVERY_S:.0f} s after the machines were back: {after:.2f} ({counts_after})")
    record.write(text)
    say(text)
    return [f"RECOVER: {text}"] if before >= 0.25 and after < 0.25 else []


run_case(HERE, case)
