"""An innocent request is refused with 400 for good after the store was away."""

import asyncio
import collections
import os
import random
import socket
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins_2 import *  # noqa: E402,F403

ENGINES = 5
# `answer_lost`: share 0.6 of the engines lose x = 0.4 of their answers for 4 s (how: reset)
LOSING, LOST_SHARE, LOST_S = 3, 0.4, 4.0
# `platform_down` with how = "reset lapse" for 5 s
DOWN_S = 5.0
# an entry goes after three heartbeats without a write, and is back within 2 s of the store's return
LAPSE_S, BACK_S = 3 * BEAT_MS / 1000, 1.3
CONTACT_S = 3.0
FAULTS_AT, END_AT = 6.0, 45.0
RATE_PER_ENTRY = 6.0


class DeskEngine(Backend):
    """A sound plain engine; while `loses`, some answers are lost after their run."""

    loses = False

    async def run(self, request_id, line, writer):
        if not self.loses or random.random() >= LOST_SHARE:
            return await super().run(request_id, line, writer)
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.record.write(f"{self.id} runs {request_id}: {line}; its answer is lost")
        await asyncio.sleep(self.work_s)
        reset(writer)
        raise ConnectionResetError


async def fetch(entry, record, results, began):
    request_id, sent = new_id(), time.monotonic() - began
    status, stamp = None, False
    try:
        ip, port = entry.front.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(request("/fees/table", request_id, 3000, method="GET"))
        head = await asyncio.wait_for(read_head(reader), 5)
        if head:
            await read_body(reader, head[1])
            status = int(head[0].split(" ")[1])
            stamp = "chalkcart-response-stamp" in head[1]
        writer.close()
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as e:
        status = type(e).__name__
    source = "an engine's answer" if stamp else "no engine's answer"
    record.write(f"{entry.name} {request_id} GET /fees/table sent at {sent:.2f}: {status}, {source}")
    results.append((sent, status, stamp))


async def clients(entry, record, results, began):
    tasks = []
    while time.monotonic() - began < END_AT:
        tasks.append(asyncio.create_task(fetch(entry, record, results, began)))
        await asyncio.sleep(random.expovariate(RATE_PER_ENTRY))
    await asyncio.gather(*tasks)


async def disrupt(store, engines, record, began):
    async def until(at):
        await asyncio.sleep(max(0.0, at - (time.monotonic() - began)))

    back_at = FAULTS_AT + DOWN_S
    await until(FAULTS_AT)
    store.set_down(True)
    record.write("the store is down and resets connections")
    await until(back_at + 0.2 - LOST_S)
    # the entry prefers engines in this order while they are alike
    losing = sorted(engines, key=lambda e: e.id)[:LOSING]
    for engine in losing:
        engine.loses = True
    record.write(f"{LOSING} of {ENGINES} engines lose {LOST_SHARE} of their answers")
    await until(FAULTS_AT + LAPSE_S)
    for engine in engines:
        store.delete(f"servers/{engine.id}")
    record.write("the engines' entries lapse, as they can't be written")
    await until(back_at)
    store.set_down(False)
    record.write("the store is back")
    await until(back_at + 0.2)
    for engine in engines:
        engine.loses = False
    record.write("no answers are lost any more")
    await until(back_at + BACK_S)
    for engine in engines:
        engine.publish("ready")
    record.write("the engines' entries are back; all engines were up all the while")


async def case(tmp, record, trouble, machines):
    store = Store()
    await store.start()
    engines = [DeskEngine(store, record, "advance-desk") for _ in range(ENGINES)]
    for engine in engines:
        await engine.start()
    routes = [route("fee-table", "/fees/", "safe", "advance-desk", 3000, attempts=2, aim_ms=150)]
    store.put("op/config", configuration(1, routes, [plain_service("advance-desk")]))
    for number in (1, 2, 3, 4):
        machines.append(Machine(store, tmp, "ingress", f"front-{number}"))
        machines[-1].start()
    for machine in machines:
        await machine.wait_ready()
    began, results = time.monotonic(), []
    tasks = [clients(machine, record, results, began) for machine in machines]
    if trouble:
        tasks.append(disrupt(store, engines, record, began))
    await asyncio.gather(*tasks)
    for machine in machines:
        if machine.process.poll() is not None:
            raise CannotRun(f"{machine.name} has ended")
    # in touch again: the store has been stable and no answer was lost for `ContactMs`
    in_touch_at = FAULTS_AT + DOWN_S + 0.2 + CONTACT_S
    late = [(status, stamp) for sent, status, stamp in results if sent > in_touch_at]
    denied = [status for status, stamp in late if status in (400, 401, 403, 404) and not stamp]
    allowed = 5 + len(results) / 500
    counts = dict(collections.Counter(status for status, _ in late))
    text = (f"{len(denied)} of {len(late)} requests sent by machines in touch from {in_touch_at:.1f} s "
            f"on were denied ({counts}); {allowed:.1f} are allowed of {len(results)} in all")
    record.write(text)
    say(text)
    return [f"DENIED: {text}"] if len(denied) > allowed else []


run_case(HERE, case)
