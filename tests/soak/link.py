"""A TCP relay between a daemon and another party that can harm connections:
delays, cuts one way, resets and silence. What a client sent before it reset
its connection is dropped if it has not been passed on yet."""
import collections
import contextlib
import select
import socket
import struct
import threading
import time

UP, DOWN = "up", "down"  # from the client to the server, and back
RESET = struct.pack("ii", 1, 0)


def reset(sock):
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()


class Connection:
    def __init__(self, link, near, far):
        self.link, self.silent, self.broken = link, False, False
        self.ways = {UP: (near, far), DOWN: (far, near)}
        self.waiting = {UP: collections.deque(), DOWN: collections.deque()}
        self.ended = set()
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self.carry, daemon=True).start()

    def carry(self):
        with contextlib.suppress(OSError):  # reset by either side
            while self.step():
                pass
        for sock in self.ways[UP]:
            reset(sock)
        self.link.connections.discard(self)

    def step(self):
        """Receives and passes on what is due. Returns false at the end."""
        poll = select.poll()
        for way, (source, _) in self.ways.items():
            if way not in self.ended:
                poll.register(source, select.POLLIN)
        held = any(self.waiting.values())
        ready = {fd for fd, _ in poll.poll(10 if held else 200)}
        for way, (source, sink) in self.ways.items():
            queue = self.waiting[way]
            if source.fileno() in ready and way not in self.ended:
                data = source.recv(65536)
                queue.append((time.monotonic() + self.link.delay_s, data))
                if not data:
                    self.ended.add(way)
            while (queue and queue[0][0] <= time.monotonic()
                   and not self.silent and way not in self.link.cut):
                data = queue.popleft()[1]
                if not data:
                    sink.shutdown(socket.SHUT_RDWR)
                    return False
                sink.sendall(data)
        return not self.broken


class Link:
    """Listens on a free port of 127.0.0.1 and forwards to to_addr. Set by
    faults: delay_s; cut, the ways that hold up their data; refusing, if new
    connections are reset."""

    def __init__(self, to_addr):
        host, port = to_addr.rsplit(":", 1)
        self.to_addr = (host, int(port))
        self.delay_s, self.cut, self.refusing = 0.0, set(), False
        self.connections = set()
        self.server = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.addr = f"127.0.0.1:{self.server.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            near, _ = self.server.accept()
            if self.refusing:
                reset(near)
                continue
            try:
                far = socket.create_connection(self.to_addr, 2)
            except OSError:
                reset(near)
                continue
            self.connections.add(Connection(self, near, far))

    def silence(self):
        """Makes the open connections silent for good; new ones work."""
        for connection in list(self.connections):
            connection.silent = True

    def reset(self):
        for connection in list(self.connections):
            connection.broken = True
