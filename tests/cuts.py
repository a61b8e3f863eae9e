"""A cluster whose data centres can be cut off from each other and from the
platform."""
import contextlib

from cluster import Cluster
from relay import Relay


class Cuts:
    """Puts a relay into each path from an entry host to the platform and to
    the entry hosts of other data centres. Entry hosts also dial the addresses
    that member records name, so the relay to the platform replaces these by
    the relays' addresses in what an entry host reads; a cut would otherwise
    end with the next dial."""

    def __init__(self, build, **kwargs):
        self.c = Cluster(build, **kwargs)
        self.relays = []
        self.stack = contextlib.ExitStack()

    def relay(self, addr, *ends, **kwargs):
        r = Relay(addr, **kwargs)
        self.stack.callback(r.stop)
        self.relays.append((ends, r))
        return r.addr

    def __enter__(self):
        c = self.c
        for near, (dc, _, _) in c.entries.items():
            replaced = {}
            for far, (other, _, peer) in c.entries.items():
                if dc != other:
                    c.peer_via[near, far] = self.relay(peer, dc, other)
                    replaced[peer] = c.peer_via[near, far]
            c.platform_via[near] = self.relay(c.platform, dc, "platform",
                                              replaced=replaced)
        self.stack.enter_context(c)
        return self

    def __exit__(self, *exc):
        # The cluster prints its logs when it is told of an exception.
        return self.stack.__exit__(*exc)

    def cut(self, dc, peers=True, platform=True, off=True):
        """Cuts a data centre off from the others and from the platform, or
        puts an end to that."""
        for ends, r in self.relays:
            if dc in ends and (platform if "platform" in ends else peers):
                r.cut = off

    def heal(self):
        for _, r in self.relays:
            r.cut = False
