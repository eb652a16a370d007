"""Stand-ins of the platform's store, backends and clients, and a runner of sidecar processes.

The stand-ins run in the process of the case. Each machine has a loopback address of its own. The sidecars are separate
processes, started with the command of the deploy file and with the settings template of the deploy file.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def now_ms():
    return int(time.time() * 1000)


class Record:
    """Writes what was sent, answered and run to record.txt, with the time in seconds since the start of the case."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def time(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.time():8.3f} {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


class Message:
    def __init__(self, first, headers, body, complete=True):
        self.first = first
        self.headers = headers
        self.body = body
        self.complete = complete

    def header(self, name):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None

    @property
    def status(self):
        return int(self.first.split()[1])


async def read_message(reader):
    """Reads a message with a length or in chunks; returns None at an orderly end, raises an error at any other end."""
    head = b""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
    message = Message(lines[0], headers, b"")
    length = message.header("Content-Length")
    if (message.header("Transfer-Encoding") or "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip().split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                break
            message.body += data[:-2]
    elif length:
        message.body = await reader.readexactly(int(length))
    return message


def encode_response(status, headers, body):
    reasons = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
               421: "Misdirected Request", 500: "Internal Server Error", 503: "Service Unavailable",
               504: "Gateway Timeout"}
    head = f"HTTP/1.1 {status} {reasons.get(status, 'Status')}\r\n"
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


class Server:
    """HTTP/1.1 server; `handle` returns the bytes of the response or None to close the connection."""

    def __init__(self, address, port, handle, limit=1 << 20):
        self.address, self.port, self.handle, self.limit = address, port, handle, limit
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port, limit=self.limit,
                                                 reuse_address=True)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                response = await self.handle(message, reader, writer)
                if response is None:
                    break
                writer.write(response)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            # Cancelled only at the end of the case.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def stop(self):
        if self.server:
            self.server.close()
            self.server = None
        self.close_connections()


class Store:
    """The platform's store: topics with one partition, offsets without gaps, nothing that was acknowledged is lost."""

    def __init__(self, address, port, record):
        self.record = record
        self.topics = {}
        self.changed = asyncio.Event()
        self.server = Server(address, port, self.handle)
        self.address = f"{address}:{port}"
        self.silent = False

    def append(self, topic, key, value):
        records = self.topics.setdefault(topic, [])
        key = key.encode()
        records.append(bytes([len(key)]) + key + value)
        self.changed.set()
        self.changed = asyncio.Event()
        return len(records) - 1

    def newest(self, topic):
        items = {}
        for offset, content in enumerate(self.topics.get(topic, [])):
            size = content[0]
            items[content[1:1 + size].decode()] = (content[1 + size:], offset)
        return {key: item for key, item in items.items() if item[0]}

    async def handle(self, message, reader, writer):
        method, target, _ = message.first.split()
        path, _, query = target.partition("?")
        values = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        topic = values.get("topic", "")
        records = self.topics.setdefault(topic, [])
        if self.silent:
            await asyncio.sleep(3600)
        await asyncio.sleep(0.004)
        as_json = [("Content-Type", "application/json")]
        if path.endswith("/log-newest"):
            items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                     for key, (value, offset) in self.newest(topic).items()]
            body = json.dumps({"items": items, "more": False, "end": len(records)}).encode()
            return encode_response(200, as_json, body)
        if path.endswith("/log-read"):
            start = int(values["from"])
            end = time.monotonic() + int(values.get("wait_ms", "0")) / 1000
            while start >= len(records) and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    break
            body = struct.pack(">QQ", len(records), 0)
            for content in records[start:]:
                body += struct.pack(">I", len(content)) + content
            return encode_response(200, [], body)
        if path.endswith("/log-append"):
            if "at" in values and int(values["at"]) != len(records):
                return encode_response(412, as_json, json.dumps({"end": len(records)}).encode())
            body, offset = message.body, len(records)
            while body:
                size = struct.unpack(">I", body[:4])[0]
                records.append(body[4:4 + size])
                body = body[4 + size:]
            self.record.line(f"store: {topic} gets {[r[1:1 + r[0]].decode() for r in records[offset:]]}")
            self.changed.set()
            self.changed = asyncio.Event()
            return encode_response(200, as_json, json.dumps({"offset": offset, "end": len(records)}).encode())
        return encode_response(404, [], b"")


