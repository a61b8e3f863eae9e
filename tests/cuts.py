"""A cluster with network partitions: data centres can be cut off from each
other and from the platform."""
import contextlib
import functools

from cluster import Cluster
from relay import Relay


def replace_all(replaced, data):
    """Replaces addresses in a response by others of the same length."""
    for old, new in replaced.items():
        assert len(old) == len(new)
        data = data.replace(old.encode(), new.encode())
    return data


class Cuts:
    """Puts a relay into each path from an entry host to the platform and to
    the entry hosts of other data centres. Entry hosts also connect to the
    addresses in member records. The relay to the platform therefore replaces
    these by the relays' addresses in what an entry host reads; otherwise the
    next connection would bypass the cut."""

    def __init__(self, build, **kwargs):
        self.cluster = Cluster(build, **kwargs)
        self.relays = []
        self.stack = contextlib.ExitStack()

    def relay(self, addr, *ends, **kwargs):
        """Starts a relay to addr and returns its address. ends: the two data
        centres that it connects, or a data centre and "platform"."""
        r = Relay(addr, **kwargs)
        self.stack.callback(r.stop)
        self.relays.append((ends, r))
        return r.addr

    def __enter__(self):
        c = self.cluster
        for near, (dc, _, _) in c.entries.items():
            replaced = {}
            for far, (other, _, peer) in c.entries.items():
                if dc != other:
                    c.peer_via[near, far] = self.relay(peer, dc, other)
                    replaced[peer] = c.peer_via[near, far]
            c.platform_via[near] = self.relay(
                c.platform, dc, "platform",
                edit=functools.partial(replace_all, replaced))
        self.stack.enter_context(c)
        return self

    def __exit__(self, *exc):
        # With an exception, the exit of the cluster prints its logs.
        return self.stack.__exit__(*exc)

    def cut(self, dc, peers=True, platform=True, off=True):
        """Cuts a data centre off from the other ones (peers) and from the
        platform; off=False ends this. Connections that were open during the
        cut stay silent."""
        for ends, r in self.relays:
            if dc in ends and (platform if "platform" in ends else peers):
                r.cut = off

    def heal(self):
        """Ends all cuts."""
        for _, r in self.relays:
            r.cut = False
