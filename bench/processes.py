#!/usr/bin/env python3
"""Measures real processes and appends rows to bench/results.tsv: the cost of
the request path against a direct call in the same run, and the control cost
of an idle entry host at growing sizes.

Bytes are counted on the loopback interface by the port of the server, so
traffic of other processes does not count; they include the headers of
Ethernet, IP and TCP. This needs the right to open packet sockets (root).
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

TICKS = os.sysconf("SC_CLK_TCK")
ROWS = []


def row(name, value, unit, base="", base_value="", ratio=""):
    text = [name, f"{value:.4g}", unit, base,
            f"{base_value:.4g}" if base else "",
            f"{ratio:.3f}" if base else "", "-"]
    ROWS.append("\t".join(text))
    print("  ".join(text), flush=True)


def cpu_s(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")")[1]
    parts = fields.split()
    return (int(parts[11]) + int(parts[12])) / TICKS


def rss_mb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().split("\n"):
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


class PortBytes:
    """Counts the bytes on loopback to and from the ports of each class. The
    kernel cuts packets to their headers and hands over nothing else."""
    HEADERS = 54  # Ethernet, IP and TCP without options
    ETH_P_IP, SO_ATTACH_FILTER, SO_RCVBUFFORCE = 0x800, 26, 33

    def __init__(self, classes):
        self.classes = {int(addr.rsplit(":", 1)[1]): name
                        for name, addrs in classes.items() for addr in addrs}
        self.bytes = dict.fromkeys(classes, 0)
        self.socket = socket.socket(socket.AF_PACKET, socket.SOCK_RAW, 0)
        cut = ctypes.create_string_buffer(
            struct.pack("HBBI", 0x06, 0, 0, self.HEADERS))
        self.socket.setsockopt(
            socket.SOL_SOCKET, self.SO_ATTACH_FILTER,
            struct.pack("HL", 1, ctypes.addressof(cut)))
        self.socket.setsockopt(socket.SOL_SOCKET, self.SO_RCVBUFFORCE,
                               32 << 20)
        self.socket.settimeout(0.2)
        self.socket.bind(("lo", self.ETH_P_IP))

    def run(self, seconds):
        """Counts for that time and returns the time that passed."""
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
                    # Length of the IP packet, and the Ethernet header.
                    size = struct.unpack_from("!H", head, 16)[0] + 14
                    self.bytes[self.classes[port]] += size
                    break
        took = time.monotonic() - start
        # Statistics: packets seen, packets dropped.
        dropped = struct.unpack("II", self.socket.getsockopt(263, 6, 8))[1]
        assert dropped == 0, f"{dropped} packets were not counted"
        self.socket.close()
        return took


def metric(c, entry, name):
    text = c.entry(entry, "GET", "/metrics").text
    for line in text.split("\n"):
        if line.startswith(f"gypsumvalve_{name} "):
            return int(line.split()[1])
    return 0


def load(addr, path, threads, each):
    """Returns response times in ms and the whole time in s."""
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
    with Cluster(build, entries=1, hosts=4) as c:
        direct = c.hosts["plan-dc1-1"][2]
        entry = c.entries["e1"][1]
        pid = c.procs["e1"].pid
        load(entry, "/svc/plan/quote?run_ms=0&tag=ping", 1, 50)
        for threads, each in ((1, 500), (4, 500)):
            base, base_s = load(direct, "/quote?run_ms=0&tag=ping",
                                threads, each)
            before = cpu_s(pid)
            through, through_s = load(
                entry, "/svc/plan/quote?run_ms=0&tag=ping", threads, each)
            used = cpu_s(pid) - before
            n = threads * each
            a, b = statistics.median(through), statistics.median(base)
            row(f"path, {threads} callers: response time p50", a, "ms",
                "direct call", b, a / b)
            row(f"path, {threads} callers: throughput", n / through_s,
                "requests/s", "direct call", n / base_s, base_s / through_s)
            row(f"path, {threads} callers: processor time of the entry host",
                used / n * 1e6, "us/request")


def control_cost(build, dc_hosts, all_hosts, entries, dcs=1, services=2,
                 seconds=30):
    """Data centres with `entries` entry hosts and dc_hosts targets each; the
    platform lists all_hosts hosts in all, the others in other data centres.
    """
    names = ("plan", "spare", *(f"s{i}" for i in range(3, services + 1)))
    with Cluster(build, dcs=dcs, entries=entries, services=names,
                 hosts=dc_hosts // services) as c:
        for i in range(all_hosts - dcs * dc_hosts):
            dc = f"other{i % 16}"
            assert call(c.platform, "POST", (
                f"/hosts/set?host=x{i}&dc={dc}&rack={dc}-{i // 64}"
                f"&addr=127.0.0.1:9&slots=8&pool=plan&state=live"))
        time.sleep(8)
        count = PortBytes({"probes": [h[2] for h in c.hosts.values()],
                           "platform": [c.platform],
                           "heartbeats": [e[2] for e in c.entries.values()]})
        pids = [c.procs[e].pid for e in c.entries]
        probes_0 = [metric(c, e, "probes_total") for e in c.entries]
        cpu_0 = [cpu_s(p) for p in pids]
        took = count.run(seconds)
        used = max(cpu_s(p) - b for p, b in zip(pids, cpu_0))
        probes = [metric(c, e, "probes_total") - b
                  for e, b in zip(c.entries, probes_0)]
        name = f"control, {entries} entry hosts, {dc_hosts} own targets, " \
               f"{all_hosts} listed hosts"
        name += f", {dcs} data centres" if dcs > 1 else ""
        name += f", {services} services" if services > 2 else ""
        row(f"{name}: processor time", used / took * 100, "% of a core")
        row(f"{name}: memory", max(rss_mb(p) for p in pids), "MB")
        control_bytes(name, count.bytes, probes, took)


def control_bytes(name, counted, probes, took):
    """Bytes between two entry hosts count for both; all others concern one
    entry host. Entry hosts differ in their shares of the probes."""
    entries = len(probes)
    row(f"{name}: probes", sum(probes) / took / entries, "1/s")
    row(f"{name}: bytes of a probe", counted["probes"] / sum(probes), "B")
    parts = {"probes": counted["probes"],
             "platform": counted["platform"],
             "heartbeats": 2 * counted["heartbeats"]}
    for part, sent in parts.items():
        row(f"{name}: bytes, {part}", sent / took / entries / 1024, "KB/s")
    mean = sum(parts.values()) / entries
    most = mean + parts["probes"] * (max(probes) / sum(probes) - 1 / entries)
    row(f"{name}: bytes, mean entry host", mean / took / 1024, "KB/s")
    row(f"{name}: bytes, entry host with most probes", most / took / 1024,
        "KB/s")


def publish_time(build):
    """Time until a published change is in force at every entry host."""
    with Cluster(build, dcs=2, entries=4) as c:
        publish_row(c, "8 entry hosts")


def publish_row(c, name, turns=5):
    took = []
    for turn in range(turns):
        text = c.settings().replace("max_requests: 200",
                                    f"max_requests: {300 + turns + turn}")
        before = version(c, "e1")
        start = time.monotonic()
        c.publish(text)
        wait_until(lambda b=before: all(version(c, e) > b for e in c.entries),
                   13, "change in force at every entry host")
        took.append((time.monotonic() - start) * 1000)
    row(f"publish: in force at {name}, worst of {turns}", max(took), "ms",
        "target", 13000.0, max(took) / 13000)


def target_size(build, seconds=20):
    """The target's 136 entry hosts in 17 data centres and 6 regions, with
    5,800 listed hosts, of which two in each data centre are real."""
    with Cluster(build, dcs=17, entries=8, hosts=1, regions=6) as c:
        for i in range(5800 - len(c.hosts)):
            assert call(c.platform, "POST", (
                f"/hosts/set?host=x{i}&dc=other{i % 16}&rack=o{i // 64}"
                f"&addr=127.0.0.1:9&slots=8&pool=plan&state=live"))
        time.sleep(10)
        pids = [c.procs[e].pid for e in c.entries]
        start, cpu_0 = time.monotonic(), [cpu_s(p) for p in pids]
        time.sleep(seconds)
        took = time.monotonic() - start
        used = sorted(cpu_s(p) - b for p, b in zip(pids, cpu_0))
        name = "136 entry hosts, 5800 listed hosts"
        for what, value in (("median", used[len(used) // 2]),
                            ("worst", used[-1])):
            row(f"{name}: processor time, {what}", value / took * 100,
                "% of a core", "target", 2.2, value / took * 100 / 2.2)
        most = max(rss_mb(p) for p in pids)
        row(f"{name}: memory, worst", most, "MB", "target", 32.0, most / 32)
        publish_row(c, name)
        c.fault(outage="refuse")
        time.sleep(20)
        c.fault(outage="0")
        publish_row(c, f"{name}, right after an outage of 20 s", turns=1)


def version(c, entry):
    """Version of the settings in force; -1 without an answer."""
    answer = c.entry(entry, "GET", "/v1/status")
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
