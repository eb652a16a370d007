#!/usr/bin/env python3
"""Measures the time that the system adds to a call.

Sends the same load directly to an upstream, through its local node and through a peer.
"""

import argparse
import os
import statistics
import subprocess

from mesh import PROGRAM, Mesh, conditions, http, processor_seconds, wait_for

TARGET_MS = 1.1
ANSWERED_PART = 0.99
PATHS = ["direct", "local", "peer"]


def load(port, path, rate, seconds, seed):
    arguments = [PROGRAM, "load", "--target", f"127.0.0.1:{port}", "--path", path, "--rate", rate,
                 "--duration-s", seconds, "--warm-up-s", 2, "--connections", 64, "--timeout-ms", 2000, "--seed", seed]
    result = subprocess.run(list(map(str, arguments)), capture_output=True, text=True)
    if result.returncode != 0:
        raise SystemExit(f"load ended with {result.returncode}: {result.stdout}{result.stderr}")
    return {name.strip(): float(value) for name, value in (line.rsplit(None, 1) for line in result.stdout.splitlines())}


def measure(caller, nodes, kind, rate, seconds, seed):
    """Runs the load once and adds the processor time per call of each node to the result."""
    # Both upstreams run the same program, so the direct load can use the one behind the peer.
    port = nodes[1].upstream if kind == "direct" else caller.caller
    before = [processor_seconds(node.process.pid) for node in nodes]
    result = load(port, "/near" if kind == "local" else "/far", rate, seconds, seed)
    used = [processor_seconds(node.process.pid) - start for node, start in zip(nodes, before)]
    # The processor time includes the warm-up of 2 s, the call count does not.
    calls = result["calls"] * (seconds + 2) / seconds
    result["caller us"], result["upstream us"] = (1e6 * seconds_used / calls for seconds_used in used)
    result["load average"] = os.getloadavg()[0]
    return result


def print_rate_table(caller, nodes, options):
    results = {kind: [] for kind in PATHS}
    for repeat in range(options.repeats):
        for kind in PATHS:
            results[kind].append(measure(caller, nodes, kind, options.rate, options.seconds, repeat + 1))
    print(f"\n{options.rate} calls/s, {options.repeats} runs of {options.seconds} s each, in turn; medians of the runs")
    print("| path | calls | answered | p50 ms | p99 ms | p99 of each run | added p50 ms | added p99 ms | target ms |"
          " caller's node us/call | upstream's node us/call | load average |")
    print("|---|---|---|---|---|---|---|---|---|---|---|---|")
    middle = {kind: {name: statistics.median(run.get(name, 0) for run in results[kind]) for name in results[kind][0]}
              for kind in PATHS}
    for kind in PATHS:
        runs, row = results[kind], middle[kind]
        each = ", ".join(f"{run['p99 ms']:.2f}" for run in runs)
        loads = ", ".join(f"{run['load average']:.0f}" for run in runs)
        added = [row[name] - middle["direct"][name] for name in ("p50 ms", "p99 ms")]
        met = "" if kind == "direct" else f"{TARGET_MS} {'met' if added[1] <= TARGET_MS else 'missed'}"
        print(f"| {kind} | {sum(run['calls'] for run in runs):.0f} | {sum(run['answered'] for run in runs):.0f} "
              f"| {row['p50 ms']:.3f} | {row['p99 ms']:.3f} | {each} "
              f"| {added[0]:.3f} | {added[1]:.3f} | {met} | {row['caller us']:.0f} | {row['upstream us']:.0f} "
              f"| {loads} |", flush=True)


def print_rising(caller, nodes, options):
    print("\nRising rate, 5 s each")
    print("| path | calls/s | answered % | p50 ms | p99 ms | caller's node us/call | upstream's node us/call "
          "| load average |")
    print("|---|---|---|---|---|---|---|---|")
    held = {}
    for kind in PATHS:
        for rate in options.rates:
            run = measure(caller, nodes, kind, rate, 5, rate)
            part = run["answered"] / run["calls"]
            print(f"| {kind} | {rate} | {100 * part:.2f} | {run.get('p50 ms', 0):.2f} | {run.get('p99 ms', 0):.2f} "
                  f"| {run['caller us']:.0f} | {run['upstream us']:.0f} | {run['load average']:.0f} |", flush=True)
            if part < ANSWERED_PART:
                break
            held[kind] = rate
    print("Highest rate of these held:", ", ".join(f"{kind} {held.get(kind, 'none')}" for kind in PATHS))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=int, default=80)
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--rates", type=int, nargs="*", default=[500, 1000, 2000, 4000, 8000, 16000])
    parser.add_argument("--first-port", type=int, default=21000)
    options = parser.parse_args()
    print(conditions(), flush=True)
    with Mesh(options.first_port) as mesh:
        mesh.add_nodes([("north-1", "north"), ("north-2", "north")])
        caller = mesh.nodes[0]
        mesh.add_upstream(mesh.nodes[0], "near")
        mesh.add_upstream(mesh.nodes[1], "far")
        mesh.apply("/near,near,v1,100,,0,0,0,2000,false,proceed\n/far,far,v1,100,,0,0,0,2000,false,proceed\n")
        wait_for("both routes", lambda: all(http(caller.caller, path)[0] == 200 for path in ("/near", "/far")), 60)
        print_rate_table(caller, mesh.nodes, options)
        print_rising(caller, mesh.nodes, options)
    print(conditions())


if __name__ == "__main__":
    main()
