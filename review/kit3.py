"""Stand-ins for the scripts of this review: the platform's store, engines and clients, all on loopback
addresses, and the start of the project's own programs with settings like those of the deploy templates.

The stand-ins follow PROTOCOL.md; where it is silent they behave like sound parties."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "desk.example"
KEY = "key-of-tenant-one"
T0 = time.monotonic()


class CannotRun(Exception):
    """The case could not run, so that it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to record.txt beside the script."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - T0:8.3f}  {text}\n")


def say(text):
    print(text, flush=True)


def reset(writer):
    """Ends a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Message:
    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def __getitem__(self, name):
        return self.headers.get(name.lower(), "")


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.setdefault(name.strip().lower(), value.strip())
    return lines[0], headers


async def read_request(reader):
    first, headers = await read_head(reader)
    body = b""
    if headers.get("content-length"):
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += piece[:-2]
    return Message(first, headers, body)


class Addresses:
    """Loopback addresses of their own for each run, with ports that are free on all of them."""

    def __init__(self):
        self.net = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        self.last = 0
        self.used = set()

    def host(self):
        self.last += 1
        return f"{self.net}.{self.last}"

    def port(self, host=None):
        while True:
            port = random.randint(20000, 30000)
            if port in self.used:
                continue
            with socket.socket() as probe:
                try:
                    probe.bind((host or f"{self.net}.250", port))
                except OSError:
                    continue
            self.used.add(port)
            return port


class Store:
    """The platform's store. `era` is what the header Store-Era says; None for a store without the header."""

    def __init__(self, host, port, record, era=1):
        self.address = f"{host}:{port}"
        self.host, self.port, self.record, self.era = host, port, record, era
        self.revision = 100
        self.objects = {}
        self.events = []
        self.down = None  # None, "reset", "busy" or "silent"
        self.changed = asyncio.Event()
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 22)

    def put(self, kind, name, spec):
        """Writes an object as the operator or an engine does."""
        self.revision += 1
        old = self.objects.setdefault(kind, {}).get(name)
        created = old["metadata"]["created"] if old else self.revision
        new = {"metadata": {"name": name, "revision": self.revision, "created": created, "finalizers": [],
                            "deleting": False}, "spec": spec, "status": None}
        self.objects[kind][name] = new
        self.events.append((self.revision, kind, new, False))
        self.wake()
        return new

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def go_down(self, how):
        self.down = how
        if how == "reset":
            for writer in list(self.writers):
                reset(writer)
        self.wake()

    def come_back(self):
        self.down = None
        self.wake()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if self.down == "reset":
                    return reset(writer)
                if self.down == "silent":
                    await asyncio.sleep(600)
                if self.down == "busy":
                    status, body = 503, None
                else:
                    await asyncio.sleep(0.004)
                    status, body = await self.answer(request)
                    if self.down in ("reset", "silent"):
                        return reset(writer)
                text = json.dumps(body).encode() if body is not None else b""
                head = f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
                head += f"Content-Length: {len(text)}\r\n"
                if self.era is not None:
                    head += f"Store-Era: {self.era}\r\n"
                writer.write(head.encode() + b"\r\n" + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request):
        method, target, _ = request.first.split(" ")
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        rest = path[len("/-/objects/"):].split("/")
        kind = urllib.parse.unquote(rest[0])
        name = urllib.parse.unquote(rest[1]) if len(rest) > 1 else ""
        kept = self.objects.setdefault(kind, {})
        if method == "GET" and name:
            return (200, kept[name]) if name in kept else (404, None)
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("waitMs", "0")))
        if method == "GET":
            items = [kept[each] for each in sorted(kept) if each > query.get("after", "")]
            return 200, {"items": items[:500], "hasMore": len(items) > 500, "at": self.revision}
        if method in ("PUT", "POST"):
            document = json.loads(request.body)
            name = name or document["metadata"]["name"]
            wanted = document.get("metadata", {}).get("revision")
            if method == "POST" and name in kept:
                return 409, kept[name]
            if method == "PUT" and name not in kept:
                return 404, None
            if method == "PUT" and wanted is not None and wanted != kept[name]["metadata"]["revision"]:
                return 409, kept[name]
            if method == "PUT" and kept[name]["spec"] == document["spec"]:
                return 200, kept[name]
            return (201 if method == "POST" else 200), self.put(kind, name, document["spec"])
        return 405, None

    async def watch(self, kind, since, wait_ms):
        if since > self.revision:
            return 410, None
        end = time.monotonic() + wait_ms / 1000
        while True:
            found = [{"object": o, "deleted": d} for r, k, o, d in self.events if k == kind and r > since]
            left = end - time.monotonic()
            if found or left <= 0 or self.down:
                return 200, {"events": found, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Run:
    """One run of a request at an engine."""

    def __init__(self, engine, request):
        self.engine, self.attempt = engine.label, request["Attempt-Id"]
        self.at = time.monotonic()
        self.request = request
        self.events = 0


class Engine:
    """An engine. Streams have one event each `gap_s`; other requests take `work_s`. `events` is the number
    of a stream's events."""

    def __init__(self, store, host, port, record, service="pool", version="v1", name=None, slots=64,
                 events=5, gap_s=0.02, first_s=0.02, work_s=0.02, kv=669655):
        self.store, self.host, self.port, self.record = store, host, port, record
        self.address = f"{host}:{port}"
        self.name = name or "i-" + "".join(random.choices("0123456789abcdef", k=10))
        self.service, self.version, self.slots = service, version, slots
        self.events, self.gap_s, self.first_s, self.work_s, self.kv = events, gap_s, first_s, work_s, kv
        self.born = int(time.time() * 1000)
        self.runs = []
        self.arrivals = []
        self.server = None
        self.writers = set()
        self.sequence = 0
        self.state = "ready"
        self.beats = None
        self.heartbeat_s = 1.2
        self.active = 0

    @property
    def label(self):
        return f"{self.name}({self.version})"

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": "z1", "version": self.version,
                "slots": self.slots, "state": self.state, "coldRemainingMs": 0,
                "phase": "prefill_decode", "models": [{"name": "m", "version": 1, "adapters": []}],
                "sequence": self.sequence, "born": self.born}

    def register(self):
        """Writes the entry. It changes in the store only if more than `sequence` does."""
        if self.store.down is not None:
            return False
        self.sequence += 1
        known = self.store.objects.get("servers", {}).get(self.name)
        if known is not None and {**known["spec"], "sequence": self.sequence} == self.entry():
            known["spec"]["sequence"] = self.sequence
        else:
            self.store.put("servers", self.name, self.entry())
        return True

    async def beat(self):
        while True:
            await asyncio.sleep(self.heartbeat_s if self.register() else 0.2)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 23)
        self.beats = asyncio.ensure_future(self.beat())

    def crash(self):
        """Ends at once: its connections are reset and its port is closed."""
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if not await self.answer(request, reader, writer):
                    return
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def head(self, status, request, extra=""):
        head = f"HTTP/1.1 {status} Status\r\nAttempt-Id: {request['Attempt-Id']}\r\nInstance-Id: {self.name}\r\n"
        return head + extra

    def plain(self, writer, status, request, extra="", body=b""):
        writer.write((self.head(status, request, extra) + f"Content-Length: {len(body)}\r\n\r\n").encode() + body)

    async def answer(self, request, reader, writer):
        method, target, _ = request.first.split(" ")
        if target.startswith("/-/") or target == "/healthz":
            self.plain(writer, 200, request)
            return True
        self.arrivals.append((time.monotonic(), request))
        expected = request["Expect-Instance"]
        if expected and expected != self.name:
            self.plain(writer, 421, request)
            return True
        if not request["Attempt-Id"]:
            self.plain(writer, 400, request, "Not-Executed: 1\r\n")
            return True
        counts = [int(n) for n in request["Token-Counts"].split(",")] if request["Token-Counts"] else [0, 0]
        if sum(counts) > self.kv:
            self.record(f"engine {self.label} rejects {request['Attempt-Id']}: larger than its memory")
            self.plain(writer, 503, request, "Not-Executed: 1\r\n")
            return True
        if self.active >= self.slots:
            self.plain(writer, 503, request, "Not-Executed: 1\r\n")
            return True
        run = Run(self, request)
        self.runs.append(run)
        self.active += 1
        try:
            self.record(f"engine {self.label} runs {run.attempt} {request.first}")
            if request["Token-Counts"]:
                return await self.stream(request, reader, writer, run)
            await asyncio.sleep(self.work_s)
            body = f"{self.label} {run.attempt}".encode()
            self.plain(writer, 200, request, f"Response-Seal: {self.name}.{run.attempt}\r\n", body)
            await writer.drain()
            return True
        finally:
            self.active -= 1

    async def stream(self, request, reader, writer, run):
        await asyncio.sleep(self.first_s)
        writer.write((self.head(200, request, f"Response-Seal: {self.name}.{run.attempt}\r\n"
                                "Content-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n") + "\r\n").encode())
        first = int(request["Last-Event-Id"] or "0") + 1
        for number in range(first, self.events + 1):
            if writer.is_closing() or reader.at_eof():
                return False
            event = f"id: {number}\ndata: {self.version} {self.name} {number}\n\n".encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
            run.events += 1
            if number < self.events:
                await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.complete, self.error = 0, {}, b"", False, ""
        self.sent_at = self.ended_at = 0.0

    def events(self):
        """Returns the data of the whole events of a stream."""
        whole = self.body.decode("latin-1").split("\n\n")[:-1]
        return [line[6:] for event in whole for line in event.split("\n") if line.startswith("data: ")]

    def last_id(self):
        whole = self.body.decode("latin-1").split("\n\n")[:-1]
        ids = [line[4:] for event in whole for line in event.split("\n") if line.startswith("id: ")]
        return ids[-1] if ids else ""


