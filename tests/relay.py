"""A TCP relay in the test process. Cut: new connections are refused and open
ones go silent for good, as when a device between two ends loses its state."""
import contextlib
import socket
import threading


class Relay:
    """Forwards 127.0.0.1:PORT to an address until stopped. replaced: addresses
    in the answers and what stands for them, of the same length."""

    def __init__(self, to_addr, replaced=None):
        self.replaced = {a.encode(): b.encode()
                         for a, b in (replaced or {}).items()}
        assert all(len(a) == len(b) for a, b in self.replaced.items())
        host, port = to_addr.rsplit(":", 1)
        self.to_addr = (host, int(port))
        self.cut = False
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
            pair = {"silent": False, "far": far}
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
            if pair["silent"] or self.cut:
                pair["silent"] = True
                if not data:
                    return
                continue
            if not data:
                for s in (a, b):
                    with contextlib.suppress(OSError):
                        s.shutdown(socket.SHUT_RDWR)
                return
            if a is pair["far"]:
                for old, new in self.replaced.items():
                    data = data.replace(old, new)
            try:
                b.sendall(data)
            except OSError:
                return

    def silence(self):
        """Open connections go silent; new ones work."""
        for _, _, pair in self.sockets:
            pair["silent"] = True

    def stop(self):
        self.server.close()
        for near, far, _ in self.sockets:
            near.close()
            far.close()
