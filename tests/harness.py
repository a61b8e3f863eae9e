"""Helpers for tests with real processes: free ports, starting and stopping
child processes, HTTP calls, and the part of msgpack that the platform uses."""
import contextlib
import functools
import http.client
import itertools
import pathlib
import re
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import typing
import unittest


def check_end(name, code, text):
    """Fails if a process ended with a status other than 0 or if its output
    (text) has a sanitizer report. code: its exit status, or None if the test
    stopped it."""
    found = re.search(r"^.*(Sanitizer: |: runtime error: ).*", text, re.M)
    assert not found, f"{name}: {found.group()}\n{text[found.start():][:4000]}"
    assert not code, f"{name} ended with {code}: {text[-1500:]}"


# First ports of the blocks. All lie below the range from which the kernel
# takes ports for outgoing connections, because the port of a killed process
# must stay free until the process is started again.
PORTS = range(10000, 32000, 1000)


@functools.lru_cache(maxsize=None)
def own_ports():
    """Reserves a block of ports that no other test process uses. Returns the
    socket that reserves it, by staying bound to the first port until this
    process ends, and an endless iterator over its other ports."""
    for first in PORTS:
        mark = socket.socket()
        try:
            mark.bind(("127.0.0.1", first))
        except OSError:
            mark.close()
            continue
        return mark, itertools.cycle(range(first + 1, first + PORTS.step))
    raise AssertionError("every block of ports is in use")


def free_ports(count):
    """Returns different ports that were free when they were tested."""
    found = []
    while len(found) < count:
        port = next(own_ports()[1])
        with contextlib.suppress(OSError), socket.socket() as s:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            s.bind(("127.0.0.1", port))
            found.append(port)
    return found


def free_addr():
    return f"127.0.0.1:{free_ports(1)[0]}"


def wait_until(check, seconds, what):
    """Polls check until its value is true and returns that value. Fails after
    the given time; what: the awaited condition, for the error message."""
    end = time.monotonic() + seconds
    while True:
        value = check()
        if value:
            return value
        if time.monotonic() >= end:
            raise AssertionError(f"not within {seconds} s: {what}")
        time.sleep(0.02)


def wait_port(addr, seconds=10):
    host, port = addr.rsplit(":", 1)

    def connects():
        try:
            socket.create_connection((host, int(port)), 1).close()
            return True
        except OSError:
            return False
    wait_until(connects, seconds, f"{addr} accepts connections")


class Answer(typing.NamedTuple):
    status: int
    headers: http.client.HTTPMessage
    body: bytes

    @property
    def text(self):
        return self.body.decode(errors="replace")


def call(addr, method, path, body=None, headers=None, timeout=10.0):
    """Returns an Answer, or None when the connection broke or timed out
    before a whole answer."""
    conn = http.client.HTTPConnection(addr, timeout=timeout)
    try:
        conn.request(method, path, body, headers or {})
        res = conn.getresponse()
        return Answer(res.status, res.headers, res.read())
    except (OSError, http.client.HTTPException):
        return None
    finally:
        conn.close()


def limit_s(name):
    """Returns a limit of src/limits.h, given there in ms, in seconds."""
    text = (pathlib.Path(__file__).resolve().parent.parent / "src"
            / "limits.h").read_text()
    return int(re.search(rf"#define {name}\s+(\d+)", text).group(1)) / 1000


def is_ok(answer):
    """Returns true if there is an Answer and its status is 200."""
    return answer is not None and answer.status == 200


def run_threads(target, items):
    """Calls target(item) on a separate thread for each item; waits for all."""
    threads = [threading.Thread(target=target, args=(i,)) for i in items]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def write_node(path, name, entries, platform, workers, via=None,
               regions=None):
    """Writes an entry host's configuration file. entries: name -> (data
    centre, HTTP address, peer address); via: (name, peer) -> address at which
    it reaches this peer instead; regions: data centre -> region, r1 if not
    given."""
    def region(of):
        return (regions or {}).get(of, "r1")

    dc, addr, peer = entries[name]
    lines = [f"name: {name}", f"data_centre: {dc}", f"region: {region(dc)}",
             f"http: {addr}", f"peer: {peer}", f"platform: {platform}",
             f"workers: {workers}", "peers:"]
    lines += [f"  - {{name: {other}, data_centre: {odc}, "
              f"region: {region(odc)}, "
              f"peer: '{(via or {}).get((name, other), opeer)}'}}"
              for other, (odc, _, opeer) in entries.items() if other != name]
    pathlib.Path(path).write_text("\n".join(lines) + "\n")


