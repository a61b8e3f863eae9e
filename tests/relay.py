"""A TCP relay in the test process. Cut: new connections are refused and open
ones go silent for good, as when a device between two ends loses its state."""
import contextlib
import socket
import threading


class Relay:
    """Forwards 127.0.0.1:PORT to an address until stopped. edit changes what
    comes back from there."""

    def __init__(self, to_addr, edit=lambda data: data):
        self.edit = edit
        host, port = to_addr.rsplit(":", 1)
        self.to_addr = (host, int(port))
        self.cut = False
        self.lost = None
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
            # A pair is silenced for good when the relay is cut meanwhile.
            pair = {"silent": False, "far": far, "request": b""}
            self.sockets.append((near, far, pair))
            for a, b in ((near, far), (far, near)):
                threading.Thread(target=self.pump, args=(a, b, pair),
                                 daemon=True).start()

    def pump(self, a, b, pair):
        while True:
            try:
                data = a.recv(65536)
            except OSError:
                data = b""
            if a is not pair["far"]:
                pair["request"] = data[:100]
            if pair["silent"] or self.cut or (
                    self.lost and pair["request"].startswith(self.lost)):
                pair["silent"] = True
                if not data:
                    return
                continue
            if not data:
                for s in (a, b):
                    with contextlib.suppress(OSError):
                        s.shutdown(socket.SHUT_RDWR)
                return
            try:
                b.sendall(self.edit(data) if a is pair["far"] else data)
            except OSError:
                return

    def lose(self, request):
        """Connections whose last request begins so go silent, also open ones
        that wait for an answer; None ends that for new connections."""
        self.lost = request

    def stop(self):
        self.server.close()
        for near, far, _ in self.sockets:
            near.close()
            far.close()