class Backend:
    """A sound backend: `slots` requests at once, a short queue, heartbeats to the sidecar on its machine."""

    def __init__(self, machine, service, version="v1", slots=9, work=0.15, queue=36):
        self.machine, self.service, self.version, self.slots = machine, service, version, slots
        self.work, self.queue_limit = work, queue
        self.id = "i-" + os.urandom(5).hex()
        self.born = now_ms()
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.record = machine.fleet.record
        self.server = Server(machine.address, machine.ports["app"], self.handle)
        self.runs = machine.fleet.runs
        self.beating = None
        self.acknowledged_at = None

    async def start(self):
        await self.server.start()
        self.beating = asyncio.create_task(self.beat_loop())

    async def beat_loop(self):
        while True:
            await self.beat()
            await asyncio.sleep(self.machine.fleet.heartbeat)

    async def beat(self):
        self.sequence += 1
        body = {"service": self.service, "address": f"{self.machine.address}:{self.machine.ports['app']}",
                "zone": self.machine.zone, "version": self.version, "slots": self.slots, "state": self.state,
                "cold_left_ms": 0, "sequence": self.sequence, "born": self.born}
        state = self.state
        answer = await http_call(self.machine.address, self.machine.ports["admin"], "PUT",
                                 f"/goldcrestwell/instances/{self.id}",
                                 [("Content-Type", "application/json")], json.dumps(body).encode(), 1.0)
        if answer is not None and answer.status // 100 == 2 and state == "draining" and not self.acknowledged_at:
            self.acknowledged_at = self.record.time()
            self.record.line(f"backend {self.id}: its draining is acknowledged")
        return answer

    async def handle(self, message, reader, writer):
        request_id = message.header("Goldcrestwell-Request-Id")
        target = message.header("Goldcrestwell-Target-Instance")
        echo = [("Goldcrestwell-Request-Id", request_id)] if request_id else []
        load = [("Goldcrestwell-Server-Load", f"{self.running},{self.waiting},{self.slots}")]
        if request_id is None:
            return encode_response(400, [("Goldcrestwell-Not-Executed", "1")], b"")
        if target is not None and target != self.id:
            return encode_response(421, echo + [("Goldcrestwell-Instance-Id", self.id)], b"")
        if self.waiting >= self.queue_limit:
            return encode_response(503, echo + load + [("Goldcrestwell-Not-Executed", "1")], b"")
        deadline = time.monotonic() + int(message.header("Goldcrestwell-Deadline-Ms") or 10_000) / 1000
        self.waiting += 1
        await self.free.acquire()
        self.waiting -= 1
        try:
            if time.monotonic() >= deadline:
                return encode_response(503, echo + load + [("Goldcrestwell-Not-Executed", "1")], b"")
            self.running += 1
            self.runs.append((self.record.time(), request_id, self.id, message.first.split()[0], len(message.body)))
            self.record.line(f"backend {self.id} ({self.service} {self.version}) runs {request_id}")
            work = self.work(message) if callable(self.work) else self.work
            left = deadline - time.monotonic()
            watch = asyncio.create_task(wait_closed(reader))
            sleep = asyncio.create_task(asyncio.sleep(min(work, left)))
            done, _ = await asyncio.wait({watch, sleep}, return_when=asyncio.FIRST_COMPLETED)
            watch.cancel()
            sleep.cancel()
            self.running -= 1
            if sleep not in done:
                self.record.line(f"backend {self.id} drops {request_id}: its connection was closed")
                return None
            if work > left:
                self.record.line(f"backend {self.id} answers {request_id} with 504: its deadline has passed")
                return encode_response(504, echo + load, b"")
            self.record.line(f"backend {self.id} answers {request_id}")
            body = f"answer to {request_id} by {self.id}".encode()
            return encode_response(200, echo + load + [("Goldcrestwell-Response-Signature", f"s-{self.id}-{request_id}")],
                                   body)
        finally:
            self.free.release()


