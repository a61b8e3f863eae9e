"""Calls the ledger of libgypsumvalve.so through ctypes, for
proc_ledger_state.py and proc_operator.py. The structures have the layout of
those in src/, field by field."""
import ctypes
import glob
import os
import sys

U64 = ctypes.c_uint64
I64 = ctypes.c_int64
INT = ctypes.c_int
PTR = ctypes.c_void_p


class Str(ctypes.Structure):
    _fields_ = [("p", ctypes.c_char_p), ("n", ctypes.c_size_t)]

    def text(self):
        return (self.p or b"")[:self.n].decode()


def to_str(text):
    """Returns a Str of a str or of bytes."""
    raw = text if isinstance(text, bytes) else text.encode()
    return Str(raw, len(raw))


class Buffer(ctypes.Structure):
    """msgpack_sbuffer of msgpack-c."""
    _fields_ = [("size", ctypes.c_size_t), ("data", PTR),
                ("alloc", ctypes.c_size_t)]


class PtrArray(ctypes.Structure):
    """GPtrArray of GLib, with strings or host rows."""
    _fields_ = [("data", ctypes.POINTER(PTR)), ("len", ctypes.c_uint)]


class Claim(ctypes.Structure):
    _fields_ = [("offset", U64), ("fence", U64), ("waived", ctypes.c_bool),
                ("kind", INT), ("phase", INT), ("wave", Str),
                ("to_pool", Str), ("holder", Str),
                ("holder_incarnation", U64),
                ("waiting", ctypes.POINTER(PtrArray))]


class Host(ctypes.Structure):
    _fields_ = [("name", Str), ("dc", Str), ("rack", Str), ("addr", Str),
                ("pool", Str), ("boot", Str), ("slots", INT), ("state", INT),
                ("claim", ctypes.POINTER(Claim)), ("last_wave_offset", U64)]


class Member(ctypes.Structure):
    _fields_ = [("name", Str), ("dc", Str), ("peer_addr", Str),
                ("http_addr", Str), ("incarnation", U64), ("join_offset", U64)]


class Record(ctypes.Structure):
    _fields_ = [("kind", Str), ("origin", Str), ("incarnation", U64),
                ("sequence", U64), ("created_ms", I64), ("expires_ms", I64),
                ("payload", PTR)]


class Document(ctypes.Structure):
    _fields_ = [("file", Str), ("text", Str)]


class Verdict(ctypes.Structure):
    _fields_ = [("kind", INT), ("offset", U64),
                ("rec_kind", ctypes.c_char * 16),
                ("origin", ctypes.c_char * 64), ("incarnation", U64),
                ("sequence", U64), ("reason", ctypes.c_char * 200)]


ACCEPTED, REJECTED, DUPLICATE, EXPIRED, MALFORMED = range(5)


STEP = (None, [PTR, Str, U64, Str, U64])
SIGNATURES = {
    "Ledger_New": (PTR, []), "Ledger_Free": (None, [PTR]),
    "Ledger_Apply": (INT, [PTR, U64, I64, Str, PTR]),
    "Ledger_Digest": (U64, [PTR]), "Ledger_NextOffset": (U64, [PTR]),
    "Ledger_SettingsVersion": (U64, [PTR]),
    "Ledger_Save": (None, [PTR, PTR]), "Ledger_Load": (INT, [Str, PTR]),
    "Ledger_Hosts": (ctypes.POINTER(PtrArray), [PTR]),
    "Record_Pack": (None, [PTR, PTR, Str]),
    "Ledger_PackSettings": (None, [PTR, U64, PTR, INT]),
    "Ledger_PackHost": (None, [PTR, PTR]),
    "Ledger_PackMember": (None, [PTR, PTR, INT]),
    "Ledger_PackClaim": (None, [PTR, Str, INT, Str, Str, Str, U64]),
    "Ledger_PackConfirm": STEP, "Ledger_PackAct": STEP,
    "Ledger_PackTakeover": STEP, "Ledger_PackCheckpoint": (None, [PTR, PTR]),
    "Ledger_PackDone": (None, [PTR, Str, U64, INT]),
    "Ledger_PackWave": (None, [PTR, Str, Str, INT, INT])}


