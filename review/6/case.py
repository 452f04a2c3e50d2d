"""Clients on kept connections send the next request as soon as they have the answer; some requests never get one."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from kit2 import FRONT, Fleet, TROUBLE, play, request_head  # noqa: E402

HOST, PATH = "desk.example", "/lots/x"
TIMEOUT_S = 1.0       # The route's timeoutMs.
DEADLINE_S = 2.5      # The clients' Deadline-Ms.
CLIENTS = 20          # For each router.
WORK_S = 0.03         # The site's booking-svc.
PAUSE_S = 0.02        # Between an answer and the next request at the usual pace.
CALM_S, BURST_S = 3, 3


class Client(asyncio.Protocol):
    """Uses one kept connection: sends a request, takes its answer, sends the next one."""

    def __init__(self, case):
        self.case, self.data, self.request, self.timer, self.transport = case, b"", None, None, None

    def connection_made(self, transport):
        self.transport = transport
        self.send()

    def send(self):
        if self.transport.is_closing() or self.case.over:
            self.transport.close()
            return
        attempt = self.case.fleet.new_id()
        self.request = [attempt, self.case.fleet.record.now(), None, 0]
        self.case.requests.append(self.request)
        self.transport.write(request_head(attempt, HOST, PATH, [("Deadline-Ms", str(int(DEADLINE_S * 1000)))], b"lot"))
        self.timer = asyncio.get_running_loop().call_later(DEADLINE_S, self.give_up)

    def data_received(self, data):
        self.data += data
        head, mark, body = self.data.partition(b"\r\n\r\n")
        if not mark:
            return
        length = next(int(line.split(b":")[1]) for line in head.split(b"\r\n") if line.startswith(b"Content-Length"))
        if len(body) < length:
            return
        self.data = b""
        self.timer.cancel()
        self.request[2], self.request[3] = self.case.fleet.record.now(), int(head.split(b" ")[1])
        if self.case.presses:
            self.send()
        else:
            asyncio.get_running_loop().call_later(PAUSE_S, self.send)

    def give_up(self):
        """The deadline has passed: the client closes its connection and opens another one."""
        self.transport.close()
        self.case.connect()

    def connection_lost(self, error):
        if self.timer is not None:
            self.timer.cancel()


class Case:
    def __init__(self, fleet):
        self.fleet, self.requests, self.presses, self.over, self.connected = fleet, [], False, False, 0

    def connect(self):
        if not self.over:
            router = self.fleet.routers()[self.connected % 2]
            self.connected += 1
            asyncio.ensure_future(asyncio.get_running_loop().create_connection(lambda: Client(self), router.ip, FRONT))


async def main():
    fleet = Fleet(FOLDER)
    try:
        fleet.configure(
            [{"name": "lots", "hostname": HOST, "pathPrefix": "/lots/", "service": "booking",
              "kind": "non_idempotent", "timeoutMs": int(TIMEOUT_S * 1000), "targetLatencyMs": 150, "maxAttempts": 1,
              "priority": 2, "sticky": False, "resumable": False, "public": True}],
            [{"name": "booking", "healthPath": "/healthz", "maxConnections": 110}], [])
        await fleet.start(2, [("booking", False)] * 4)
        for engine in fleet.engines:
            engine.work_s = WORK_S
        await asyncio.sleep(4)  # The machines are in touch from contactMs (3 s) after their start.
        case = Case(fleet)
        for _ in range(2 * CLIENTS):
            case.connect()
        await asyncio.sleep(CALM_S)
        calm = len(case.requests)
        case.presses = TROUBLE
        fleet.record.line("burst begins" if TROUBLE else "no burst")
        await asyncio.sleep(BURST_S)
        pressed = len(case.requests) - calm
        case.presses = False
        fleet.record.line("burst ends")
        await asyncio.sleep(CALM_S)
        case.over = True
        await asyncio.sleep(DEADLINE_S)
        requests = case.requests

        ran = {attempt for _, _, attempt, _, _ in fleet.runs}
        late, silent = [], []
        for attempt, sent_at, answered_at, status in requests:
            took = answered_at - sent_at if answered_at else None
            fleet.record.line(f"{attempt} sent {sent_at:.3f} answered "
                              f"{f'{answered_at:.3f} {status}' if took else 'never'} "
                              f"{'ran' if attempt in ran else 'did not run'}")
            if took is None or took > TIMEOUT_S:
                late.append(attempt)
                if took is None or took > TIMEOUT_S + 0.5:
                    silent.append(attempt)
        lost = sum(attempt not in ran for attempt in silent)
        seen = (f"{len(requests)} requests, {calm / CALM_S:.0f} a second at the usual pace and {pressed / BURST_S:.0f} in "
                f"the burst; {len(late)} lasted longer than timeoutMs, {len(silent)} of them had no answer 0.5 s after "
                f"it; of these {lost} reached no engine")
        fleet.record.line(seen)
        return not (len(silent) >= 8 and len(silent) > len(late) / 4), seen
    finally:
        fleet.close()


sys.exit(play(FOLDER, main))
