"""A TCP relay in the test process. While it is cut, new connections are closed
at once, and open ones that send or end become silent: nothing more is passed
on and they stay open, also after the cut, as when a device on the network path
loses its state."""
import contextlib
import select
import socket
import threading
import time


class Relay:
    """Forwards connections from a free port of 127.0.0.1 to to_addr until
    stopped. edit(data) returns what to pass on of the data from to_addr. cut
    is set by tests."""

    def __init__(self, to_addr, edit=lambda data: data):
        self.edit = edit
        host, port = to_addr.rsplit(":", 1)
        self.to_addr = (host, int(port))
        self.cut = False
        self.bytes_per_s = None  # on each connection, towards clients
        self.silenced = None  # first bytes of the requests of silence()
        self.dropped = []  # first bytes of requests that were not passed on
        self.server = socket.create_server(("127.0.0.1", 0))
        self.addr = f"127.0.0.1:{self.server.getsockname()[1]}"
        self.sockets = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                near, _ = self.server.accept()
            except OSError:
                return
            if self.cut:
                near.close()
                continue
            try:
                far = socket.create_connection(self.to_addr, 2)
            except OSError:
                near.close()
                continue
            # State of both directions. silent is never reset; request: the
            # first bytes of the last data from the client.
            pair = {"silent": False, "far": far, "request": b""}
            self.sockets.append((near, far, pair))
            for source, sink in ((near, far), (far, near)):
                threading.Thread(target=self.pump, args=(source, sink, pair),
                                 daemon=True).start()

    def pump(self, source, sink, pair):
        """Passes data from source to sink until the connection ends."""
        while True:
            try:
                data = source.recv(65536)
            except OSError:
                data = b""
            if source is not pair["far"]:
                pair["request"] = data[:100]
            if pair["silent"] or self.cut or (
                    self.silenced
                    and pair["request"].startswith(self.silenced)):
                pair["silent"] = True
                if not data:
                    return
                if source is not pair["far"]:
                    self.dropped.append(data[:100])
                continue
            if not data:
                for s in (source, sink):
                    with contextlib.suppress(OSError):
                        s.shutdown(socket.SHUT_RDWR)
                return
            try:
                sink.sendall(self.edit(data) if source is pair["far"]
                             else data)
                if self.bytes_per_s and source is pair["far"]:
                    time.sleep(len(data) / self.bytes_per_s)
            except OSError:
                return

    def silence(self, request):
        """Makes connections silent whose last request begins with these
        bytes, including open ones that wait for a response. None ends this;
        connections that are silent stay so."""
        self.silenced = request

    def silence_open(self):
        """Makes all open connections silent; new ones work."""
        for _, _, pair in self.sockets:
            pair["silent"] = True

    def stop(self):
        self.server.close()
        for near, far, _ in self.sockets:
            near.close()
            far.close()


class HoldingRelay:
    """Forwards connections like a network that can hold up what clients send.
    While held is set, nothing reaches to_addr; afterwards everything does,
    except data of connections that the client has reset meanwhile."""

    def __init__(self, to_addr):
        host, port = to_addr.rsplit(":", 1)
        self.to_addr = (host, int(port))
        self.held = False
        self.late = []  # data delivered after its connection had ended
        self.server = socket.create_server(("127.0.0.1", 0))
        self.addr = f"127.0.0.1:{self.server.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                near, _ = self.server.accept()
                far = socket.create_connection(self.to_addr, 2)
            except OSError:
                return
            threading.Thread(target=self.send, args=(near, far),
                             daemon=True).start()
            threading.Thread(target=self.answer, args=(near, far),
                             daemon=True).start()

    def send(self, near, far):
        """Passes on what the client sends."""
        waiting, ended = b"", False
        with contextlib.suppress(OSError):  # a reset drops what waits
            while not (ended and not waiting):
                if not ended and select.select([near], [], [], 0.01)[0]:
                    data = near.recv(65536)
                    waiting, ended = waiting + data, not data
                if waiting and not self.held:
                    if ended:
                        self.late.append(waiting)
                    far.sendall(waiting)
                    waiting = b""
                elif ended:
                    time.sleep(0.01)
        for s in (near, far):
            with contextlib.suppress(OSError):
                s.shutdown(socket.SHUT_RDWR)

    @staticmethod
    def answer(near, far):
        with contextlib.suppress(OSError):
            while data := far.recv(65536):
                near.sendall(data)
        with contextlib.suppress(OSError):
            near.shutdown(socket.SHUT_WR)
