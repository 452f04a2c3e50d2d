"""Stand-ins for the platform's store, engines and clients, and a starter for the project's programs.

All of them run in one asyncio process on loopback addresses. They speak what PROTOCOL.md says and fail only where a
test tells them to.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PREFIX = "127.%d.%d." % (random.randrange(64, 250), random.randrange(1, 250))
START = time.monotonic()


def now():
    return time.monotonic() - START


def trouble_wanted():
    """Whether the disruption is played: yes, unless the variable TROUBLE is 0."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run, a line each, to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1 << 16)

    def write(self, what, **fields):
        line = " ".join("%s=%s" % (k, v) for k, v in fields.items())
        self.file.write("%8.3f %-10s %s\n" % (now(), what, line))

    def say(self, text):
        print(text, flush=True)
        self.file.write("%8.3f %s\n" % (now(), text))

    def close(self):
        self.file.close()


async def read_head(reader):
    """Reads the head of a message. Returns its first line and its headers, with names in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def reset(writer):
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass
    writer.transport.abort()


def no_delay(writer):
    writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class Store:
    """The platform's store: objects by kind and name, conditional writes, lists and watches."""

    def __init__(self, ip):
        self.address = "%s:8223" % ip
        self.ip = ip
        self.era = 1
        self.revision = 100
        self.kinds = {}
        self.events = []
        self.changed = asyncio.Condition()
        self.answer_hook = None  # async (peer IP, method, kind) -> None, "silent", "reset", "busy" or "lose"
        self.calls = 0
        self.history_s = 20          # historyS: older changes are forgotten.
        self.forgotten = 0           # Revision of the newest change that is forgotten.

    async def start(self):
        await asyncio.start_server(self.serve, self.ip, 8223, backlog=512)

    def put(self, kind, name, spec):
        self.revision += 1
        obj = {"metadata": {"name": name, "revision": self.revision, "created": self.revision, "finalizers": [],
                            "deleting": False}, "spec": spec, "status": {}}
        self.kinds.setdefault(kind, {})[name] = obj
        self.note(kind, obj, False)
        return obj

    def remove(self, kind, name):
        obj = self.kinds.get(kind, {}).pop(name, None)
        if obj is not None:
            self.revision += 1
            obj = dict(obj, metadata=dict(obj["metadata"], revision=self.revision))
            self.note(kind, obj, True)

    def note(self, kind, obj, deleted):
        self.events.append((self.revision, kind, obj, deleted, now()))
        asyncio.ensure_future(self.wake())

    async def wake(self):
        async with self.changed:
            self.changed.notify_all()

    def spec(self, kind, name):
        return self.kinds.get(kind, {}).get(name, {}).get("spec")

    def copy(self):
        return json.loads(json.dumps({"revision": self.revision, "kinds": self.kinds}))

    def restore(self, copy):
        """Comes back from a copy: what was written since is gone, and the era rises by one."""
        self.revision = copy["revision"]
        self.kinds = json.loads(json.dumps(copy["kinds"]))
        self.events = []
        self.forgotten = self.revision
        self.era += 1

    async def serve(self, reader, writer):
        no_delay(writer)
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                self.calls += 1
                kind = target.split("?")[0].split("/")[3]
                verdict = await self.answer_hook(peer, method, kind) if self.answer_hook else None
                if verdict == "silent":
                    await asyncio.sleep(3600)
                if verdict == "reset":
                    reset(writer)
                    return
                if verdict == "busy":
                    status, reply = 503, {}
                else:
                    await asyncio.sleep(0.002)
                    status, reply = await self.answer(method, target, body)
                if verdict == "lose":
                    await asyncio.sleep(3600)
                data = json.dumps(reply).encode()
                writer.write(("HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: %d\r\n"
                              "Content-Length: %d\r\n\r\n" % (status, self.era, len(data))).encode() + data)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        options = dict(p.partition("=")[::2] for p in query.split("&") if p)
        parts = path.split("/")
        kind, name = parts[3], parts[4] if len(parts) > 4 else None
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and name:
            return (200, objects[name]) if name in objects else (404, {})
        if method == "GET" and "watch" in options:
            return await self.watch(kind, int(options["watch"]), int(options.get("waitMs", "0")))
        if method == "GET":
            names = sorted(n for n in objects if n > options.get("after", ""))[:500]
            return 200, {"items": [objects[n] for n in names], "hasMore": False, "at": self.revision}
        given = json.loads(body or b"{}")
        name = name or given["metadata"]["name"]
        expected = given.get("metadata", {}).get("revision", options.get("revision"))
        if method == "POST":
            if name in objects:
                return 409, objects[name]
            return 201, self.put(kind, name, given.get("spec"))
        if name not in objects:
            return 404, {}
        if expected is not None and int(expected) != objects[name]["metadata"]["revision"]:
            return 409, objects[name]
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        return 200, self.put(kind, name, given.get("spec"))

    async def watch(self, kind, since, wait_ms):
        era = self.era
        while self.events and self.events[0][4] < now() - self.history_s:
            self.forgotten = self.events.pop(0)[0]
        if since > self.revision or since < self.forgotten:
            return 410, {}
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            if era != self.era:
                return 410, {}
            found = [{"object": o, "deleted": d} for r, k, o, d, _ in self.events if k == kind and r > since]
            left = deadline - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "at": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Engine:
    """An engine of a service: plain answers or streams. `runs` counts the runs by Attempt-Id."""

    def __init__(self, store, ip, service, record, runs, port=8228, work_s=0.03, slots=64, engine_id=None, events=8,
                 gap_s=0.03):
        self.store, self.ip, self.port, self.service, self.record = store, ip, port, service, record
        self.runs = runs
        self.id = engine_id or "i-%08x" % random.getrandbits(32)
        self.work_s, self.slots, self.events, self.gap_s = work_s, slots, events, gap_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.hook = None       # async (engine, headers, line, body, reader, writer) -> True if it answered itself
        self.extra_headers = ""
        self.writers = set()

    async def start(self, state="ready"):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, backlog=512)
        self.announce(state)

    def announce(self, state="ready"):
        self.sequence += 1
        self.store.put("servers", self.id, {
            "service": self.service, "address": "%s:%d" % (self.ip, self.port), "zone": "za", "version": "1",
            "slots": self.slots, "state": state, "coldRemainingMs": 0, "sequence": self.sequence, "born": self.born})

    def seal(self, attempt):
        return "seal-%s" % attempt

    async def serve(self, reader, writer):
        no_delay(writer)
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if headers.get("expect-instance") != self.id:
                    writer.write(("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n"
                                  % self.id).encode())
                    continue
                if self.hook and await self.hook(self, headers, line, body, reader, writer):
                    continue
                await self.run(headers, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def note_run(self, attempt):
        self.runs.setdefault(attempt, []).append((now(), self.id))
        self.record.write("run", id=attempt, engine=self.id)

    async def run(self, headers, writer):
        attempt = headers["attempt-id"]
        self.note_run(attempt)
        if "token-counts" in headers:
            await self.stream(headers, writer)
            return
        await asyncio.sleep(self.work_s)
        data = b"done " + attempt.encode()
        writer.write(self.head(attempt, "Content-Length: %d\r\n" % len(data)) + data)
        await writer.drain()

    def head(self, attempt, more):
        return ("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: %s\r\n%s%s\r\n"
                % (attempt, self.seal(attempt), self.extra_headers, more)).encode()

    @staticmethod
    def event(attempt, number):
        return b"id: %d\ndata: %s %d\n\n" % (number, attempt.encode(), number)

    async def stream(self, headers, writer):
        attempt = headers["attempt-id"]
        first = int(headers.get("last-event-id") or 0) + 1
        writer.write(self.head(attempt, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.work_s if number == first else self.gap_s)
            data = self.event(attempt, number)
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


PROGRAMS = []  # All programs that the case has started.


class Program:
    """One of the project's programs, started with the command of the deploy file."""

    def __init__(self, fleet, role, ip, settings):
        self.role, self.ip = role, ip
        self.name = settings["name"]
        self.settings_file = os.path.join(fleet.folder, self.name + ".json")
        with open(self.settings_file, "w") as f:
            json.dump(settings, f)
        self.log_path = os.path.join(fleet.folder, self.name + ".log")
        self.process = None
        PROGRAMS.append(self)

    def start(self):
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["EELGRASSGW_NODE_FILE"] = self.settings_file
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(["target/eelgrass-platform-" + self.role], cwd=ROOT, env=env, stdout=log,
                                            stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)

    def signal(self, number):
        if self.running():
            self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.poll() is None


class Fleet:
    """Routers, and relays on the machines of engines, with settings as the templates of deploy/ give them."""

    def __init__(self, store, routers, relay_ips, first_host=10, stores=None):
        self.folder = tempfile.mkdtemp(prefix="eelgrass-review-")
        self.store = store
        self.routers, self.relays = [], []
        router_ips = [PREFIX + str(first_host + i) for i in range(routers)]
        seeds = ["%s:8229" % ip for ip in router_ips[:3]]
        for i, ip in enumerate(router_ips):
            self.routers.append(Program(self, "router", ip, {
                "name": "edge-za-%d" % (i + 1), "data_centre": "za", "listen": ip + ":8227",
                "readiness_listen": ip + ":8220", "peer_listen": ip + ":8229", "notice_listen": ip + ":7355",
                "metrics_listen": ip + ":9464", "store": (stores or {}).get(ip, store.address), "peers": seeds,
                "relay_port": 7340, "stop_limit_s": 8, "retry_ratio": 0.2, "retry_extra": 58, "retry_window_s": 10}))
        for i, ip in enumerate(relay_ips):
            self.relays.append(Program(self, "relay", ip, {
                "name": "side-za-%d" % (i + 1), "listen": ip + ":7340", "metrics_listen": ip + ":9464",
                "store": (stores or {}).get(ip, store.address), "peers": seeds}))

    def start(self):
        for program in self.relays + self.routers:
            program.start()

    async def wait_ready(self, routers=None, limit_s=15):
        deadline = time.monotonic() + limit_s
        for router in routers or self.routers:
            while True:
                if await probe(router.ip) == 200:
                    break
                if time.monotonic() > deadline:
                    raise RuntimeError("a router did not become ready")
                await asyncio.sleep(0.05)

    def end(self):
        for program in self.relays + self.routers:
            if program.running():
                program.process.send_signal(signal.SIGCONT)
                program.process.kill()
        for program in self.relays + self.routers:
            if program.process is not None:
                program.process.wait()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


async def probe(ip):
    """Asks a router whether it is ready, as the platform does. Returns the status; 0 if none came."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, 8220), 1)
        writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
        line, _ = await asyncio.wait_for(read_head(reader), 1)
        writer.close()
        return int(line.split()[1])
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return 0


ROUTES = {
    "book": dict(pathPrefix="/book/", kind="non_idempotent", service="plain", timeoutMs=1000, targetLatencyMs=150,
                 maxAttempts=1, sticky=False, resumable=False),
    "read": dict(pathPrefix="/read/", kind="idempotent", service="plain", timeoutMs=1000, targetLatencyMs=150,
                 maxAttempts=2, sticky=False, resumable=False),
    "draft": dict(pathPrefix="/draft/", kind="streaming", service="models", timeoutMs=15000, targetLatencyMs=600,
                  maxAttempts=1, sticky=True, resumable=False, targetGapMs=400),
    "ask": dict(pathPrefix="/ask/", kind="streaming", service="models", timeoutMs=12000, targetLatencyMs=400,
                maxAttempts=2, sticky=True, resumable=True, targetGapMs=400),
}
HOST = "desk.example"
KEY = "key-a"


def configuration(version, prepaid=None, tenants=None, **changes):
    routes = []
    for name, route in ROUTES.items():
        entry = dict(route, name=name, hostname=HOST, priority=1, public=False)
        entry.update(changes.get(name, {}))
        routes.append(entry)
    tenant = {"name": "ta", "apiKeys": [KEY], "priority": 1}
    if prepaid is not None:
        tenant["prepaid"] = prepaid
    return {"version": version, "routes": routes,
            "services": [{"name": "plain", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1"},
                         {"name": "models", "healthPath": "/healthz", "maxConnections": 370, "protocol": "h1",
                          "engine": {"slots": 64, "kvCapacityTokens": 669655, "stride": 6}}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": tenants or [tenant]}


class Answer:
    def __init__(self, status, headers=None, body=b"", complete=True, error=""):
        self.status, self.headers, self.body = status, headers or {}, body
        self.complete, self.error = complete, error


_count = 0


def new_id():
    global _count
    _count += 1
    return "%08x%08x" % (random.getrandbits(32), _count)


def request_bytes(route, attempt, deadline_ms, tokens=None, prefix=None, body=b"x" * 200, key=KEY, more=""):
    method = "GET" if route == "read" else "POST"
    lines = ["%s /%s/%s HTTP/1.1" % (method, route, attempt[-4:]), "Host: " + HOST, "Attempt-Id: " + attempt,
             "Deadline-Ms: %d" % deadline_ms, "Authorization: Bearer " + key]
    if tokens:
        lines += ["Model: m", "Token-Counts: %d,%d" % tokens, "Prompt-Prefix: " + prefix]
    if method == "POST":
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n" + more + "\r\n").encode() + (body if method == "POST" else b"")


class Connection:
    """A client's connection, which it keeps for many requests."""

    def __init__(self, ip, port=8227):
        self.ip, self.port, self.writer = ip, port, None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.port), 1)
        no_delay(self.writer)

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    async def call(self, data, limit_s):
        """Sends a request and reads its answer. Status 0: no head came; `complete` is false if the end is missing."""
        if self.writer is None:
            await self.open()
        answer = Answer(0, complete=False)
        try:
            self.writer.write(data)
            await asyncio.wait_for(self.read_answer(answer), limit_s)
        except asyncio.TimeoutError:
            answer.error = "no answer in time"
        except (asyncio.IncompleteReadError, ConnectionError, OSError) as e:
            answer.error = "connection ended (%s)" % type(e).__name__
        if not answer.complete or answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    async def read_answer(self, answer):
        line, answer.headers = await read_head(self.reader)
        answer.status = int(line.split()[1])
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await self.reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await self.reader.readexactly(size + 2)
                if size == 0:
                    break
                answer.body += chunk[:-2]
        else:
            answer.body = await self.reader.readexactly(int(answer.headers.get("content-length", "0")))
        answer.complete = True


def run_case(case, folder):
    """Runs a case and exits as the issue asks: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    import sys
    import traceback

    def end(number, frame):
        raise KeyboardInterrupt  # Ends the programs of the case on the way out.

    signal.signal(signal.SIGTERM, end)
    record = Record(folder)
    code = 2
    try:
        code = asyncio.new_event_loop().run_until_complete(asyncio.wait_for(case(record), 115))
    except (Exception, KeyboardInterrupt):
        traceback.print_exc()
        record.say("the case could not run")
    for program in PROGRAMS:
        if program.running():
            program.process.send_signal(signal.SIGCONT)
            program.process.kill()
            program.process.wait()
    record.close()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)  # The stand-ins' own tasks need not end in order: the case has ended the project's programs.
