"""A small deployment on loopback: stand-ins of the platform, its store, backends and clients.

The nodes are the project's own program, started with the command and the settings template of the deploy file. Each
machine has a loopback address of its own. All stand-ins run in one asyncio loop, so their clocks agree.
"""

import asyncio
import atexit
import base64
import dataclasses
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.5
CONTACT_S = 3.0
DRAIN_S = 2.0
HOST = "shop.example"
RULE_BROKEN = 1
RULE_HELD = 0
CANNOT_RUN = 2


def now():
    return time.monotonic()


class CannotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with the time since the start of the case."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = now()

    def line(self, text):
        self._file.write(f"{now() - self._start:9.3f} {text}\n")

    def seconds(self, moment):
        return moment - self._start

    def close(self):
        self._file.close()


@dataclasses.dataclass
class Message:
    start: str
    headers: dict
    body: bytes

    @property
    def method(self):
        return self.start.split(" ")[0]

    @property
    def target(self):
        return self.start.split(" ")[1]

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def read_message(reader, head_only=False):
    """Reads one HTTP/1.1 message. Returns None if the connection ends before its first byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if not head_only:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).strip(), 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    break
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    return Message(lines[0], headers, body)


def response(status, reason, headers=None, body=b""):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def request(method, target, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines + ["", ""]).encode("latin-1") + body


class Store:
    """The platform's metadata store: a log of topics in memory."""

    def __init__(self, address):
        self.address = address
        self.port = 0
        # While set, calls get no answer, and their connections return nothing further.
        self.silent = False
        self._topics = {}
        self._changed = asyncio.Condition()
        self._connections = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.address, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    def put(self, topic, key, document):
        """Writes a record of the operator."""
        encoded = key.encode()
        self._topics.setdefault(topic, []).append(bytes([len(encoded)]) + encoded + json.dumps(document).encode())

    async def notify(self):
        """Wakes the reads that wait for records."""
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        try:
            while message := await read_message(reader):
                lost = self.silent
                answer = await self._answer(message)
                if lost or self.silent:
                    await reader.read()
                    return
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer(self, message):
        path, _, query = message.target.partition("?")
        values = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        topic = self._topics.setdefault(values.get("topic", ""), [])
        if path == "/goldcrestwell/log-append":
            if "at" in values and int(values["at"]) != len(topic):
                return self._json(412, "Precondition Failed", {"end": len(topic)})
            first, body = len(topic), message.body
            while body:
                (length,) = struct.unpack(">I", body[:4])
                topic.append(body[4 : 4 + length])
                body = body[4 + length :]
            await self.notify()
            return self._json(200, "OK", {"offset": first, "end": len(topic)})
        if path == "/goldcrestwell/log-read":
            start = int(values["from"])
            deadline = now() + int(values.get("wait_ms", 0)) / 1000
            while len(topic) <= start and now() < deadline:
                async with self._changed:
                    try:
                        await asyncio.wait_for(self._changed.wait(), deadline - now())
                    except asyncio.TimeoutError:
                        break
            body = struct.pack(">QQ", len(topic), 0)
            for record in topic[start:]:
                body += struct.pack(">I", len(record)) + record
            return response(200, "OK", {"Content-Type": "application/octet-stream"}, body)
        if path == "/goldcrestwell/log-newest":
            newest = {}
            for offset, record in enumerate(topic):
                newest[record[1 : 1 + record[0]]] = (record[1 + record[0] :], offset)
            items = [
                {"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in sorted(newest.items())
                if value
            ]
            return self._json(200, "OK", {"items": items, "more": False, "end": len(topic)})
        return self._json(404, "Not Found", {})

    @staticmethod
    def _json(status, reason, document):
        return response(status, reason, {"Content-Type": "application/json"}, json.dumps(document).encode())


def free_port(address, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def free_peer_port(address):
    """Returns a port that is free for TCP and UDP."""
    for _ in range(50):
        port = free_port(address)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            try:
                probe.bind((address, port))
                return port
            except OSError:
                continue
    raise CannotRun("no port that is free for TCP and UDP")


def render(template, fields):
    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return str(found)

    return re.sub(r"\{\{([a-z_0-9.]+)\}\}", value, template)


class Machine:
    """A sidecar machine: its address, its node and the settings of the node."""

    def __init__(self, fleet, number, service, zone):
        self.fleet = fleet
        self.name = f"machine-{number}"
        self.ip = f"127.0.{10 + number}.1"
        self.service = service
        self.zone = zone
        self.ports = {name: free_port(self.ip) for name in ("outbound", "inbound", "ready", "admin", "app", "status")}
        self.peer_port = free_peer_port(self.ip)
        self.process = None
        self.started_at = None

    @property
    def app_address(self):
        return f"{self.ip}:{self.ports['app']}"

    def start(self):
        listen = {name: f"{self.ip}:{self.ports[name]}" for name in ("outbound", "inbound", "ready", "admin")}
        fields = {
            "ip": self.ip,
            "zone": self.zone,
            "region": "north",
            "service": self.service,
            "app_addr": self.app_address,
            "listen": listen,
            "port_range": [self.peer_port, self.ports["status"]],
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "platform": {"address": f"{self.fleet.store.address}:{self.fleet.store.port}"},
            "bounds": {"drain_ms": int(DRAIN_S * 1000), "budget_extra": 64, "grace_s": 6},
        }
        settings = self.fleet.folder / f"{self.name}.conf"
        settings.write_text(render((ROOT / "deploy" / "settings.json").read_text(), fields))
        # The command of the deploy file, with the path of these settings.
        with open(self.fleet.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                ["target/goldcrestwell", "sidecar", "--settings", str(settings)],
                cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        # Also ends the process if the case itself is ended.
        atexit.register(self.process.kill)
        self.started_at = now()
        self.fleet.record.line(f"platform starts the node of {self.name} ({self.ip}, pid {self.process.pid})")

    def signal(self, number):
        self.fleet.record.line(f"platform sends {signal.Signals(number).name} to the node of {self.name}")
        self.process.send_signal(number)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ports["ready"])
            writer.write(request("GET", "/goldcrestwell/ready", {"Host": self.ip}))
            message = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return message is not None and message.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


def resident_mb(pid):
    """Returns the resident memory of a process in MiB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


class MemoryLimit:
    """Kills a process that exceeds the memory of its machine and starts it again, as the platform does."""

    CHECK_S = 0.005
    RESTART_S = 0.5

    def __init__(self, machine, limit_mb):
        self.peak_mb = 0.0
        self.kills = 0
        self._machine = machine
        self._limit_mb = limit_mb
        self._task = asyncio.create_task(self._watch())

    def stop(self):
        self._task.cancel()

    async def _watch(self):
        while True:
            try:
                used = resident_mb(self._machine.process.pid)
            except OSError:
                used = 0.0
            self.peak_mb = max(self.peak_mb, used)
            if used > self._limit_mb:
                self._machine.fleet.record.line(
                    f"the node of {self._machine.name} uses {used:.0f} MiB, more than memory_mb={self._limit_mb}")
                self.kills += 1
                self._machine.signal(signal.SIGKILL)
                self._machine.process.wait()
                await asyncio.sleep(self.RESTART_S)
                self._machine.start()
            await asyncio.sleep(self.CHECK_S)


@dataclasses.dataclass
class Run:
    """A request at a backend."""

    at: float
    request_id: str
    instance: str


class Backend:
    """A backend beside a node, as the platform's pages describe one."""

    def __init__(self, machine, instance, version="v1", work_s=0.1, slots=9):
        self.machine = machine
        self.instance = instance
        self.version = version
        self.work_s = work_s
        self.slots = slots
        self.announced_slots = slots
        self.running = 0
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.runs = []
        self._beats = None
        self._connections = set()
        self._record = machine.fleet.record

    async def start(self, beats=True):
        self._server = await asyncio.start_server(
            self._serve, self.machine.ip, self.machine.ports["app"], reuse_address=True, limit=1 << 20)
        if beats:
            self._beats = asyncio.create_task(self._announce())

    def stop(self):
        """Ends the backend; what runs on its connections is lost."""
        self.stop_beats()
        self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    def stop_beats(self):
        if self._beats is not None:
            self._beats.cancel()
            self._beats = None

    async def _announce(self):
        while True:
            await self.send_heartbeat(self.next_heartbeat())
            await asyncio.sleep(HEARTBEAT_S)

    def next_heartbeat(self):
        """Returns a heartbeat as it is said now; it may be delivered later."""
        self.sequence += 1
        body = {"service": self.machine.service, "address": self.machine.app_address, "zone": self.machine.zone,
                "version": self.version, "slots": self.announced_slots, "state": self.state, "cold_left_ms": 0,
                "sequence": self.sequence, "born": self.born}
        return request("PUT", f"/goldcrestwell/instances/{self.instance}",
                       {"Host": self.machine.ip, "Content-Type": "application/json"}, json.dumps(body).encode())

    async def send_heartbeat(self, message, note=""):
        return await self._call_node(message, f"PUT{note}")

    async def withdraw(self):
        """Sends DELETE; returns the time of the acknowledgement."""
        message = request("DELETE", f"/goldcrestwell/instances/{self.instance}", {"Host": self.machine.ip})
        return await self._call_node(message, "DELETE")

    async def _call_node(self, message, name):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.machine.ip, self.machine.ports["admin"]), 1)
            writer.write(message)
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            if answer is None:
                raise ConnectionError
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self._record.line(f"{self.instance}: {name} gets no acknowledgement")
            return None
        self._record.line(f"{self.instance}: {name} is answered {answer.status} by the node of {self.machine.name}")
        return now() if answer.status == 200 else None

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        try:
            while message := await read_message(reader):
                await self._answer(message, reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    def rejects(self, message):
        """Returns the response of a backend that does not run the request, or None."""
        target = message.headers.get("goldcrestwell-target-instance")
        if target is not None and target != self.instance:
            return response(421, "Misdirected Request", {"Goldcrestwell-Instance-Id": self.instance})
        if self.running >= self.slots:
            return response(503, "Service Unavailable", {"Goldcrestwell-Not-Executed": "1"})
        return None

    async def _answer(self, message, _reader, writer):
        request_id = message.headers.get("goldcrestwell-request-id", "")
        rejected = self.rejects(message)
        if rejected is not None:
            self._record.line(f"{self.instance}: rejects {request_id}: {rejected.split(b' ')[1].decode()}")
            writer.write(rejected)
            return
        self.runs.append(Run(now(), request_id, self.instance))
        self._record.line(f"{self.instance}: runs {request_id}")
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        writer.write(self.success(request_id))

    def success(self, request_id):
        return self.response_with(request_id, f"answer of {self.instance} to {request_id}".encode())

    def response_with(self, request_id, body):
        return response(200, "OK", {"Goldcrestwell-Request-Id": request_id,
                                    "Goldcrestwell-Response-Signature": f"sig.{self.instance}.{request_id}"}, body)


@dataclasses.dataclass
class Attempt:
    """One attempt of a client."""

    request_id: str
    machine: str
    sent_at: float
    kept_connection: bool = False
    status: int = 0
    outcome: str = "waiting"
    ended_at: float = 0.0


class Client:
    """A client on a machine; it keeps its connection for further requests."""

    def __init__(self, machine, name, deadline_ms=2500):
        self.machine = machine
        self.name = name
        self.deadline_ms = deadline_ms
        self.attempts = []
        self._number = 0
        self._connection = None
        self._record = machine.fleet.record
        machine.fleet.clients.append(self)

    async def send(self, method, path, body=b""):
        self._number += 1
        attempt = Attempt(f"{self.name}-{self._number}", self.machine.name, now())
        self.attempts.append(attempt)
        try:
            await asyncio.wait_for(self._exchange(attempt, method, path, body), self.deadline_ms / 1000 + 0.5)
        except asyncio.TimeoutError:
            attempt.outcome = "no answer"
            self.close()
        except (OSError, asyncio.IncompleteReadError):
            attempt.outcome = "connection closed"
            self.close()
        attempt.ended_at = now()
        self._record.line(f"client {self.name} on {self.machine.name}: {attempt.request_id} {method} {path} "
                          f"({len(body)} bytes): {attempt.outcome}")
        return attempt

    async def _exchange(self, attempt, method, path, body):
        attempt.kept_connection = self._connection is not None
        if self._connection is None:
            self._connection = await asyncio.open_connection(self.machine.ip, self.machine.ports["outbound"])
        reader, writer = self._connection
        attempt.sent_at = now()
        writer.write(request(method, path, {"Host": HOST, "Goldcrestwell-Request-Id": attempt.request_id,
                                            "Goldcrestwell-Deadline-Ms": self.deadline_ms}, body))
        await writer.drain()
        answer = await read_message(reader)
        if answer is None:
            raise ConnectionResetError
        attempt.status = answer.status
        attempt.outcome = f"status {answer.status}"
        if answer.headers.get("connection", "").lower() == "close":
            self.close()

    def close(self):
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None


class Fleet:
    """The whole deployment; use it as an asynchronous context."""

    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store("127.0.9.1")
        self.machines = []
        self.backends = []
        self.clients = []

    async def __aenter__(self):
        if not (ROOT / "target" / "goldcrestwell").exists():
            raise CannotRun("target/goldcrestwell is missing: build by the deploy file first")
        await self.store.start()
        return self

    async def __aexit__(self, *_):
        for client in self.clients:
            client.close()
        for machine in self.machines:
            machine.stop()
        for backend in self.backends:
            backend.stop()
        self.store.stop()
        # Lets the transports close before the loop ends.
        await asyncio.sleep(0.1)
        shutil.rmtree(self.folder, ignore_errors=True)

    def add_machine(self, service, zone="a"):
        machine = Machine(self, len(self.machines) + 1, service, zone)
        self.machines.append(machine)
        return machine

    def add_backend(self, backend):
        self.backends.append(backend)
        return backend

    def put_config(self, version, routes, services, max_body_bytes=67_108_864):
        """Writes the configuration with the limits that the wire page shows."""
        self.store.put("keyed.op", "config", {
            "version": version,
            "routes": routes,
            "services": {name: {"health_path": "/health", "max_connections": 130, "protocol": "h1", "tls": False}
                         for name in services},
            "limits": {"max_header_bytes": 16384, "max_body_bytes": max_body_bytes, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "base_version": 0,
        })

    async def wait_until_ready(self, timeout_s=15):
        deadline = now() + timeout_s
        for machine in self.machines:
            while not await machine.is_ready():
                if now() > deadline:
                    raise CannotRun(f"{machine.name} is not ready after {timeout_s} s")
                await asyncio.sleep(0.1)
        self.record.line("all nodes are ready")


def route(prefix, service, kind, timeout_ms=1200, target_latency_ms=600, max_attempts=2, priority=1):
    return {"host": HOST, "path_prefix": prefix, "route_kind": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": target_latency_ms, "priority": priority, "service": service,
            "max_attempts": max_attempts}


def main(case, folder):
    """Runs a case: a coroutine function of a record and a flag for the disruption.

    It returns whether the rule was broken, and a text.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    try:
        broken, text = asyncio.run(case(record, trouble))
    except CannotRun as error:
        record.line(f"cannot run: {error}")
        print(f"cannot run: {error}")
        return CANNOT_RUN
    verdict = f"{'RULE BROKEN' if broken else 'rule held'}: {text}"
    record.line(verdict)
    record.close()
    print(verdict)
    return RULE_BROKEN if broken else RULE_HELD


def run(case, file):
    sys.exit(main(case, pathlib.Path(file).resolve().parent))