def new_id():
    return "".join(random.choices("0123456789abcdef", k=16))


async def call(address, method, path, headers, body=b"", timeout=15.0):
    """Sends one request on a connection of its own and reads the answer."""
    answer = Answer()
    answer.sent_at = time.monotonic()
    host, port = address.rsplit(":", 1)
    writer = None

    async def talk():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
        text = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        text += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        if body or method == "POST":
            text += f"Content-Length: {len(body)}\r\n"
        writer.write(text.encode() + b"\r\n" + body)
        await writer.drain()
        first, answer.headers = await read_head(reader)
        answer.status = int(first.split(" ")[1])
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    break
                answer.body += piece[:-2]
        else:
            answer.body = await reader.readexactly(int(answer.headers.get("content-length", "0")))
        answer.complete = True

    try:
        await asyncio.wait_for(talk(), timeout)
    except asyncio.TimeoutError:
        answer.error = "timeout"
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as e:
        answer.error = type(e).__name__
    if writer is not None:
        writer.close()
    answer.ended_at = time.monotonic()
    return answer


class Programs:
    """The project's own programs, as the deploy file starts them."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="eelgrass-review-")
        self.started = []
        self.processes = {}  # The process that runs now, by name.
        self.roles = {}
        for name in ("router", "relay"):
            if not os.path.exists(os.path.join(ROOT, f"target/eelgrass-platform-{name}")):
                raise CannotRun(f"target/eelgrass-platform-{name} is not built")

    def start(self, role, name, settings):
        path = os.path.join(self.folder, f"{name}.json")
        with open(path, "w") as file:
            json.dump(settings, file, indent=1)
        env = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "HOME": self.folder, "LANG": "C",
               "EELGRASSGW_NODE_FILE": path}
        log = open(os.path.join(self.folder, f"{name}.log"), "a")
        process = subprocess.Popen([os.path.join(ROOT, f"target/eelgrass-platform-{role}")], cwd=ROOT, env=env,
                                   stdout=log, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        log.close()
        self.started.append(process)
        self.processes[name] = process
        self.roles[name] = (role, settings)
        self.record(f"started {role} {name}, process {process.pid}")
        return process

    def start_again(self, name):
        role, settings = self.roles[name]
        return self.start(role, name, settings)

    def end_all(self):
        for process in self.started:
            if process.poll() is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except OSError:
                    pass
        for process in self.started:
            process.wait()


class Router:
    def __init__(self, programs, addresses, store, relay_port, name, seeds=None, **changes):
        self.programs, self.name = programs, name
        host = addresses.host()
        ports = [addresses.port(host) for _ in range(5)]
        self.address = f"{host}:{ports[0]}"
        self.ready_address = f"{host}:{ports[1]}"
        self.control = f"{host}:{ports[2]}"
        self.settings = {
            "name": name, "data_centre": "z1", "listen": self.address,
            "readiness_listen": self.ready_address, "peer_listen": self.control,
            "notice_listen": f"{host}:{ports[3]}", "metrics_listen": f"{host}:{ports[4]}",
            "store": store if isinstance(store, str) else store.address, "peers": seeds or [self.control], "relay_port": relay_port,
            "stop_limit_s": 8, "retry_ratio": 0.2, "retry_extra": 58, "retry_window_s": 10,
            "resources": {"processor_share": 0.19, "memory_mb": 260, "max_descriptors": 4100,
                          "link_mbps": 1000.0},
            "region": "r1", "data_centres": {"z1": "r1"}, "configuration_limit_ms": 2000,
            "event_delay_limit_ms": 120}
        self.settings.update(changes)
        self.process = None

    def start(self):
        self.process = self.programs.start("router", self.name, self.settings)

    async def wait_ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            answer = await call(self.ready_address, "GET", "/-/readyz", {}, timeout=1)
            if answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"router {self.name} does not become ready")


def start_relay(programs, host, relay_port, addresses, store, peers, name, backend):
    return programs.start("relay", name, {
        "name": name, "listen": f"{host}:{relay_port}", "metrics_listen": f"{host}:{addresses.port(host)}",
        "store": store if isinstance(store, str) else store.address, "peers": peers, "backend_server": backend,
        "resources": {"processor_share": 0.2, "memory_mb": 192, "max_descriptors": 4096, "link_mbps": 2000.0}})


def make_route(path, kind, service, timeout_ms=12000, aim_ms=400, attempts=2, resumable=False, sticky=False,
               **more):
    return {"name": "r-" + path.strip("/"), "hostname": HOST, "pathPrefix": path, "kind": kind,
            "timeoutMs": timeout_ms, "targetLatencyMs": aim_ms, "priority": 0, "service": service,
            "maxAttempts": attempts, "public": False, "sticky": sticky, "resumable": resumable,
            "targetGapMs": 400 if kind == "streaming" else 0, **more}


def make_config(version, routes, tenants, services=("pool",), models=True):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "healthPath": "/healthz", "maxConnections": 370, "protocol": "h1",
                          "tls": False,
                          **({"engine": {"slots": 64, "kvCapacityTokens": 669655, "kvTokenBytes": 35136,
                                         "linkMbps": 740000.0, "moves": True, "backups": True, "stride": 1,
                                         "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleTtlS": 5.0,
                                         "models": [{"name": "m"}]}} if models else {})}
                         for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": tenants}


async def start_fleet(programs, record, config, engines=2, routers=2, era=1, **engine_options):
    """Starts a store, engines with a relay beside each, and routers. Returns once all routers are ready."""
    addresses = Addresses()
    store = Store(addresses.host(), addresses.port(), record, era)
    await store.start()
    relay_port = addresses.port()
    store.put("config", "main", config)
    fleet = [Router(programs, addresses, store, relay_port, f"edge-{n + 1}") for n in range(routers)]
    seeds = [router.control for router in fleet][:3]
    pool = []
    for n in range(engines):
        host = addresses.host()
        engine = Engine(store, host, addresses.port(host), record, **engine_options)
        pool.append(engine)
        await engine.start()
        start_relay(programs, host, relay_port, addresses, store, seeds, f"side-{n + 1}", engine.address)
    for router in fleet:
        router.settings["peers"] = seeds
        router.start()
    for router in fleet:
        await router.wait_ready()
    return store, pool, fleet, addresses


def main(case, file):
    """Runs `case(record, programs)`, which returns whether the rule held, and exits as the issue asks."""
    record = Record(os.path.dirname(os.path.abspath(file)))
    record(f"TROUBLE={'1' if TROUBLE else '0'}")
    programs = None
    code = 2
    try:
        programs = Programs(record)

        async def limited():
            nonlocal code
            try:
                held = await asyncio.wait_for(case(record, programs), 112)
                code = 0 if held else 1
            except (CannotRun, asyncio.TimeoutError) as e:
                record(f"cannot run: {e!r}")
                say(f"cannot run: {e!r}")
            finally:
                finish(record, programs, code)

        asyncio.run(limited())
    except CannotRun as e:
        say(f"cannot run: {e!r}")
        sys.exit(2)


def finish(record, programs, code):
    """Ends all processes that were started, removes their files and ends this one."""
    programs.end_all()
    if os.environ.get("KEEP_LOGS"):
        say(f"logs in {programs.folder}")
    else:
        shutil.rmtree(programs.folder, ignore_errors=True)
    error = sys.exc_info()[1]
    if error is not None:
        traceback.print_exception(error)
        code = 2
    record(f"exit {code}")
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
