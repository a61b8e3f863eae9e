#!/usr/bin/env python3
"""The operator command line with the platform stand-in and with HTTP servers
of this test. Guards against a change reported with the wrong result when a
response is lost or the platform is down, a publish that drops or overwrites
another team's settings, commands that fail when the log no longer has its
first records, and wrong exit codes."""
import contextlib
import ctypes
import http.server
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import threading
import time

import harness
import ledger_lib as gv

BUILD = pathlib.Path(sys.argv[1])
LIB = gv.load(str(BUILD))
POOLS = ("kind: pool\npool: p\nmax_out: 2\nspare: q\n---\nkind: pool\n"
         "pool: q\nis_spare: true\n---\n")
SERVICE = "kind: service\nservice: %s\npool: p\nqueue: {max_requests: %d}\n"
OK, USAGE, INVALID, REJECTED, UNREACHABLE, UNKNOWN = 0, 2, 3, 4, 5, 6


class Platform:
    """A platform stand-in. raws: the packed records appended by append()."""

    def __init__(self, *args):
        self.addr = harness.free_addr()
        env = {k: v for k, v in os.environ.items() if k != "LD_PRELOAD"}
        self.env = dict(env, GYPSUMVALVE_PLATFORM=self.addr)
        self.env.pop("GYPSUMVALVE_ENTRY", None)
        self.procs = harness.Processes(BUILD)
        self.procs.spawn("platform", "standin-platform", "--listen", self.addr,
                         *args, addr=self.addr, env=env)
        self.seq, self.raws = 0, []

    def __enter__(self):
        return self

    def __exit__(self, *exc):
        self.procs.stop_all()

    def call(self, method, path, body=None):
        answer = harness.call(self.addr, method, path, body)
        assert harness.is_ok(answer), (path, answer)

    def run(self, *args, code=OK, **env):
        """Runs an operator command that must end with that exit code; returns
        its output."""
        done = subprocess.run([str(BUILD / "gypsumvalve"), *args],
                              env=dict(self.env, **env), capture_output=True,
                              text=True, timeout=60, check=False)
        assert done.returncode == code, (args, done)
        return done.stdout + done.stderr

    def append(self, kind, call, *args):
        """Appends a record as an entry host would."""
        self.seq += 1
        raw = gv.record(LIB, kind, "e1", 10, self.seq, int(time.time() * 1000),
                        gv.pack(LIB, call, *args))
        self.raws.append(raw)
        self.call("POST", "/log/append", harness.pack([raw]))

    def add_hosts(self):
        """Adds entry host e1 and four hosts in pool p."""
        m = gv.member("e1", "k1", 10)
        self.append("member", LIB.GvLedger_PackMember, ctypes.byref(m), 0)
        for i in range(4):
            h = gv.host("h%d" % i, "k1", "r%d" % i, "p", "b1")
            self.append("host", LIB.GvLedger_PackHost, ctypes.byref(h))

    def status(self):
        return json.loads(self.run("status", "--json"))

    def host(self, name):
        return [h for h in self.status()["hosts"] if h["host"] == name][0]


def write(root, team, text):
    """Writes a team's settings; returns their directory."""
    path = pathlib.Path(root) / team
    path.mkdir(exist_ok=True)
    (path / "gypsumvalve.yaml").write_text(text)
    return str(path)


def publish(p, root):
    base = write(root, "base", POOLS)
    one = write(root, "one", SERVICE % ("one", 10))
    p.run("publish", one, code=INVALID)  # its pool is not declared yet
    p.run("publish", base, one)
    version = p.status()["settings_version"]
    assert "unchanged" in p.run("publish", one)
    # Another team's publish leaves the first one's service in force.
    two = write(root, "two", SERVICE % ("two", 10))
    p.run("publish", two)
    assert p.status()["settings_version"] > version
    p.run("publish", one, "--remove", "service/two")
    p.run("publish", one, "--remove", "service/two", code=USAGE)
    out = p.run("publish", write(root, "bad", SERVICE % ("x", 0)), two,
                code=INVALID)
    assert "bad/gypsumvalve.yaml:4: queue.max_requests: expected" in out, out
    p.add_hosts()
    out = p.run("publish", "--replace", write(
        root, "q", "{kind: pool, pool: q}"), code=REJECTED)
    assert "pool p is dropped" in out, out


def racing_publishers(p, root):
    """Each of several publishes with one base version is accepted or rejected
    because of the base version."""
    codes = []

    def one(i):
        path = write(root, "race%d" % i, SERVICE % ("race%d" % i, 10))
        done = subprocess.run([str(BUILD / "gypsumvalve"), "publish", path],
                              env=p.env, capture_output=True, text=True,
                              timeout=60, check=False)
        codes.append((done.returncode, done.stderr))

    harness.run_threads(one, range(4))
    assert any(c == OK for c, _ in codes), codes
    assert all(c == OK or (c == REJECTED and "base version" in e)
               for c, e in codes), codes


