#!/usr/bin/env python3
"""Measures real processes and appends rows to bench/results.tsv: the cost of
the request path compared with a direct call in the same run, the time to
publish settings, and the cost of an idle entry host (processor time, memory
and traffic of its control connections) at growing sizes.

Bytes are counted on the loopback interface by server port, which excludes the
traffic of other processes; they include the headers of Ethernet, IP and TCP.
Counting needs the right to open packet sockets (root).
"""
import argparse
import ctypes
import http.client
import json
import os
import pathlib
import socket
import statistics
import struct
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests"))
from cluster import Cluster  # noqa: E402
from harness import call, wait_until  # noqa: E402

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
ROWS = []


def add_row(name, value, unit, base="", base_value="", ratio=""):
    """Adds a row of results and prints it."""
    text = [name, f"{value:.4g}", unit, base,
            f"{base_value:.4g}" if base else "",
            f"{ratio:.3f}" if base else "", "-"]
    ROWS.append("\t".join(text))
    print("  ".join(text), flush=True)


def cpu_s(pid):
    """Returns the processor time that the process has used, in s."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")")[1]
    parts = fields.split()
    return (int(parts[11]) + int(parts[12])) / CLOCK_TICKS_PER_S


def rss_mb(pid):
    """Returns the resident memory of the process in MB; 0 if unknown."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().split("\n"):
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


class PortBytes:
    """Counts the bytes on loopback to and from the ports of each class. A
    socket filter truncates each packet to its headers, so the kernel copies
    nothing else."""
    HEADERS = 54  # Ethernet, IP and TCP without options
    ETH_P_IP, SO_ATTACH_FILTER, SO_RCVBUFFORCE = 0x800, 26, 33

    def __init__(self, classes):
        self.classes = {int(addr.rsplit(":", 1)[1]): name
                        for name, addrs in classes.items() for addr in addrs}
        self.bytes = dict.fromkeys(classes, 0)
        self.socket = socket.socket(socket.AF_PACKET, socket.SOCK_RAW, 0)
        truncate = ctypes.create_string_buffer(
            struct.pack("HBBI", 0x06, 0, 0, self.HEADERS))
        self.socket.setsockopt(
            socket.SOL_SOCKET, self.SO_ATTACH_FILTER,
            struct.pack("HL", 1, ctypes.addressof(truncate)))
        self.socket.setsockopt(socket.SOL_SOCKET, self.SO_RCVBUFFORCE,
                               32 << 20)
        self.socket.settimeout(0.2)
        self.socket.bind(("lo", self.ETH_P_IP))

    def run(self, seconds):
        """Counts for that many seconds; returns the elapsed time in s."""
        start = time.monotonic()
        while time.monotonic() < start + seconds:
            try:
                head = self.socket.recv(self.HEADERS)
            except socket.timeout:
                continue
            if len(head) < self.HEADERS:
                continue
            for port in struct.unpack_from("!HH", head, 34):
                if port in self.classes:
                    # Length of the IP packet plus the Ethernet header.
                    size = struct.unpack_from("!H", head, 16)[0] + 14
                    self.bytes[self.classes[port]] += size
                    break
        took = time.monotonic() - start
        # PACKET_STATISTICS: packets received, packets dropped.
        dropped = struct.unpack("II", self.socket.getsockopt(263, 6, 8))[1]
        assert dropped == 0, f"{dropped} packets were not counted"
        self.socket.close()
        return took


def counter(cluster, entry, name):
    """Returns the value of a metric of an entry host, 0 if it has none."""
    text = cluster.entry(entry, "GET", "/metrics").text
    for line in text.split("\n"):
        if line.startswith(f"gypsumvalve_{name} "):
            return int(line.split()[1])
    return 0