async def wait_closed(reader):
    """Returns when the peer has closed its side; no bytes are expected meanwhile."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)


async def http_call(address, port, method, target, headers, body, timeout, host=None):
    """One call on a new connection; None without a whole answer within the timeout."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(address, port)
            head = f"{method} {target} HTTP/1.1\r\nHost: {host or address}\r\nContent-Length: {len(body)}\r\n"
            head += "".join(f"{name}: {value}\r\n" for name, value in headers) + "\r\n"
            writer.write(head.encode("latin-1") + body)
            return await read_message(reader)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Client:
    """A client with one kept connection to the sidecar of its machine."""

    def __init__(self, machine, name):
        self.machine, self.name = machine, name
        self.fleet = machine.fleet
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(self.machine.address, self.machine.ports["outbound"])

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.reader = self.writer = None

    async def request(self, method, target, body=b"", deadline=2.5, request_id=None):
        """Returns the status, 'closed' if the connection ended without a whole answer, or 'late'."""
        request_id = request_id or os.urandom(8).hex()
        fresh = self.writer is None
        try:
            if fresh:
                async with asyncio.timeout(1.0):
                    await self.connect()
        except (OSError, asyncio.TimeoutError):
            return request_id, "no connection", None
        head = f"{method} {target} HTTP/1.1\r\nHost: {self.fleet.host}\r\nGoldcrestwell-Request-Id: {request_id}\r\n"
        head += f"Goldcrestwell-Deadline-Ms: {int(deadline * 1000)}\r\n"
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        self.fleet.record.line(f"client {self.name} sends {request_id} ({method} {target}, {len(body)} bytes)")
        try:
            async with asyncio.timeout(deadline):
                self.writer.write(head.encode("latin-1") + b"\r\n" + body)
                await self.writer.drain()
                answer = await read_message(self.reader)
        except asyncio.TimeoutError:
            self.close()
            self.fleet.record.line(f"client {self.name}: {request_id} has no answer at its deadline")
            return request_id, "late", None
        except (OSError, asyncio.IncompleteReadError):
            answer = None
        if answer is None:
            self.close()
            self.fleet.record.line(f"client {self.name}: the connection ends without an answer to {request_id}")
            return request_id, "closed", None
        self.fleet.record.line(f"client {self.name} gets {answer.status} for {request_id}")
        if (answer.header("Connection") or "").lower() == "close":
            self.close()
        return request_id, answer.status, answer


