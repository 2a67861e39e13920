"""Stand-ins and a gateway launcher for the cases of this review. Python 3, standard library only.

All addresses are loopback addresses with ports that the system chose. Every process is started by Gateway and ended
by its id.
"""

import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HELD, NOT_RUN = 0, 2


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
            self.file.flush()


def read_head(sock, buffered=b""):
    """Returns (head, rest), or (None, bytes) if the peer ended before the head was whole."""
    data = buffered
    while b"\r\n\r\n" not in data:
        piece = sock.recv(65536)
        if not piece:
            return None, data
        data += piece
    head, _, rest = data.partition(b"\r\n\r\n")
    return head.decode("latin-1"), rest


def header(head, name, default=""):
    for line in head.split("\r\n")[1:]:
        key, _, value = line.partition(":")
        if key.strip().lower() == name.lower():
            return value.strip()
    return default


def read_message(sock, buffered=b""):
    """Returns (head, body, rest) of a message with Content-Length; head is None if it was not whole."""
    head, rest = read_head(sock, buffered)
    if head is None:
        return None, b"", rest
    length = int(header(head, "Content-Length", "0"))
    while len(rest) < length:
        piece = sock.recv(65536)
        if not piece:
            return None, rest, b""
        rest += piece
    return head, rest[:length], rest[length:]


def listen(host="127.0.0.1"):
    server = socket.socket()
    server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    server.bind((host, 0))
    server.listen(1024)
    return server


class Server:
    """Accepts connections and serves each in a thread of its own."""

    def __init__(self):
        self.socket = listen()
        self.port = self.socket.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        try:
            self.serve(connection)
        except OSError:
            pass
        finally:
            connection.close()


class Discovery(Server):
    """The agent of discovery: the whole list, and a watch with an empty line every 2 s."""

    def __init__(self, endpoints):
        self.endpoints = endpoints
        super().__init__()

    def document(self):
        return json.dumps({"index": 1, "snapshot": True, "endpoints": self.endpoints}).encode() + b"\n"

    def serve(self, connection):
        rest = b""
        while True:
            head, rest = read_head(connection, rest)
            if head is None:
                return
            body = self.document()
            if "follow=1" not in head.split("\r\n")[0]:
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                continue
            connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                connection.sendall(b"%x\r\n" % len(body) + body + b"\r\n")
                body = b"\n"
                time.sleep(2)


class Counter(Server):
    """The counter: adds an amount to a name and answers with the total."""

    def __init__(self):
        self.totals = {}
        self.lock = threading.Lock()
        super().__init__()

    def serve(self, connection):
        rest = b""
        while True:
            head, _, rest = read_message(connection, rest)
            if head is None:
                return
            path = head.split(" ")[1]
            name, _, query = path.removeprefix("/v1/count/").partition("?")
            values = dict(item.split("=", 1) for item in query.split("&"))
            with self.lock:
                now = time.monotonic()
                total, end = self.totals.get(name, (0.0, 0.0))
                if now >= end:
                    total, end = 0.0, now + min(60.0, int(values["ttl_ms"]) / 1000)
                total += float(values["add"])
                self.totals[name] = (total, end)
            body = f"{total:.7g}".encode()
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


class RecordsServer(Server):
    """Runs each request once it has arrived whole, records that, and lets `answer` write the answer.

    answer(connection, head, request_id) returns whether the connection stays open.
    """

    def __init__(self, name, record, answer):
        self.name, self.record, self.answer = name, record, answer
        self.run = []
        super().__init__()

    def entry(self):
        return {"name": self.name, "address": self.address, "zone": "hel-1", "type": "small-2c", "group": 0,
                "status": "in_service", "weight": 1.0, "since_ms": 0}

    def serve(self, connection):
        rest = b""
        while True:
            head, _, rest = read_message(connection, rest)
            if head is None:
                return
            request_id = header(head, "Request-Id")
            self.run.append(request_id)
            self.record(f"{self.name} runs {request_id}, told {header(head, 'Request-Timeout-Ms')} ms")
            if not self.answer(connection, head, request_id):
                return


def body_for(request_id):
    return f"record of {request_id}\n".encode()


def answer_at_once(connection, _head, request_id):
    body = body_for(request_id)
    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    return True