def run_callers(addr, path, threads, each):
    """Sends `each` requests in each of `threads` threads, one connection per
    thread. Returns the response times in ms and the total time in s."""
    times, lock = [], threading.Lock()

    def caller():
        conn = http.client.HTTPConnection(addr, timeout=10)
        own = []
        for _ in range(each):
            start = time.perf_counter()
            conn.request("GET", path)
            answer = conn.getresponse()
            answer.read()
            assert answer.status == 200, answer.status
            own.append((time.perf_counter() - start) * 1000)
        conn.close()
        with lock:
            times.extend(own)

    begin = time.perf_counter()
    pool = [threading.Thread(target=caller) for _ in range(threads)]
    for t in pool:
        t.start()
    for t in pool:
        t.join()
    return times, time.perf_counter() - begin


def path_cost(build):
    """Compares requests through an entry host with direct calls."""
    with Cluster(build, entries=1, hosts=4) as cluster:
        direct = cluster.hosts["plan-dc1-1"][2]
        entry = cluster.entries["e1"][1]
        pid = cluster.procs["e1"].pid
        run_callers(entry, "/svc/plan/quote?run_ms=0&tag=ping", 1, 50)
        for threads, each in ((1, 500), (4, 500)):
            base, base_s = run_callers(direct, "/quote?run_ms=0&tag=ping",
                                       threads, each)
            before = cpu_s(pid)
            through, through_s = run_callers(
                entry, "/svc/plan/quote?run_ms=0&tag=ping", threads, each)
            used = cpu_s(pid) - before
            n = threads * each
            a, b = statistics.median(through), statistics.median(base)
            add_row(f"path, {threads} callers: response time p50", a, "ms",
                    "direct call", b, a / b)
            add_row(f"path, {threads} callers: throughput", n / through_s,
                    "requests/s", "direct call", n / base_s,
                    base_s / through_s)
            add_row(
                f"path, {threads} callers: processor time of the entry host",
                used / n * 1e6, "us/request")


