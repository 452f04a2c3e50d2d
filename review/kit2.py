"""Stand-ins for the scripts of the second review: the platform's store, engines and clients, and a launcher that
starts the routers and relays with the commands and templates of deploy/system.toml. Loopback addresses only."""

import asyncio
import copy
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FRONT, READY, CONTROL, RELAY, NOTICE, APP, STORE = 8227, 8220, 8229, 7340, 7355, 9000, 8223


class CannotRun(Exception):
    """The case could not be played; the script exits with 2."""


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# ---- HTTP ----------------------------------------------------------------------------------------------------

class Message:
    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            key, _, value = line.partition(":")
            headers.append((key.strip(), value.strip()))
    return Message(lines[0], headers, b"")


async def read_chunk(reader):
    """Returns the next chunk of a body; empty bytes at its end."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_message(reader):
    message = await read_head(reader)
    if "chunked" in message.get("Transfer-Encoding").lower():
        parts = []
        while True:
            data = await read_chunk(reader)
            if not data:
                break
            parts.append(data)
        message.body = b"".join(parts)
    else:
        length = int(message.get("Content-Length", "0") or 0)
        message.body = await reader.readexactly(length) if length else b""
    return message


def response(status, headers=(), body=b""):
    reasons = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request",
               500: "Internal Server Error", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    lines += [f"{key}: {value}" for key, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass
    writer.transport.abort()


# ---- The platform's store ------------------------------------------------------------------------------------

class Store:
    """Objects by kind and name, conditional writes, lists, watches and the era of PROTOCOL.md and news.md."""

    def __init__(self, address, record, era=1):
        self.address = address
        self.record = record
        self.era = era
        self.revision = 100
        self.kinds = {}
        self.events = []
        self.oldest = 100  # Revision from which the history is kept.
        self.changed = asyncio.Event()
        self.copy = None
        self.down = False
        self.writers = set()
        self.server = None
        self.on_write = None  # Called after each write that was applied.

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address, limit=1 << 22)

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Writes as the operator or an engine does."""
        objects = self.kinds.setdefault(kind, {})
        old = objects.get(name)
        if old is not None and old["spec"] == spec:
            return old
        self.revision += 1
        objects[name] = {"metadata": {"name": name, "revision": self.revision,
                                      "created": old["metadata"]["created"] if old else self.revision,
                                      "finalizers": [], "deleting": False},
                         "spec": spec, "status": {}}
        self.events.append((self.revision, kind, copy.deepcopy(objects[name]), False))
        self.wake()
        return objects[name]

    def remove(self, kind, name):
        removed = self.kinds.get(kind, {}).pop(name, None)
        if removed is not None:
            self.revision += 1
            self.events.append((self.revision, kind, removed, True))
            self.wake()

    def spec(self, kind, name):
        found = self.kinds.get(kind, {}).get(name)
        return found["spec"] if found else None

    def take_copy(self):
        self.copy = (self.revision, copy.deepcopy(self.kinds))
        self.record.line(f"store copy taken at revision {self.revision}")

    def stop_serving(self):
        self.down = True
        for writer in list(self.writers):
            reset(writer)

    def restore(self):
        """Comes back from the copy; what the operator and the engines wrote since is written again."""
        own = {kind: objects for kind, objects in self.kinds.items() if kind in ("config", "servers")}
        now = copy.deepcopy(own)
        self.revision, kinds = self.copy[0], copy.deepcopy(self.copy[1])
        self.kinds = kinds
        self.events = []
        self.oldest = self.revision
        self.era += 1
        self.down = False
        for kind, objects in now.items():
            for name, each in objects.items():
                self.put(kind, name, each["spec"])
        self.wake()
        self.record.line(f"store back from its copy, revision {self.revision}, Store-Era {self.era}")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while not self.down:
                message = await read_message(reader)
                if self.down:
                    break
                await asyncio.sleep(0.004)
                era = self.era
                status, body = await self.answer(message)
                if self.down or era != self.era:
                    break
                writer.write(response(status, [("Content-Type", "application/json"), ("Store-Era", str(era))],
                                      json.dumps(body).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            reset(writer)

    async def answer(self, message):
        method, target, _ = message.first.split(" ")
        path, _, query = target.partition("?")
        parts = path.removeprefix("/-/objects/").split("/")
        options = dict(each.split("=", 1) for each in query.split("&") if "=" in each)
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and name is None and "watch" in options:
            return await self.watch(kind, int(options["watch"]), int(options.get("waitMs", "0")))
        if method == "GET" and name is None:
            names = sorted(each for each in objects if each > options.get("after", ""))
            return 200, {"items": [objects[each] for each in names[:500]], "hasMore": len(names) > 500,
                         "at": self.revision}
        if method == "GET":
            return (200, objects[name]) if name in objects else (404, {})
        sent = json.loads(message.body)
        if method == "POST":
            name = sent["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
            written = self.put(kind, name, sent.get("spec"))
        elif method == "PUT":
            if name not in objects:
                return 404, {}
            wanted = sent.get("metadata", {}).get("revision")
            if wanted is not None and wanted != objects[name]["metadata"]["revision"]:
                return 409, objects[name]
            written = self.put(kind, name, sent.get("spec"))
        else:
            return 404, {}
        written = copy.deepcopy(written)
        if self.on_write is not None:
            self.on_write(kind, name, written)
        return 200, written

    async def watch(self, kind, since, wait_ms):
        if since < self.oldest or since > self.revision:
            return 410, {}
        deadline = time.monotonic() + wait_ms / 1000
        era = self.era
        while True:
            found = [each for each in self.events if each[0] > since and each[1] == kind]
            left = deadline - time.monotonic()
            if found or left <= 0 or era != self.era or self.down:
                return 200, {"events": [{"object": each[2], "deleted": each[3]} for each in found],
                             "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# ---- Engines -------------------------------------------------------------------------------------------------

class Engine:
    """An engine of a service: registers in the store, runs requests and answers as PROTOCOL.md says."""

    def __init__(self, fleet, name, ip, service, zone, model=True, slots=64, kv=600000):
        self.fleet, self.name, self.ip, self.service, self.zone = fleet, name, ip, service, zone
        self.model, self.slots, self.kv = model, slots, kv
        self.address = f"{ip}:{APP}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.first_token_s = 0.02
        self.work_s = 0.01
        self.event_gap_s = 0.005
        self.lose_answer = None  # Returns whether the answer to the request that was just run is lost.
        self.active = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, APP, limit=1 << 20, backlog=1024)
        self.register()

    def register(self, state="ready"):
        self.sequence += 1
        self.fleet.store.put("servers", self.name, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "1",
            "slots": self.slots, "state": state, "coldRemainingMs": 0, "sequence": self.sequence,
            "born": self.born})

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if not await self.answer(message, reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def answer(self, message, reader, writer):
        attempt = message.get("Attempt-Id")
        method, target, _ = message.first.split(" ")
        if target.startswith("/-/report"):
            report = {"phase": "prefill_decode", "models": [{"name": "m", "version": 1, "adapters": []}],
                      "busy": False, "sequence": 0, "queued": 0, "active": self.active, "kvUsed": 0,
                      "kvTotal": self.kv, "handles": 0}
            writer.write(response(200, [("Content-Type", "application/json")], json.dumps(report).encode()))
            await writer.drain()
            return True
        if target == "/healthz":
            writer.write(response(200, [("Instance-Id", self.name)]))
            await writer.drain()
            return True
        common = [("Attempt-Id", attempt), ("Instance-Id", self.name)]
        if message.get("Expect-Instance", self.name) != self.name:
            writer.write(response(421, common + [("Not-Executed", "1")]))
            await writer.drain()
            return True
        if self.model:
            return await self.run_stream(message, common, reader, writer)
        return await self.run_plain(message, common, writer)

    async def run_plain(self, message, common, writer):
        self.fleet.note_run(self, message, 0)
        await asyncio.sleep(self.work_s)
        body = b"done " + message.get("Attempt-Id").encode()
        writer.write(response(200, common + [("Response-Seal", "seal." + message.get("Attempt-Id"))], body))
        await writer.drain()
        return True

    async def run_stream(self, message, common, reader, writer):
        prompt, output = (int(each) for each in message.get("Token-Counts").split(","))
        if prompt + output > self.kv or self.active >= self.slots:
            self.fleet.record.line(f"engine {self.name} rejects {message.get('Attempt-Id')} "
                                   f"({prompt}+{output} tokens), Not-Executed")
            writer.write(response(503, common + [("Not-Executed", "1")]))
            await writer.drain()
            return True
        self.active += 1
        try:
            await asyncio.sleep(self.first_token_s)
            self.fleet.note_run(self, message, prompt)
            lost = self.lose_answer is not None and self.lose_answer()
            events = max(1, output // self.fleet.stride)
            if lost:
                await asyncio.sleep(self.event_gap_s * events)
                self.fleet.record.line(f"engine {self.name} loses its answer to {message.get('Attempt-Id')}")
                reset(writer)
                return False
            head = ["HTTP/1.1 200 OK"] + [f"{key}: {value}" for key, value in common]
            head += ["Response-Seal: seal." + message.get("Attempt-Id"), "Weight-Versions: 1",
                     "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
            for number in range(1, events + 1):
                data = f"id: {number}\ndata: {'x' * 24}\n\n".encode()
                writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
                await writer.drain()
                await asyncio.sleep(self.event_gap_s)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return True
        finally:
            self.active -= 1


# ---- The fleet -----------------------------------------------------------------------------------------------

def render(template, fields):
    """Fills in a template of DEPLOY.md."""

    def look_up(path, scopes):
        if path == ".":
            return scopes[0]
        for scope in scopes:
            value = scope
            for word in path.split("."):
                if isinstance(value, dict) and word in value:
                    value = value[word]
                elif isinstance(value, list) and word.isdigit() and int(word) < len(value):
                    value = value[int(word)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def text_of(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(text_of(each) for each in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)

    def fill(text, scopes, key, last):
        out = ""
        while True:
            found = re.search(r"\{\{(.*?)\}\}", text)
            if not found:
                return out + text
            out += text[:found.start()]
            word, text = found.group(1), text[found.end():]
            if word[0] in "#^":
                name = word[1:]
                end = text.index("{{/" + name + "}}")
                inner, text = text[:end], text[end + len(name) + 5:]
                value = look_up(name, scopes)
                if word[0] == "^":
                    out += fill(inner, scopes, key, last) if not value else ""
                elif isinstance(value, list):
                    for index, each in enumerate(value):
                        out += fill(inner, [each] + scopes, index, index == len(value) - 1)
                elif value or value == 0 and value is not False and value is not None:
                    out += fill(inner, scopes, key, last)
            elif word == ",":
                out += "" if last else ","
            elif word == "@":
                out += text_of(key)
            elif word.endswith("|json"):
                out += json.dumps(look_up(word[:-5], scopes))
            else:
                out += text_of(look_up(word, scopes))

    return fill(template, [fields], None, True)


class Process:
    """A router or a relay that the script has started."""

    def __init__(self, fleet, role, name, ip, zone, extra):
        self.fleet, self.role, self.name, self.ip, self.zone, self.extra = fleet, role, name, ip, zone, extra
        self.child = None
        self.starts = 0

    def settings(self):
        fields = {"nodeName": self.name, "role": self.role, "ip": self.ip, "zone": self.zone, "region": "loop",
                  "internalPorts": [RELAY, NOTICE], "seeds": [f"{ip}:{CONTROL}" for ip in self.fleet.router_ips[:3]],
                  "zones": {self.zone: "loop"}, "heartbeatMs": 1200,
                  "listen": {"front": f"{self.ip}:{FRONT}", "readyAddress": f"{self.ip}:{READY}",
                             "control": f"{self.ip}:{CONTROL}"},
                  "limits": {"cpuShare": 0.19, "cpuCores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0,
                             "diskMb": 0},
                  "bounds": {"graceS": 8, "retryBudgetRatio": 0.2, "budgetExtra": 58, "budgetWindowS": 10,
                             "passMs": 120},
                  "platform": {"address": "%s:%d" % self.fleet.store.address}}
        if self.role == "relay":
            fields["limits"] = {"cpuShare": 0.2, "cpuCores": 1, "memoryMb": 192, "maxFds": 4096,
                                "linkMbps": 2000.0, "diskMb": 0}
            fields["app"] = f"{self.ip}:{APP}"
        for key, value in self.extra.items():
            fields[key] = {**fields[key], **value} if isinstance(value, dict) else value
        return fields

    def start(self):
        role = self.fleet.roles[self.role]
        file = self.fleet.folder / f"{self.name}.json"
        file.write_text(render((ROOT / role["template"]).read_text(), self.settings()))
        words = role["run"].split()
        program = ROOT / words[0]
        if not program.exists():
            raise CannotRun(f"{words[0]} is not built")
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["EELGRASSGW_NODE_FILE"] = str(file)
        self.child = subprocess.Popen([str(program)] + words[1:], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                      stdout=log, stderr=log)
        self.starts += 1
        self.fleet.record.line(f"{self.role} {self.name} started")

    def send(self, number):
        self.fleet.record.line(f"{signal.Signals(number).name} to {self.role} {self.name}")
        self.child.send_signal(number)

    def end(self):
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
        if self.child is not None:
            self.child.wait()

    def memory_mb(self):
        """Resident memory, and the peak of it, in MB."""
        text = Path(f"/proc/{self.child.pid}/status").read_text()
        return tuple(int(re.search(name + r":\s+(\d+) kB", text).group(1)) / 1024 for name in ("VmRSS", "VmHWM"))


class Fleet:
    """A small deployment: a store, routers, and engines with a relay beside each model engine."""

    stride = 6

    def __init__(self, folder, era=1):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="eelgrass-review-")
        self.folder = Path(self.temporary.name)
        self.roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.net = self.free_network()
        self.store = Store((f"{self.net}.250", STORE), self.record, era)
        self.processes, self.engines = [], []
        self.router_ips = []
        self.runs = []  # (time, engine, id, tenant, prompt tokens)
        self.version = 0
        self.ids = random.Random()

    @staticmethod
    def free_network():
        for _ in range(50):
            net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                for port in (STORE, FRONT, READY, CONTROL, RELAY, APP, 9464):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.250", port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback network")

    def note_run(self, engine, message, prompt):
        self.runs.append((self.record.now(), engine.name, message.get("Attempt-Id"), message.get("Tenant"), prompt))
        self.record.line(f"run {message.get('Attempt-Id')} at {engine.name} for {message.get('Tenant') or '-'}")

    def configure(self, routes, services, tenants, limits=None):
        self.version += 3
        self.store.put("config", "main", {
            "version": self.version, "routes": routes, "services": services, "tenants": tenants,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 5000,
                       "idleTimeoutMs": 20000, **(limits or {})}})

    async def start(self, routers, engines, router_extra=None, wait_for=None):
        await self.store.start()
        self.router_ips = [f"{self.net}.{10 + i}" for i in range(routers)]
        for i, (service, model) in enumerate(engines):
            engine = Engine(self, f"i-{self.ids.getrandbits(32):08x}", f"{self.net}.{100 + i}", service, "z-a", model)
            self.engines.append(engine)
            await engine.start()
            if model:
                self.processes.append(Process(self, "relay", f"side-{i + 1}", engine.ip, "z-a", {}))
        for i, ip in enumerate(self.router_ips):
            self.processes.append(Process(self, "router", f"edge-{i + 1}", ip, "z-a", router_extra or {}))
        for each in self.processes:
            each.start()
        for each in self.routers():
            await self.wait_until_ready(each, 20)

    def routers(self):
        return [each for each in self.processes if each.role == "router"]

    def relays(self):
        return [each for each in self.processes if each.role == "relay"]

    async def is_ready(self, router):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(router.ip, READY), 1)
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in head.first + " "
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_until_ready(self, router, limit_s):
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            if await self.is_ready(router):
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{router.name} did not get ready")

    def new_id(self):
        return f"{self.ids.getrandbits(64):016x}"

    def close(self):
        for each in self.processes:
            each.end()
        if os.environ.get("KEEP_LOGS"):
            subprocess.run(["cp", "-r", str(self.folder), os.environ["KEEP_LOGS"]], check=False)
        self.temporary.cleanup()


class Answer:
    def __init__(self, attempt):
        self.id = attempt
        self.status = 0      # 0: no answer.
        self.events = 0      # Whole events that arrived.
        self.complete = False
        self.body = b""
        self.headers = None

    def retry_after(self):
        return float(self.headers.get("Retry-After") or 0) if self.headers else 0.0


def request_head(attempt, host, path, headers, body, method="POST"):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Attempt-Id: {attempt}"]
    lines += [f"{key}: {value}" for key, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_answer(reader, answer):
    head = await read_head(reader)
    answer.headers = head
    answer.status = int(head.first.split(" ")[1])
    if "chunked" in head.get("Transfer-Encoding").lower():
        text = b""
        while True:
            data = await read_chunk(reader)
            if not data:
                break
            text += data
            answer.events += text.count(b"\n\n")
            text = text[text.rfind(b"\n\n") + 2:] if b"\n\n" in text else text
        answer.complete = True
        return
    length = int(head.get("Content-Length", "0") or 0)
    answer.body = await reader.readexactly(length) if length else b""
    answer.complete = True


async def call(fleet, router, host, path, headers, body=b"", deadline_ms=15000, method="POST", note=""):
    """Sends one attempt on a new connection and returns its answer."""
    attempt = fleet.new_id()
    answer = Answer(attempt)
    fleet.record.line(f"sent {attempt} to {router.name} {path} {note}")
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(router.ip, FRONT, limit=1 << 20), 1)
        writer.write(request_head(attempt, host, path, [("Deadline-Ms", str(deadline_ms))] + list(headers), body,
                                  method))
        await asyncio.wait_for(read_answer(reader, answer), deadline_ms / 1000 + 1)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    fleet.record.line(f"answered {attempt} {answer.status or 'nothing'} events {answer.events} "
                      f"complete {answer.complete}")
    return answer


def play(folder, main, limit_s=115):
    """Runs a case: `main` returns whether the rule held, and a text that says what was seen."""
    async def bounded():
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)  # Connections that end with the script.
        return await asyncio.wait_for(main(), limit_s)
    try:
        held, seen = asyncio.run(bounded())
    except CannotRun as error:
        print("could not run:", error)
        return 2
    except asyncio.TimeoutError:
        print("could not run: the case took too long")
        return 2
    except Exception as error:  # An error of the script itself must not look like a broken rule.
        print("could not run:", repr(error))
        return 2
    print(("held: " if held else "BROKEN: ") + seen)
    return 0 if held else 1