def claims(p):
    p.run("drain", "h0")
    assert p.host("h0")["claim"] == "drain"
    p.run("drain", "h0", code=REJECTED)
    p.run("undrain", "h0")
    p.run("undrain", "h0", code=REJECTED)
    p.run("move", "h1", "--to", "q")
    assert p.host("h1")["waiting"] == 1
    p.run("move", "h1", "--cancel")
    p.run("move", "h1", "--to", "q")
    # The only entry host is removed, so the move needs no confirmation.
    p.run("entry", "remove", "e1")
    p.run("entry", "remove", "e1", code=REJECTED)
    assert p.host("h1")["pool"] == "q"


def waves(p):
    p.run("wave", "start", "w", "--pool", "p", "--width", "2")
    assert "state=running" in p.run("wave", "status", "w")
    p.run("wave", "start", "w2", "--pool", "p", code=REJECTED)
    p.run("wave", "resume", "w", code=REJECTED)
    p.run("wave", "stop", "w")
    assert json.loads(p.run("wave", "status", "--json"))["waves"][0][
        "state"] == "done"
    p.run("wave", "status", "none", code=REJECTED)


def faults(p):
    """The result is right although responses are lost, records are duplicated
    or the platform is down."""
    for fault in ("lose_append", "duplicate_append"):
        p.call("POST", "/faults?%s=1" % fault)
        p.run("drain", "h2")
        p.call("POST", "/faults?%s=1" % fault)
        p.run("undrain", "h2")
    before = p.status()["offset"]
    p.call("POST", "/faults?outage=503")
    p.run("drain", "h2", "--timeout", "1", code=UNREACHABLE)
    p.call("POST", "/faults?outage=0")
    assert p.status()["offset"] == before


def retention(with_checkpoint):
    """When the log has lost its first records, a command starts from a
    checkpoint, or fails if there is none."""
    with Platform("--retention-records", "8") as p:
        doc = gv.Document(gv.to_str("a.yaml"),
                          gv.to_str("{kind: pool, pool: p}"))
        p.append("settings", LIB.GvLedger_PackSettings, 0, ctypes.byref(doc),
                 1)
        p.add_hosts()
        ledger = gv.Ledger(LIB)
        for raw in p.raws:
            assert ledger.apply(int(time.time() * 1000), raw).kind == 0
        if with_checkpoint:
            p.append("checkpoint", LIB.GvLedger_PackCheckpoint, ledger.handle)
        ledger.close()
        for i in range(4):
            h = gv.host("h0", "k1", "r0", "p", "b%d" % i)
            p.append("host", LIB.GvLedger_PackHost, ctypes.byref(h))
        if with_checkpoint:
            p.run("drain", "h0")
            assert p.host("h0")["boot"] == "b3"
        else:
            out = p.run("drain", "h0", code=UNREACHABLE)
            assert "no checkpoint" in out, out


class Handler(http.server.BaseHTTPRequestHandler):
    def reply(self, body):
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *args):
        pass


@contextlib.contextmanager
def http_server(handler):
    """Runs an HTTP server on a free port; the value is its address."""
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield "127.0.0.1:%d" % server.server_port
    server.shutdown()
    server.server_close()


class Entry(Handler):
    """An entry host with the pages that the operator commands read."""
    pages = {"/v1/status": {"name": "e1", "services": [{"service": "s",
                                                        "queued": 3}]},
             "/v1/burn": {"services": [{"service": "s", "windows": [
                 {"window_s": 60, "burn": 1.5}]}]}}

    def do_GET(self):
        self.reply(json.dumps(self.pages[self.path]).encode())


def entry_pages(p):
    with http_server(Entry) as addr:
        assert "service=s queued=3" in p.run("status", "--entry", addr)
        assert "window_s=60 burn=1.500" in p.run("burn", "s", "--entry", addr)
        p.run("burn", "t", GYPSUMVALVE_ENTRY=addr, code=USAGE)
        # This entry host's status has no waves; they are read from the log.
        assert "name=w" in p.run("wave", "status", "--entry", addr)
    assert "offset" in p.run("status", "--entry", addr)
    p.run("burn", "--entry", addr, "--timeout", "1", code=UNREACHABLE)
    p.run("burn", code=USAGE)


class NoAppendResponse(Handler):
    """A platform with an empty log that closes the connection of each append
    without a response."""
    bodies = []

    def do_GET(self):
        self.reply(bytes.fromhex("940000cd03e890"))

    def do_POST(self):
        size = int(self.headers["Content-Length"])
        self.bodies.append(self.rfile.read(size))
        self.close_connection = True


def lost_answers(p):
    """Without a verdict the result is unknown, and every attempt sends the
    same record."""
    with http_server(NoAppendResponse) as addr:
        out = p.run("drain", "h0", "--platform", addr, "--timeout", "2",
                    "--json", code=UNKNOWN)
    assert json.loads(out)["result"] == "unknown", out
    bodies = NoAppendResponse.bodies
    assert len(bodies) > 1 and len(set(bodies)) == 1, bodies


def main():
    with tempfile.TemporaryDirectory() as root:
        with Platform() as p:
            publish(p, root)
            claims(p)
            waves(p)
            racing_publishers(p, root)
            faults(p)
            entry_pages(p)
            lost_answers(p)
    retention(True)
    retention(False)
    print("ok")


if __name__ == "__main__":
    main()