def control_cost(build, dc_hosts, all_hosts, entries, dcs=1, services=2,
                 seconds=30):
    """Measures idle entry hosts: `dcs` data centres with `entries` entry hosts
    and dc_hosts targets each. The platform lists all_hosts hosts in total; the
    rest of them are in other data centres and have no process."""
    names = ("plan", "spare", *(f"s{i}" for i in range(3, services + 1)))
    with Cluster(build, dcs=dcs, entries=entries, services=names,
                 hosts=dc_hosts // services) as cluster:
        for i in range(all_hosts - dcs * dc_hosts):
            dc = f"other{i % 16}"
            assert call(cluster.platform, "POST", (
                f"/hosts/set?host=x{i}&dc={dc}&rack={dc}-{i // 64}"
                f"&addr=127.0.0.1:9&slots=8&pool=plan&state=live"))
        time.sleep(8)
        count = PortBytes(
            {"probes": [h[2] for h in cluster.hosts.values()],
             "platform": [cluster.platform],
             "heartbeats": [e[2] for e in cluster.entries.values()]})
        pids = [cluster.procs[e].pid for e in cluster.entries]
        probes_0 = [counter(cluster, e, "probes_total")
                    for e in cluster.entries]
        cpu_0 = [cpu_s(p) for p in pids]
        took = count.run(seconds)
        used = max(cpu_s(p) - b for p, b in zip(pids, cpu_0))
        probes = [counter(cluster, e, "probes_total") - b
                  for e, b in zip(cluster.entries, probes_0)]
        name = f"control, {entries} entry hosts, {dc_hosts} own targets, " \
               f"{all_hosts} listed hosts"
        name += f", {dcs} data centres" if dcs > 1 else ""
        name += f", {services} services" if services > 2 else ""
        add_row(f"{name}: processor time", used / took * 100, "% of a core")
        add_row(f"{name}: memory", max(rss_mb(p) for p in pids), "MB")
        control_bytes(name, count.bytes, probes, took)


def control_bytes(name, counted, probes, took):
    """Adds the rows of probes and bytes. Bytes between two entry hosts count
    for both; all others count for one. The entry host with the most probes
    differs from the mean only by its probes."""
    entries = len(probes)
    add_row(f"{name}: probes", sum(probes) / took / entries, "1/s")
    add_row(f"{name}: bytes of a probe", counted["probes"] / sum(probes), "B")
    parts = {"probes": counted["probes"],
             "platform": counted["platform"],
             "heartbeats": 2 * counted["heartbeats"]}
    for part, sent in parts.items():
        add_row(f"{name}: bytes, {part}", sent / took / entries / 1024, "KB/s")
    mean = sum(parts.values()) / entries
    most = mean + parts["probes"] * (max(probes) / sum(probes) - 1 / entries)
    add_row(f"{name}: bytes, mean entry host", mean / took / 1024, "KB/s")
    add_row(f"{name}: bytes, entry host with most probes", most / took / 1024,
            "KB/s")


def publish_time(build):
    """Measures the time until published settings are in force at all 8 entry
    hosts."""
    with Cluster(build, dcs=2, entries=4) as cluster:
        publish_row(cluster, "8 entry hosts")


def publish_row(cluster, name, turns=5):
    """Publishes `turns` changes and adds a row with the longest time."""
    took = []
    for turn in range(turns):
        text = cluster.settings().replace(
            "max_requests: 200", f"max_requests: {300 + turns + turn}")
        before = version(cluster, "e1")
        start = time.monotonic()
        cluster.publish(text)
        wait_until(lambda b=before: all(version(cluster, e) > b
                                        for e in cluster.entries),
                   13, "change in force at every entry host")
        took.append((time.monotonic() - start) * 1000)
    add_row(f"publish: in force at {name}, worst of {turns}", max(took), "ms",
            "target", 13000.0, max(took) / 13000)


def target_size(build, seconds=20):
    """Measures the size that the system is built for: 136 entry hosts in 17
    data centres and 6 regions, with 5,800 listed hosts. Two hosts in each data
    centre have a process."""
    with Cluster(build, dcs=17, entries=8, hosts=1, regions=6) as cluster:
        for i in range(5800 - len(cluster.hosts)):
            assert call(cluster.platform, "POST", (
                f"/hosts/set?host=x{i}&dc=other{i % 16}&rack=o{i // 64}"
                f"&addr=127.0.0.1:9&slots=8&pool=plan&state=live"))
        time.sleep(10)
        pids = [cluster.procs[e].pid for e in cluster.entries]
        start, cpu_0 = time.monotonic(), [cpu_s(p) for p in pids]
        time.sleep(seconds)
        took = time.monotonic() - start
        used = sorted(cpu_s(p) - b for p, b in zip(pids, cpu_0))
        name = "136 entry hosts, 5800 listed hosts"
        for what, value in (("median", used[len(used) // 2]),
                            ("worst", used[-1])):
            add_row(f"{name}: processor time, {what}", value / took * 100,
                    "% of a core", "target", 2.2, value / took * 100 / 2.2)
        most = max(rss_mb(p) for p in pids)
        add_row(f"{name}: memory, worst", most, "MB", "target", 32.0,
                most / 32)
        publish_row(cluster, name)
        cluster.fault(outage="refuse")
        time.sleep(20)
        cluster.fault(outage="0")
        publish_row(cluster, f"{name}, right after an outage of 20 s", turns=1)


def version(cluster, entry):
    """Returns the version of the settings in force at an entry host, -1 if it
    does not answer."""
    answer = cluster.entry(entry, "GET", "/v1/status")
    return json.loads(answer.text)["settings_version"] if answer else -1


def main():
    args = argparse.ArgumentParser()
    args.add_argument("--build", default="build")
    args.add_argument("--only", default="path,publish,control,target")
    opts = args.parse_args()
    build = pathlib.Path(opts.build).resolve()
    if "path" in opts.only:
        path_cost(build)
    if "publish" in opts.only:
        publish_time(build)
    if "target" in opts.only:
        target_size(build)
    if "control" in opts.only:
        for own, listed, entries in ((16, 16, 2), (64, 64, 8), (64, 1000, 8),
                                     (340, 1000, 8), (340, 5800, 8)):
            control_cost(build, own, listed, entries)
        control_cost(build, 4, 12, 8, dcs=3)
        control_cost(build, 32, 32, 8, services=32)
    with open(ROOT / "bench" / "results.tsv", "a", encoding="utf-8") as out:
        out.write("\n".join(ROWS) + "\n")


if __name__ == "__main__":
    main()