class Machine:
    """A machine with a sidecar process and a backend."""

    def __init__(self, fleet, number, zone):
        self.fleet, self.zone = fleet, zone
        self.name = f"sidecar-{zone}-{number}"
        self.address = f"127.0.{fleet.net}.{number}"
        self.ports = fleet.ports
        self.process = None
        self.backend = None
        self.settings = os.path.join(fleet.folder, f"{self.name}.conf")
        self.log = os.path.join(fleet.folder, f"{self.name}.log")

    def write_settings(self, service):
        fields = {"ip": self.address, "zone": self.zone, "region": "ee-north", "service": service,
                  "app_addr": f"{self.address}:{self.ports['app']}", "heartbeat_ms": int(self.fleet.heartbeat * 1000),
                  "port_range.0": self.ports["peer"], "port_range.1": self.ports["peer"] + 1,
                  "platform.address": self.fleet.store.address}
        fields.update({f"listen.{name}": f"{self.address}:{self.ports[name]}"
                       for name in ("outbound", "inbound", "ready", "admin")})
        fields.update({f"bounds.{name}": value for name, value in self.fleet.bounds.items()})
        with open(os.path.join(ROOT, self.fleet.role["template"]), encoding="utf-8") as file:
            text = re.sub(r"\{\{([a-z0-9_.]+)\}\}", lambda match: str(fields[match.group(1)]), file.read())
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    async def start_process(self):
        words = self.fleet.role["run"].split()
        words = [self.settings if word.startswith("/etc/") else word for word in words]
        words[0] = os.path.join(ROOT, words[0])
        output = open(self.log, "ab")
        self.process = await asyncio.create_subprocess_exec(*words, stdout=output, stderr=output, cwd=ROOT)
        output.close()
        self.fleet.processes.append(self.process)
        self.fleet.record.line(f"machine {self.name}: its process starts as {self.process.pid}")

    def signal(self, number):
        if self.process.returncode is None:
            self.fleet.record.line(f"machine {self.name}: gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def ready(self):
        answer = await http_call(self.address, self.ports["ready"], "GET", "/goldcrestwell/ready", [], b"", 1.0)
        return answer is not None and answer.status == 200

    def memory_mb(self):
        """Resident memory of the process."""
        try:
            with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2 ** 20
        except (OSError, IndexError):
            return 0.0


class Fleet:
    """A small deployment on loopback addresses."""

    def __init__(self, folder, zones, net):
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.record = Record(folder)
        self.net = net
        self.host = "orders.example"
        self.heartbeat = 1.5
        self.bounds = {"drain_ms": 2000, "budget_extra": 64, "grace_s": 6}
        self.runs = []
        self.processes = []
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["sidecar"]
        self.addresses = [f"127.0.{net}.{number + 1}" for number in range(len(zones))] + [f"127.0.{net}.250"]
        self.ports = self.find_ports()
        self.store = Store(self.addresses[-1], self.ports["admin"], self.record)
        self.machines = [Machine(self, number + 1, zone) for number, zone in enumerate(zones)]

    def find_ports(self):
        names = ["app", "inbound", "outbound", "ready", "admin", "peer", "second"]
        for base in range(20000 + os.getpid() % 1000 * 10, 60000, 10):
            if all(self.is_free(address, base + index) for address in self.addresses for index in range(len(names))):
                return {name: base + index for index, name in enumerate(names)}
        raise RuntimeError("no free ports")

    @staticmethod
    def is_free(address, port):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind((address, port))
                except OSError:
                    return False
        return True

    def config(self, version, routes, services, limits=None):
        limits = limits or {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000,
                            "idle_timeout_ms": 15000}
        document = {"version": version, "routes": routes, "limits": limits,
                    "services": {name: {"health_path": "/health", "max_connections": 130, "protocol": "h1", "tls": False}
                                 for name in services}}
        self.store.append("keyed.op", "config", json.dumps(document).encode())
        self.record.line(f"operator: configuration {version} is acknowledged")

    async def start(self, services):
        """Starts the store, a sidecar and a backend on each machine, and waits until all are ready."""
        await self.store.server.start()
        for machine, service in zip(self.machines, services):
            machine.write_settings(service)
            await machine.start_process()
        await asyncio.sleep(0.3)
        for machine, service in zip(self.machines, services):
            machine.backend = machine.backend or Backend(machine, service)
            await machine.backend.start()
        end = time.monotonic() + 15
        while time.monotonic() < end:
            if all([await machine.ready() for machine in self.machines]):
                await asyncio.sleep(4.0)
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the machines are not ready")

    async def stop(self):
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        for machine in self.machines:
            if machine.backend is not None:
                if machine.backend.beating is not None:
                    machine.backend.beating.cancel()
                machine.backend.server.stop()
        self.store.server.stop()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case, folder):
    """Runs a case; exits with its result, or with 2 if it could not run."""
    async def body():
        # A case that is told to stop still ends the processes that it started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(case(folder), 115)
        except asyncio.CancelledError:
            print("the case was stopped")
            return 2
        except Exception as error:  # pylint: disable=broad-except
            print(f"the case could not run: {type(error).__name__}: {error}")
            return 2

    sys.exit(asyncio.run(body()))
