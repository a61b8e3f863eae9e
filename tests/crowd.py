"""Callers outside the limits, for tests of what one daemon spends on them:
connections that send without end, do not read, or come back when closed."""
import contextlib
import itertools
import os
import pathlib
import selectors
import signal
import socket
import sys
import threading
import time

import flood

# The crowds and the bounds. A host for tests of memory has MEMORY_MB and
# MEMORY_FDS, one for tests of places and descriptors PLACES_MB and PLACES_FDS.
MEMORY_MB = 64
MEMORY_FDS = 2048
MEMORY_CROWD = 700
PLACES_MB = 96
PLACES_FDS = 512
PLACES_CROWD = 300
FILE_FDS = 200  # of the descriptors are for files, the others for sockets
PEER_CROWD = 300
SEND_BYTES = 512 * 1024  # of one caller in a test of memory
ENDLESS = 2**32  # bytes
SEND_S = 5
PAUSE_S = 2
SAMPLE_S = 0.2
HOLD_S = 5  # after the last byte was sent
ANSWER_S = 20
RETRY_S = 1


def settings(memory_mb, max_fds):
    return f"memory_mb: {memory_mb}\nmax_fds: {max_fds}\n"


def unread_bytes(addr):
    """Returns the bytes that the connections to a listening address have
    received and not yet read, those that wait to be accepted included."""
    port = int(addr.rsplit(":", 1)[1])
    total = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().split("\n")[1:-1]:
        fields = line.split()
        if int(fields[1].split(":")[1], 16) == port and fields[3] != "0A":
            total += int(fields[4].split(":")[1], 16)
    return total


def count_sockets(pid):
    count = 0
    for entry in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(OSError):
            count += os.readlink(entry).startswith("socket:")
    return count


class Crowd(threading.Thread):
    """`count` connections to one address, each of which sends what its own
    iterator of bytes yields until it ends. They stay open until close()."""

    def __init__(self, addr, count, sends, read=False, again=False):
        super().__init__(daemon=True)
        host, port = addr.split(":")
        self.addr = host, int(port)
        self.sends = sends  # returns an iterator of what a connection sends
        self.read = read  # reads the responses
        self.again = again  # connects again when it was closed
        self.poll = selectors.DefaultSelector()
        self.stopped = threading.Event()
        self.finished = threading.Event()  # nobody has anything left to send
        self.silent = []  # connections that neither read nor send any more
        self.sending = 0
        for _ in range(count):
            self.connect()
        self.start()

    def connect(self):
        s = socket.socket()
        s.setblocking(False)
        if not self.read:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        s.connect_ex(self.addr)
        self.sending += 1
        wanted = selectors.EVENT_READ if self.read else 0
        self.poll.register(s, wanted | selectors.EVENT_WRITE,
                           [self.sends(), b""])

    def drop(self, key):
        self.poll.unregister(key.fileobj)
        key.fileobj.close()
        self.sending -= key.data[0] is not None
        if self.again and not self.stopped.is_set():
            self.connect()

    def send(self, key):
        sends, left = key.data
        left = left or next(sends, b"")
        if left:
            key.data[1] = left[key.fileobj.send(left):]
            return
        key.data[0] = None
        self.sending -= 1
        if self.read:
            self.poll.modify(key.fileobj, selectors.EVENT_READ, key.data)
        else:
            self.poll.unregister(key.fileobj)
            self.silent.append(key.fileobj)

    def run(self):
        while not self.stopped.is_set():
            for key, events in self.poll.select(0.1):
                try:
                    if events & selectors.EVENT_READ and \
                            not key.fileobj.recv(65536):
                        self.drop(key)
                    elif events & selectors.EVENT_WRITE and key.data[0]:
                        self.send(key)
                except BlockingIOError:
                    pass
                except OSError:
                    self.drop(key)
            if self.sending == 0:
                self.finished.set()

    def close(self):
        self.stopped.set()
        self.join()
        for s in [k.fileobj for k in self.poll.get_map().values()]:
            s.close()
        for s in self.silent:
            s.close()
        self.poll.close()


