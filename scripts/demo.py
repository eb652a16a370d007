#!/usr/bin/env python3
"""Runs a demo on loopback: simulated log and upstreams, three nodes in two data centres, a table, calls, a rollout."""

import collections
import json
import pathlib
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build"
PROGRAM = BUILD / "goldcrestwell"
LOG_PORT = 26000
NODE_COUNT = 3
DATA_CENTRES = ["north-1", "north-1", "north-2"]
VERSIONS = ["v1", "v1", "v2"]
HEADER = (
    "route,service,upstream_version,weight,deadline,max_in_flight,max_connections,max_queue,"
    "timeout_ms,idempotent,on_thin_evidence\n"
)


def ports(index):
    return {"peer": 26100 + index, "caller": 26200 + index, "admin": 26300 + index, "upstream": 26400 + index}


def settings(index):
    own = ports(index)
    return {
        "host": "127.0.0.1",
        "peer_port": own["peer"],
        "data_centre": DATA_CENTRES[index],
        "region": "north",
        "seeds": [f"127.0.0.1:{ports(other)['peer']}" for other in range(NODE_COUNT) if other != index],
        "caller_listener": {"address": "127.0.0.1", "port": own["caller"]},
        "admin_listener": {"port": own["admin"]},
        "platform_log": {"address": f"127.0.0.1:{LOG_PORT}"},
        "moves": {"dwell_ms": 1000, "min_samples": 20, "bake_time_s": 4},
    }


def http(port, path, method="GET", body=None, headers=None):
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}{path}", data=body, method=method, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=10) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as refusal:
        return refusal.code, refusal.read().decode()
    except OSError as failure:
        return 0, str(failure)


def wait_for(what, condition, seconds=30):
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > seconds:
            raise SystemExit(f"demo: timed out waiting for {what}")
        time.sleep(0.1)
    print(f"-- {what} after {time.monotonic() - started:.1f} s", flush=True)


def command(*arguments):
    print(f"$ goldcrestwell {' '.join(arguments)}", flush=True)
    result = subprocess.run([PROGRAM, *arguments], capture_output=True, text=True, timeout=60)
    print(result.stdout + result.stderr, end="", flush=True)
    return result


def apply_table(folder, name, rows):
    path = folder / name
    path.write_text(HEADER + rows)
    result = command("table", "apply", str(path), "--node", f"127.0.0.1:{ports(0)['admin']}")
    if result.returncode != 0:
        raise SystemExit("demo: the table was not accepted")


def status(index):
    code, body = http(ports(index)["admin"], "/status")
    return json.loads(body) if code == 200 else None


def send_calls(count):
    answers = collections.Counter()
    for number in range(count):
        port = ports(number % NODE_COUNT)["caller"]
        code, body = http(port, "/orders/stock", headers={"x-request-id": f"demo-{number}"})
        answers[json.loads(body).get("version", "?") if code == 200 else f"status {code}"] += 1
    print(f"-- {count} calls: {dict(answers)}", flush=True)
    return answers


def start(processes, *arguments, log=None):
    output = open(log, "w") if log else subprocess.DEVNULL
    processes.append(subprocess.Popen(list(map(str, arguments)), stdout=output, stderr=subprocess.STDOUT))
    return processes[-1]


def stop(processes):
    for process in reversed(processes):
        if process.poll() is None:
            process.terminate()
    for process in reversed(processes):
        process.wait(timeout=40)


def run(folder, processes):
    start(processes, BUILD / "test/stand_in/stand_in_platform_log", "--port", LOG_PORT)
    nodes = []
    for index in range(NODE_COUNT):
        path = folder / f"node-{index}.json"
        path.write_text(json.dumps(settings(index), indent=2))
        nodes.append(start(processes, PROGRAM, "node", "--settings", path, log=folder / f"node-{index}.log"))
    for index in range(NODE_COUNT):
        own = ports(index)
        start(processes, BUILD / "test/stand_in/stand_in_upstream", "--port", own["upstream"], "--service", "orders",
              "--version", VERSIONS[index], "--node", f"127.0.0.1:{own['admin']}", "--slots", 10, "--work-ms", 2)
    wait_for("all nodes ready", lambda: all((status(i) or {}).get("ready") for i in range(NODE_COUNT)))
    wait_for("all upstreams known to all nodes", lambda: all(
        sum("service" in entry for entry in status(i)["members"]) == NODE_COUNT for i in range(NODE_COUNT)))

    apply_table(folder, "first.csv", "/orders,orders,v1,100,,0,0,0,2000,false,proceed\n")
    wait_for("the table in force on all nodes",
             lambda: len({status(i)["config_version"] for i in range(NODE_COUNT)}) == 1
             and status(0)["config_version"] > 0)
    send_calls(60)

    deadline = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(time.time() + 20))
    apply_table(folder, "move.csv", f"/orders,orders,v1,0,,0,0,0,2000,false,proceed\n"
                                    f"/orders,orders,v2,100,{deadline},0,0,0,2000,false,proceed\n")
    started = time.monotonic()
    while time.monotonic() - started < 40:
        answers = send_calls(60)
        table = http(ports(0)["admin"], "/table")[1]
        if ",done," in table and answers.get("v2", 0) == 60:
            break
        time.sleep(1)
    command("table", "show", "--node", f"127.0.0.1:{ports(2)['admin']}")
    command("status", "--node", f"127.0.0.1:{ports(0)['admin']}")
    for node in nodes:
        node.terminate()
    codes = [node.wait(timeout=40) for node in nodes]
    print(f"-- nodes drained, exit codes {codes}", flush=True)
    return 0 if codes == [0] * NODE_COUNT else 1


def main():
    processes = []
    with tempfile.TemporaryDirectory(prefix="goldcrestwell-demo-") as name:
        try:
            return run(pathlib.Path(name), processes)
        finally:
            stop(processes)
            if "--logs" in sys.argv:
                for path in sorted(pathlib.Path(name).glob("*.log")):
                    print(f"==== {path.name}\n{path.read_text()}")


if __name__ == "__main__":
    sys.exit(main())