def settings(**changes):
    """The settings of kirjaamo-helsinki, as in the example of the wire's page, for a single gateway."""
    plans = [("pieni", 1.6, 8, 0.5, 0.3, 0.0), ("perus", 1.8, 8, 0.8, 0.0, 1.2), ("laaja", 5.6, 23, 1.2, 0.0, 1.0),
             ("kunta", 20.0, 39, 1.4, 0.0, 0.5)]
    result = {
        "allowed": {"cancel": True, "dialTimeoutS": 0.25, "keepaliveS": 30.0, "maxAttempts": 4, "maxOpen": 20000,
                    "maxRetryAfterS": 1.0, "parallelTries": True, "peerMessages": False, "probes": False,
                    "retryAfter": True},
        "balancers": 1, "me": 0, "callers": {"marksRetry": False}, "discovery": "push",
        "classes": [
            {"name": "record-read", "effect": "safe", "aimS": 1.5, "deadlineS": 6.0, "group": "all", "lateWorth": 0.0,
             "points": 3.0, "windowS": 5.0},
            {"name": "hours-entry", "effect": "unsafe", "aimS": 2.0, "deadlineS": 8.0, "group": "all",
             "lateWorth": 0.0, "points": 5.0, "windowS": 5.0}],
        "contracts": [
            {"name": name, "perSecond": rate, "depth": depth, "price": price, "overWorth": over, "overrunCost": cost,
             "concurrency": 0, "neverOverRate": 0.0, "neverOverDepth": 0.0, "tolerance": 0.0}
            for name, rate, depth, price, over, cost in plans],
        "domain": {"countFee": 0.02, "counterTimeoutS": 0.08, "inboxPerS": 0.0, "maxUnits": 4, "mayCount": True,
                   "meteringS": 1.0, "postPaid": True},
        "report": {"fields": [], "how": "off"},
        "rules": {"answerSlackS": 0.008, "coldFrom": 0.16, "drainGraceS": 1.0, "fallMultiple": 2.5, "mustAskInS": 10.0,
                  "tipAfterS": 3.0, "warmWithinS": 16.0},
        "kinds": ["small-2c"], "zones": ["hel-1"], "locality": 0, "tier": 0, "tiers": ["records-servers"],
        "weights": "nominal"}
    result.update(changes)
    return result


def run_command():
    found = re.search(r'^run = "([^"]+)"', (ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"), re.MULTILINE)
    if not found:
        raise CannotRun("the deploy file names no command run")
    return found.group(1)


class Gateway:
    """One gateway process, started with the command of the deploy file."""

    def __init__(self, discovery, counter, endpoints, sockets=1024, memory_mb=192, changes=None, binary=None):
        self.folder = tempfile.TemporaryDirectory()
        reserved = listen()
        self.port = reserved.getsockname()[1]
        reserved.close()
        config = {"name": "n0", "listen": f"127.0.0.1:{self.port}", "discovery": discovery.address,
                  "counter": counter.address, "seed": "8c1f30d27a5be964",
                  "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                  "known": {"index": 1, "snapshot": True, "endpoints": endpoints},
                  "settings": settings(**(changes or {}))}
        path = pathlib.Path(self.folder.name) / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        run = binary or run_command()
        self.log = open(pathlib.Path(self.folder.name) / "log.txt", "w+", encoding="utf-8")
        environment = {**os.environ, "EDGE_CONFIG": str(path), "EDGE_NAME": "n0",
                       "EDGE_LISTEN": f"127.0.0.1:{self.port}", "EDGE_DISCOVERY": discovery.address}
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment, stderr=self.log,
                                        stdin=subprocess.DEVNULL)
        if "CASE_PIDS" in os.environ:  # run.sh ends what is left if the case does not end by itself
            with open(os.environ["CASE_PIDS"], "a", encoding="utf-8") as pids:
                pids.write(f"{self.process.pid}\n")
        self._wait_until_ready()

    def _wait_until_ready(self):
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline and self.process.poll() is None:
            try:
                with self.connect() as client:
                    client.sendall(b"GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
                    head, _ = read_head(client)
                    if head and " 200 " in head.split("\r\n")[0]:
                        return
            except OSError:
                pass
            time.sleep(0.05)
        self.end()
        raise CannotRun("the gateway did not become ready")

    def connect(self, timeout=20):
        client = socket.create_connection(("127.0.0.1", self.port), timeout=timeout)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return client

    def signal(self, number):
        os.kill(self.process.pid, number)

    def wait(self, timeout):
        try:
            return self.process.wait(timeout)
        except subprocess.TimeoutExpired:
            return None

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def request(request_id, name="record-read", plan="kunta", tenant=1, timeout_ms=6000, body=b"", headers=""):
    method = "GET" if name == "record-read" else "POST"
    text = (f"{method} /{name} HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {request_id}\r\nRequest-Class: {name}\r\n"
            f"X-Contract: {plan}\r\nX-Client-Id: {tenant:016x}\r\nRequest-Timeout-Ms: {timeout_ms}\r\n"
            f"X-Metering: units=1,spread=1,first=0\r\n{headers}")
    if method == "GET":
        return text.encode() + b"\r\n"
    return text.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


def status_of(head):
    return int(head.split(" ")[1]) if head else 0


def play(folder, case):
    """Plays the case and writes its facts, which the folder's judge reads, at the end of record.txt.

    case(record, trouble) returns the facts: names with whole numbers.
    """
    record = Record(folder)
    try:
        facts = case(record, os.environ.get("TROUBLE", "1") != "0")
    except (CannotRun, OSError, ValueError) as error:
        record(f"could not run: {error!r}")
        os._exit(NOT_RUN)
    for name, value in facts.items():
        record(f"fact {name} {value}")
    os._exit(HELD)