def repeat(data, total):
    """Returns a function for Crowd: each connection sends data repeatedly, up
    to total bytes."""
    block = data * max(1, 16384 // len(data))
    return lambda: itertools.repeat(block, max(1, total // len(block)))


def first_then(first, data, total):
    """Returns a function for Crowd: first once, then data repeatedly."""
    return lambda: itertools.chain([first], repeat(data, total)())


class Watch(threading.Thread):
    """Samples what a process holds: unread bytes of its connections at addr,
    and its sockets. The resident peak comes from the kernel."""

    def __init__(self, pid, addr):
        super().__init__(daemon=True)
        self.pid, self.addr = pid, addr
        self.unread = self.sockets = 0
        self.stopped = threading.Event()
        flood.reset_peak(pid)
        self.start()

    def run(self):
        with contextlib.suppress(OSError):
            while not self.stopped.wait(SAMPLE_S):
                self.unread = max(self.unread, unread_bytes(self.addr))
                self.sockets = max(self.sockets, count_sockets(self.pid))

    def mb(self):
        return flood.peak_mb(self.pid) + self.unread // 2**20


def is_answered(ordinary):
    """Makes an ordinary request, again after RETRY_S while it is refused."""
    end = time.monotonic() + ANSWER_S
    while not ordinary():
        if time.monotonic() >= end:
            return False
        time.sleep(RETRY_S)
    return True


def play(proc, addr, crowd, ordinary, bounds, pause=False):
    """Lets a crowd act on a daemon: crowd is a function that returns one.
    bounds: memory in MB with unread bytes, and sockets. Returns what is wrong:
    nothing if the daemon lives, stayed within the bounds and ordinary(), a
    request made while the crowd is still there, is answered."""
    watch = Watch(proc.pid, addr)
    if pause:
        proc.send_signal(signal.SIGSTOP)
    with contextlib.closing(crowd()) as callers:
        if pause:
            time.sleep(PAUSE_S)
            watch.unread = max(watch.unread, unread_bytes(addr))
            proc.send_signal(signal.SIGCONT)
        callers.finished.wait(SEND_S)
        time.sleep(HOLD_S)
        answered = is_answered(ordinary)
        lives = proc.poll() is None
    watch.stopped.set()
    watch.join()
    mb = watch.mb() if lives else 0
    wrong = [] if lives else ["the process ended"]
    if mb > bounds[0] and flood.is_plain(proc):
        wrong.append(f"{mb} MB, bound {bounds[0]}")
    if watch.sockets > bounds[1]:
        wrong.append(f"{watch.sockets} sockets, bound {bounds[1]}")
    if lives and watch.sockets == 0:
        wrong.append("the daemon was not observed")
    if not answered:
        wrong.append("no answer to an ordinary request")
    print(f"  {mb} MB, of these {watch.unread / 2**20:.1f} unread, "
          f"{watch.sockets} sockets, answered {answered}", flush=True)
    return wrong


KINDS = ("bodies", "chunks", "trailers", "lookups", "unread")


def misbehave(addr, host, kind, count, seconds):
    """Lets a crowd of one of KINDS act on a scheduler daemon."""
    head = f"POST /q/00000000000000fd HTTP/1.1\r\nHost: {host}\r\n".encode()
    lookup = f"GET /q/00000000000000fe HTTP/1.1\r\nHost: {host}\r\n\r\n"
    body = head + b"Content-Length: 1000000\r\n\r\n"
    chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
    sends = {"bodies": first_then(body, b"x", SEND_BYTES),
             "chunks": first_then(chunked, b"1\r\nx\r\n", SEND_BYTES),
             "trailers": first_then(chunked + b"0\r\nX: ", b"x", SEND_BYTES),
             "lookups": repeat(lookup.encode(), ENDLESS),
             "unread": repeat(lookup.encode(), ENDLESS)}[kind]
    read = kind == "lookups"
    with contextlib.closing(Crowd(addr, count, sends, read, read)):
        time.sleep(seconds)


# ADDR HOST KIND COUNT SECONDS, for the soak.
if __name__ == "__main__":
    misbehave(*sys.argv[1:4], int(sys.argv[4]), float(sys.argv[5]))
