"""One part of a prompt crashes each engine that begins to write an answer on it. One such request comes every 5 s."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import *  # noqa: E402,F403

DEADLY_PART = "dead0001"
SOUND_PARTS = ["aa%06x" % i for i in range(12)]
FIRST_TOKEN_S = 0.075        # Until an engine begins to write: 62 ms and a prompt of some 1,500 tokens.
BACK_AFTER_S = 4.0           # An engine is back after some seconds,
ENTRY_LASTS_S = 3.6          # its entry goes after three heartbeats of 1.2 s.
CONTACT_S = 3.0              # contactMs
GAP_S = 5.0
ROUNDS = 8
AT_ONCE = int(os.environ.get("AT_ONCE", "2"))  # Requests with the part that come at the same time, at different machines.
MAX_AFTER_BOUND = 3
BEGINS_WITH_HEAD = os.environ.get("HEAD", "0") == "1"  # Variant: the head is sent before the crash.
WRITES_FOR_S = float(os.environ.get("WRITES_FOR_S", "0"))  # Variant: events are sent for so long before the crash.


class Pool:
    def __init__(self, store, record, runs):
        self.store, self.record, self.runs = store, record, runs
        self.engines, self.crashes, self.arrivals = [], [], []

    async def add(self, ip):
        engine = Engine(self.store, ip, "models", self.record, self.runs, work_s=FIRST_TOKEN_S, gap_s=0.03, events=12)
        engine.hook = self.serve
        await engine.start()
        self.engines.append(engine)

    async def serve(self, engine, headers, line, body, reader, writer):
        if DEADLY_PART not in headers.get("prompt-prefix", ""):
            return False
        self.arrivals.append((now(), headers["attempt-id"]))
        self.record.write("arrived", id=headers["attempt-id"], engine=engine.id, deadly=1)
        if not trouble_wanted():
            return False
        await asyncio.sleep(FIRST_TOKEN_S)
        if BEGINS_WITH_HEAD or WRITES_FOR_S:
            writer.write(engine.head(headers["attempt-id"],
                                     "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
            await asyncio.sleep(0.005)
        begun, number = now(), int(headers.get("last-event-id") or 0)
        while now() < begun + WRITES_FOR_S and engine in self.engines:
            number += 1
            data = engine.event(headers["attempt-id"], number)
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await asyncio.sleep(0.03)
        engine.note_run(headers["attempt-id"])
        self.crash(engine)
        raise ConnectionError

    def crash(self, engine):
        if engine not in self.engines:
            return
        self.crashes.append(now())
        self.record.write("crash", engine=engine.id, number=len(self.crashes))
        self.engines.remove(engine)
        engine.server.close()
        for writer in list(engine.writers):
            reset(writer)
        asyncio.ensure_future(self.replace(engine))

    async def replace(self, engine):
        await asyncio.sleep(ENTRY_LASTS_S)
        self.store.remove("servers", engine.id)
        await asyncio.sleep(BACK_AFTER_S - ENTRY_LASTS_S)
        await self.add(engine.ip)


async def ask(record, router, prefix, outcomes=None, route="ask"):
    attempt = new_id()
    record.write("sent", id=attempt, router=router.name, prefix=prefix)
    connection = Connection(router.ip)
    try:
        answer = await connection.call(request_bytes(route, attempt, 12000, (1500, 72), prefix), 13)
    except (OSError, asyncio.TimeoutError):
        answer = Answer(0, complete=False)
    connection.close()
    record.write("answered", id=attempt, status=answer.status, whole=answer.complete)
    if outcomes is not None:
        outcomes.append((answer.status, answer.complete))
    return answer.status


async def sound_traffic(record, routers, outcomes):
    while True:
        prefix = "%s:500,%08x:1000" % (random.choice(SOUND_PARTS), random.getrandbits(32))
        asyncio.ensure_future(ask(record, random.choice(routers), prefix, outcomes,
                                  random.choice(["ask", "draft"])))
        await asyncio.sleep(0.08)


async def case(record):
    store = Store(PREFIX + "2")
    await store.start()
    store.put("config", "main", configuration(5, prepaid=10 ** 9))
    pool = Pool(store, record, {})
    for i in range(9):
        await pool.add(PREFIX + str(100 + i))
    fleet = Fleet(store, 3, [engine.ip for engine in pool.engines])
    fleet.start()
    outcomes = []
    try:
        await fleet.wait_ready()
        await asyncio.sleep(1)
        sound = asyncio.ensure_future(sound_traffic(record, fleet.routers, outcomes))
        await asyncio.sleep(3)
        for i in range(ROUNDS):
            statuses = await asyncio.gather(*[
                ask(record, fleet.routers[(i + k) % 3],
                    "%s:300,%s:500,%08x:700" % (DEADLY_PART, SOUND_PARTS[(2 * i + k) % 12], random.getrandbits(32)))
                for k in range(AT_ONCE)])
            record.say("round %d of requests with the deadly part: statuses %s; %d engines have crashed"
                       % (i + 1, statuses, len(pool.crashes)))
            await asyncio.sleep(GAP_S)
        sound.cancel()
    finally:
        fleet.end()
    lost = sum(1 for status, whole in outcomes if status == 200 and not whole)
    record.say("sound requests: %d, of these %d broken off midway, %d without 200"
               % (len(outcomes), lost, sum(1 for status, _ in outcomes if status != 200)))
    if not trouble_wanted():
        failed = [s for s, whole in outcomes if s != 200 or not whole]
        record.say("without the disruption: %d of %d sound requests failed" % (len(failed), len(outcomes)))
        return 1 if failed else 0
    if len(pool.crashes) < 5:
        record.say("fewer than five crashes")
        return 0
    bound = pool.crashes[4] + CONTACT_S
    late = [a for a in pool.arrivals if a[0] > bound]
    record.say("later than %.0f s after the fifth crash (at %.1f s), %d requests with that part reached engines; %d allowed"
               % (CONTACT_S, pool.crashes[4], len(late), MAX_AFTER_BOUND))
    record.say("BUDGET is broken" if len(late) > MAX_AFTER_BOUND else "BUDGET held")
    return 1 if len(late) > MAX_AFTER_BOUND else 0


run_case(case, os.path.dirname(os.path.abspath(__file__)))