def load(build):
    """Loads the library and declares its functions. If it was built with the
    address sanitizer, Python is restarted with the sanitizer's runtime
    preloaded. If it was built with the thread sanitizer, the test ends here
    with status 0: that runtime cannot be preloaded, and the ledger starts no
    threads."""
    path = os.path.join(build, "libgypsumvalve.so")
    with open(path, "rb") as f:
        code = f.read()
    if b"__tsan_init" in code:
        print("not applicable: the ledger has no threads")
        sys.exit(0)
    if b"__asan_init" in code and "LD_PRELOAD" not in os.environ:
        runtime = sorted(glob.glob("/usr/lib/gcc/*/*/libasan.so"))[-1]
        env = dict(os.environ, LD_PRELOAD=runtime,
                   ASAN_OPTIONS="detect_leaks=0")
        os.execve(sys.executable, [sys.executable] + sys.argv, env)
    lib = ctypes.CDLL(path)
    for name, (result, args) in SIGNATURES.items():
        call = getattr(lib, "Gv" + name)
        call.restype, call.argtypes = result, args
    return lib


class Ledger:
    """A ledger, to which records are applied in the order of the log."""

    def __init__(self, lib, handle=None):
        self.lib = lib
        self.handle = handle or lib.GvLedger_New()

    def close(self):
        self.lib.GvLedger_Free(self.handle)

    def apply(self, ms, raw):
        """Applies a packed record appended at ms; returns its Verdict."""
        v = Verdict()
        err = self.lib.GvLedger_Apply(self.handle, self.next(), ms,
                                      to_str(raw), ctypes.byref(v))
        assert err == 0
        return v

    def next(self):
        return self.lib.GvLedger_NextOffset(self.handle)

    def digest(self):
        return self.lib.GvLedger_Digest(self.handle)

    def version(self):
        return self.lib.GvLedger_SettingsVersion(self.handle)

    def copy(self):
        """Returns a ledger loaded from this one's saved state."""
        out = PTR()
        raw = pack(self.lib, self.lib.GvLedger_Save, self.handle)
        assert self.lib.GvLedger_Load(to_str(raw), ctypes.byref(out)) == 0
        return Ledger(self.lib, out.value)

    def hosts(self):
        """Returns name -> dict of the fields that proc_ledger_state.py
        models."""
        rows = self.lib.GvLedger_Hosts(self.handle).contents
        out = {}
        for i in range(rows.len):
            h = ctypes.cast(rows.data[i], ctypes.POINTER(Host)).contents
            claim = None
            if h.claim:
                c = h.claim.contents
                w = c.waiting.contents
                claim = dict(offset=c.offset, fence=c.fence, kind=c.kind,
                             phase=c.phase, wave=c.wave.text(),
                             to_pool=c.to_pool.text(),
                             holder=c.holder.text(),
                             inc=c.holder_incarnation, waived=c.waived,
                             waiting=[ctypes.string_at(w.data[j]).decode()
                                      for j in range(w.len)])
            out[h.name.text()] = dict(
                dc=h.dc.text(), rack=h.rack.text(), pool=h.pool.text(),
                boot=h.boot.text(), state=h.state, claim=claim,
                wave_done=h.last_wave_offset)
        return out


def pack(lib, call, *args):
    """Calls a function that writes msgpack and returns what it wrote."""
    buf = Buffer()
    if call == lib.GvLedger_Save:
        call(args[0], ctypes.byref(buf))
    else:
        call(ctypes.byref(buf), *args)
    raw = ctypes.string_at(buf.data, buf.size)
    libc = ctypes.CDLL(None)
    libc.free.argtypes = [PTR]
    libc.free(buf.data)
    return raw


def record(lib, kind, origin, incarnation, sequence, ms, payload):
    """Returns a packed record created at ms that expires a minute later."""
    r = Record(to_str(kind), to_str(origin), incarnation, sequence, ms,
               ms + 60000, None)
    return pack(lib, lib.GvRecord_Pack, ctypes.byref(r), to_str(payload))


def host(name, dc, rack, pool, boot, state=0):
    return Host(to_str(name), to_str(dc), to_str(rack),
                to_str("127.0.0.1:9001"), to_str(pool), to_str(boot), 8, state)


def member(name, dc, incarnation):
    return Member(to_str(name), to_str(dc), to_str("127.0.0.1:71"),
                  to_str("127.0.0.1:81"), incarnation)
