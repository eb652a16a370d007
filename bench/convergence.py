#!/usr/bin/env python3
"""Measures convergence time, control bytes, processor time and memory per node.

Runs meshes of real processes in several sizes.

The control bytes are those that each node counts against its budget, including an estimate of the datagram headers. The
times are taken from the nodes' log lines; all processes run on one machine and so share one clock.
"""

import argparse
import signal
import statistics
import time

from mesh import Mesh, conditions, memory_megabytes, metric, processor_seconds, wait_for

# Number of data centres and regions for each number of nodes; the largest mesh has those of the design size.
SHAPES = {4: (2, 1), 16: (4, 2), 64: (8, 3), 200: (23, 7)}
RESTARTED_PART = 0.05
LIMITS = "limits per node: 1.3 % of a core, 7000 B/s, 256 MB"


def places(count):
    centres, regions = SHAPES.get(count, (4, 2))
    return [(f"dc-{index % centres + 1}", f"region-{index % centres % regions + 1}") for index in range(count)]


def table(weight):
    return f"/orders,orders,v1,{weight},,0,0,0,2000,false,proceed\n"


def change_times(mesh, changes):
    """Returns the times from the start of the apply command until the median and the last node have the new version."""
    median, last, late = [], [], 0
    versions = {node: 0 for node in mesh.nodes}
    for change in range(changes):
        for node in mesh.nodes:
            node.new_versions()
        started = mesh.apply(table(100 + change), mesh.nodes[change % len(mesh.nodes)])
        reached = {}
        before = dict(versions)

        def all_reached():
            for node in mesh.nodes:
                for version, when in node.new_versions():
                    if version > before[node]:
                        versions[node] = version
                        reached[node] = when - started
            return len(reached) == len(mesh.nodes)

        try:
            wait_for("the change", all_reached, 30, 0.1)
        except SystemExit:
            late += 1
        if reached:
            median.append(statistics.median(reached.values()))
            last.append(max(reached.values()))
        time.sleep(0.5)
    return median, last, late


def cost(nodes, seconds, during=None):
    """Returns mean and maximum over the nodes of the control bytes per second and of the fraction of a core used."""
    def sample():
        return [(metric(node.metrics(), "control_bytes_total"), processor_seconds(node.process.pid), time.monotonic())
                for node in nodes]

    before = sample()
    started = time.monotonic()
    if during:
        during()
    time.sleep(max(0.0, seconds - (time.monotonic() - started)))
    after = sample()
    spans = [end[2] - start[2] for start, end in zip(before, after)]
    sent = [(end[0] - start[0]) / span for start, end, span in zip(before, after, spans)]
    core = [100 * (end[1] - start[1]) / span for start, end, span in zip(before, after, spans)]
    return statistics.mean(sent), max(sent), statistics.mean(core), max(core)


def restart(mesh, nodes):
    for node in nodes:
        node.process.send_signal(signal.SIGKILL)
        node.process.wait()
    time.sleep(2)
    for node in nodes:
        node.start(mesh.nodes[:3])


def measure(count, options):
    with Mesh(options.first_port) as mesh:
        started = time.monotonic()
        mesh.add_nodes(places(count))
        mesh.announce_all("orders")
        wait_for("all members known everywhere", lambda: all(
            metric(node.metrics(), "members_alive") == count for node in mesh.nodes), 180, 2)
        formed = time.monotonic() - started
        begun = conditions()
        median, last, late = change_times(mesh, options.changes)
        time.sleep(5)
        quiet = cost(mesh.nodes, options.seconds)
        victims = mesh.nodes[-max(1, round(count * RESTARTED_PART)):]
        others = mesh.nodes[:-len(victims)]
        storm = cost(others, options.seconds, lambda: restart(mesh, victims))
        memory = [memory_megabytes(node.process.pid) for node in others]
        cuts = sum(metric(node.metrics(), "pauses_total") for node in others)
        print(f"# {count} nodes: formed after {formed:.0f} s, pauses noticed {cuts:.0f}; at the start of the changes: "
              f"{begun}; at the end: {conditions()}", flush=True)
        return {"nodes": count, "median": statistics.median(median), "median worst": max(median),
                "last": statistics.median(last), "last worst": max(last), "late": late, "quiet": quiet, "storm": storm,
                "rss": max(both[0] for both in memory), "anon": max(both[1] for both in memory)}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="*", default=sorted(SHAPES))
    parser.add_argument("--changes", type=int, default=10)
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--first-port", type=int, default=22000)
    options = parser.parse_args()
    print(conditions())
    print(LIMITS, flush=True)
    rows = [measure(count, options) for count in options.sizes]
    print("\n| nodes | median node s (worst) | last node s (worst) | not within 30 s | quiet B/s mean, max "
          "| quiet core % mean, max | restart B/s mean, max | restart core % mean, max | RSS MB max | private MB max |")
    print("|---|---|---|---|---|---|---|---|---|---|")
    for row in rows:
        quiet, storm = row["quiet"], row["storm"]
        print(f"| {row['nodes']} | {row['median']:.2f} ({row['median worst']:.2f}) | {row['last']:.2f} "
              f"({row['last worst']:.2f}) | {row['late']} | {quiet[0]:.0f}, {quiet[1]:.0f} | {quiet[2]:.3f}, "
              f"{quiet[3]:.3f} | {storm[0]:.0f}, {storm[1]:.0f} | {storm[2]:.3f}, {storm[3]:.3f} | {row['rss']:.1f} "
              f"| {row['anon']:.1f} |")
    print("\n| from, to nodes | quiet B/s per node added | quiet core % | private KB |")
    print("|---|---|---|---|")
    for less, more in zip(rows, rows[1:]):
        added = more["nodes"] - less["nodes"]
        print(f"| {less['nodes']}, {more['nodes']} | {(more['quiet'][0] - less['quiet'][0]) / added:.2f} "
              f"| {(more['quiet'][2] - less['quiet'][2]) / added:.5f} "
              f"| {1024 * (more['anon'] - less['anon']) / added:.2f} |")


if __name__ == "__main__":
    main()