class Processes:
    """Child processes of one test by name, each with a log file. Signals and
    stops only processes that it started."""

    def __init__(self, build):
        self.build = pathlib.Path(build)
        self.dir = tempfile.TemporaryDirectory(prefix="gv-test-")
        self.procs = {}
        # (name, exit status) of processes that the test did not stop.
        self.ended = []

    def logs(self):
        """Returns the output of each process so far."""
        return {log.stem: log.read_text(errors="replace")
                for log in sorted(pathlib.Path(self.dir.name).glob("*.log"))}

    def spawn(self, name, program, *args, addr=None, env=None):
        """Starts a program of the build directory. With addr, waits until it
        accepts connections there."""
        with open(f"{self.dir.name}/{name}.log", "ab") as log:
            self.procs[name] = subprocess.Popen(
                [str(self.build / program), *map(str, args)],
                stdout=log, stderr=log, env=env)
        if addr:
            wait_port(addr)

    def signal(self, name, number):
        self.procs[name].send_signal(number)

    def kill(self, name):
        """Kills a child, also a paused one."""
        proc = self.procs.pop(name)
        if proc.poll() is not None:
            self.ended.append((name, proc.returncode))
        proc.send_signal(signal.SIGCONT)
        proc.kill()
        proc.wait()

    def await_end(self, name, code, seconds):
        """Waits until a process ends by itself with that exit status."""
        proc = self.procs.pop(name)
        assert proc.wait(seconds) == code, f"{name} ended with " \
            f"{proc.returncode}"

    def stop(self, name, seconds=10):
        """Stops a child by SIGTERM and returns its exit status. Fails if it
        still runs after the given time."""
        proc = self.procs.pop(name)
        proc.terminate()
        try:
            code = proc.wait(seconds)
        except subprocess.TimeoutExpired:
            proc.kill()
            proc.wait()
            raise AssertionError(f"{name}: no end after SIGTERM") from None
        check_end(name, None, self.logs()[name])
        return code

    def stop_all(self):
        """Stops all children by SIGTERM; fails unless each exits with 0."""
        codes = {name: self.stop(name) for name in list(self.procs)}
        bad = {name: code for name, code in codes.items() if code != 0}
        for name, text in self.logs().items():
            if text:
                print(f"{name}: {text}", end="")
        self.kill_all()
        assert not bad, f"unclean exits: {bad}"

    def kill_all(self):
        """Kills the children that still run. Fails if one had ended without
        being stopped by the test, or if a log has a sanitizer report."""
        for name in list(self.procs):
            self.kill(name)
        logs = self.logs()
        self.dir.cleanup()
        for name, code in self.ended:
            check_end(name, code or "a status of 0", logs[name])
        for name, text in logs.items():
            check_end(name, None, text)


class ProcessTest(unittest.TestCase):
    """A test with its own child processes. main() sets the build
    directory."""
    build = "build"

    def setUp(self):
        self.procs = Processes(self.build)
        self.addCleanup(self.procs.stop_all)

    def background(self, *args, **kwargs):
        """Runs call() on a thread. Returns (thread, list); the Answer, or
        None, is appended to the list when the call ends."""
        out = []
        thread = threading.Thread(
            target=lambda: out.append(call(*args, **kwargs)))
        thread.start()
        self.addCleanup(thread.join)
        return thread, out


def main(module, argv):
    """Runs the tests of a module. Arguments: [BUILD [TEST...]]."""
    if len(argv) > 1:
        ProcessTest.build = argv[1]
    unittest.main(module, argv=argv[:1] + argv[2:])


def pack(value):
    """Packs a bool, int, float, str, bytes, list or dict as msgpack."""
    if isinstance(value, bool):
        return b"\xc3" if value else b"\xc2"
    if isinstance(value, bytes):
        return b"\xc6" + struct.pack(">I", len(value)) + value
    if isinstance(value, str):
        raw = value.encode()
        return b"\xdb" + struct.pack(">I", len(raw)) + raw
    if isinstance(value, list):
        return (b"\xdd" + struct.pack(">I", len(value)) +
                b"".join(map(pack, value)))
    if isinstance(value, dict):
        return (b"\xdf" + struct.pack(">I", len(value)) +
                b"".join(pack(k) + pack(v) for k, v in value.items()))
    if isinstance(value, float):
        return b"\xcb" + struct.pack(">d", value)
    kind, code = ("q", b"\xd3") if value < 0 else ("Q", b"\xcf")
    return code + struct.pack(">" + kind, value)


_NUMBERS = {0xcc: "B", 0xcd: "H", 0xce: "I", 0xcf: "Q",
            0xd0: "b", 0xd1: "h", 0xd2: "i", 0xd3: "q"}
_SIZES = {0xc4: "B", 0xc5: "H", 0xc6: "I", 0xd9: "B", 0xda: "H", 0xdb: "I",
          0xdc: "H", 0xdd: "I"}


def _number(data, at, kind):
    size = struct.calcsize(kind)
    return struct.unpack(">" + kind, data[at:at + size])[0], at + size


_MAPS = {0xde: "H", 0xdf: "I"}


def _unpack_map(data, at, code):
    size = code & 0x0f
    if code in _MAPS:
        size, at = _number(data, at, _MAPS[code])
    fields = {}
    for _ in range(size):
        key, at = _unpack(data, at)
        fields[key], at = _unpack(data, at)
    return fields, at


def _unpack(data, at):
    code, at = data[at], at + 1
    if code < 0x80 or code >= 0xe0:
        return (code if code < 0x80 else code - 256), at
    if code in (0xc2, 0xc3):
        return code == 0xc3, at
    if code in _NUMBERS:
        return _number(data, at, _NUMBERS[code])
    if 0x80 <= code < 0x90 or code in _MAPS:
        return _unpack_map(data, at, code)
    if code in _SIZES:
        size, at = _number(data, at, _SIZES[code])
    else:
        size = code & (0x1f if code >= 0xa0 else 0x0f)
    if 0x90 <= code < 0xa0 or code in (0xdc, 0xdd):
        items = []
        for _ in range(size):
            item, at = _unpack(data, at)
            items.append(item)
        return items, at
    raw = data[at:at + size]
    assert len(raw) == size, "cut msgpack"
    text = 0xa0 <= code < 0xc0 or 0xd9 <= code <= 0xdb
    return (raw.decode() if text else raw), at + size


def unpack(data):
    """Unpacks one value of the kinds that pack() writes."""
    value, at = _unpack(data, 0)
    assert at == len(data), "bytes left over"
    return value
