"""Runs a small mesh of processes on loopback for the measurements in this folder; ends only its own processes."""

import datetime
import json
import os
import pathlib
import socket
import subprocess
import tempfile
import threading
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build"
PROGRAM = BUILD / "goldcrestwell"
PLATFORM_LOG = BUILD / "test/stand_in/stand_in_platform_log"
UPSTREAM = BUILD / "test/stand_in/stand_in_upstream"
TABLE_HEADER = (
    "route,service,upstream_version,weight,deadline,max_in_flight,max_connections,max_queue,"
    "timeout_ms,idempotent,on_thin_evidence\n"
)


def conditions():
    """Returns load average, number of processors and revision, which are printed with every table."""
    git = ["git", "-C", str(ROOT)]
    revision = subprocess.run([*git, "rev-parse", "--short", "HEAD"], capture_output=True, text=True).stdout.strip()
    dirty = subprocess.run([*git, "status", "--porcelain", "src"], capture_output=True, text=True).stdout.strip()
    averages = " ".join(f"{value:.1f}" for value in os.getloadavg())
    return f"revision {revision}{' with changes' if dirty else ''}, load average {averages} on {os.cpu_count()} processors"


def http(port, path, body=None, timeout=10):
    method = "GET" if body is None else "POST"
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}", data=body, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as refusal:
        return refusal.code, refusal.read().decode()
    except OSError as failure:
        return 0, str(failure)


def wait_for(what, condition, seconds, step=0.2):
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > seconds:
            raise SystemExit(f"gave up waiting for {what} after {seconds} s")
        time.sleep(step)
    return time.monotonic() - started


def metric(text, name):
    """Returns the sum of a metric over its labels."""
    prefix = "goldcrestwell_" + name
    lines = (line.split() for line in text.splitlines() if not line.startswith("#"))
    return sum(float(line[-1]) for line in lines if line[0].split("{")[0] == prefix)


def processor_seconds(pid):
    """Returns the processor time of all threads of a process, with nanosecond resolution."""
    return int(pathlib.Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def memory_megabytes(pid):
    """Returns the resident memory and how much of it is not backed by files such as the program's code."""
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    fields = dict(line.split(":", 1) for line in lines)
    return tuple(int(fields[name].split()[0]) / 1024 for name in ("VmRSS", "RssAnon"))


class Node:
    def __init__(self, mesh, data_centre, region):
        self.mesh = mesh
        self.peer, self.caller, self.admin, self.upstream = (mesh.free_port() for _ in range(4))
        self.data_centre, self.region = data_centre, region
        self.settings = mesh.folder / f"node-{self.peer}.json"
        self.log = mesh.folder / f"node-{self.peer}.log"
        self.process = None
        self.read_to = 0

    def start(self, seeds):
        self.settings.write_text(json.dumps({
            "host": "127.0.0.1", "peer_port": self.peer, "data_centre": self.data_centre, "region": self.region,
            "seeds": [f"127.0.0.1:{seed.peer}" for seed in seeds if seed is not self],
            "caller_listener": {"address": "127.0.0.1", "port": self.caller},
            "admin_listener": {"port": self.admin},
            "platform_log": {"address": f"127.0.0.1:{self.mesh.log_port}"},
        }))
        self.process = self.mesh.start(PROGRAM, "node", "--settings", self.settings, log=self.log)

    def ready(self):
        return http(self.admin, "/ready")[0] == 200

    def metrics(self):
        return http(self.admin, "/metrics")[1]

    def new_versions(self):
        """Returns version and time of each table change logged since the last call."""
        with open(self.log, "rb") as log:
            log.seek(self.read_to)
            text = log.read()
        whole = text[:text.rfind(b"\n") + 1]
        self.read_to += len(whole)
        found = []
        for line in whole.decode().splitlines():
            if "event=table_changed" in line:
                words = line.split()
                fields = dict(word.split("=", 1) for word in words[1:])
                found.append((int(fields["version"]), datetime.datetime.fromisoformat(words[0]).timestamp()))
        return found


class Mesh:
    def __init__(self, first_port):
        self.folder_owner = tempfile.TemporaryDirectory(prefix="goldcrestwell-bench-")
        self.folder = pathlib.Path(self.folder_owner.name)
        self.next_port = first_port
        self.processes = []
        self.nodes = []
        self.stopping = threading.Event()
        self.announcer = None
        self.log_port = self.free_port()
        self.log_process = self.start(PLATFORM_LOG, "--port", self.log_port)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stopping.set()
        if self.announcer:
            self.announcer.join()
        for process in reversed(self.processes):
            if process.poll() is None:
                process.terminate()
        for process in reversed(self.processes):
            try:
                process.wait(timeout=40)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.folder_owner.cleanup()

    def free_port(self):
        """Returns a port that is free for TCP and UDP, so that other programs do not collide with the measurement."""
        while True:
            port = self.next_port
            self.next_port += 1
            try:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue

    def start(self, *arguments, log=None):
        output = open(log, "a") if log else subprocess.DEVNULL
        process = subprocess.Popen(list(map(str, arguments)), stdout=output, stderr=subprocess.STDOUT)
        if log:
            output.close()
        self.processes.append(process)
        return process

    def add_nodes(self, places, group=10):
        """Starts a node for each (data centre, region); starts them in groups to limit the load on the machine."""
        self.nodes = [Node(self, *place) for place in places]
        for first in range(0, len(self.nodes), group):
            members = self.nodes[first:first + group]
            for node in members:
                node.start(self.nodes[:3])
            wait_for("a group of nodes", lambda: all(node.ready() for node in members), 120)

    def add_upstream(self, node, service, work_ms=0, slots=100):
        return self.start(UPSTREAM, "--port", node.upstream, "--service", service, "--version", "v1", "--node",
                          f"127.0.0.1:{node.admin}", "--work-ms", work_ms, "--slots", slots)

    def announce_all(self, service):
        """Announces an upstream to every node once per second without starting a process per upstream."""
        def announce(node):
            body = {"service": service, "upstream_version": "v1", "address": f"127.0.0.1:{node.upstream}",
                    "slots": 10, "connections": 130, "load": 0}
            http(node.admin, "/announce", json.dumps(body).encode(), timeout=2)

        def run():
            while not self.stopping.is_set():
                started = time.monotonic()
                for node in self.nodes:
                    if node.process.poll() is None and not self.stopping.is_set():
                        announce(node)
                self.stopping.wait(max(0.0, 1.0 - (time.monotonic() - started)))

        self.announcer = threading.Thread(target=run)
        self.announcer.start()

    def apply(self, rows, node=None):
        """Applies a table through one node; returns the time at which the command was started."""
        path = self.folder / "table.csv"
        path.write_text(TABLE_HEADER + rows)
        started = time.time()
        result = subprocess.run([PROGRAM, "table", "apply", str(path), "--node",
                                 f"127.0.0.1:{(node or self.nodes[0]).admin}"], capture_output=True, text=True)
        if result.returncode != 0:
            raise SystemExit(f"the table was not accepted: {result.stdout}{result.stderr}")
        return started
