"""The faults of a soak: a schedule drawn from a seed, and what each does."""
import random
import signal
import threading
import time
import typing

from link import DOWN, UP
from world import RETURN_S

FAULT_MAX_S = 5.0


class Fault(typing.NamedTuple):
    at: float  # seconds from the begin of the soak
    seconds: float
    kind: str
    who: str  # a daemon, a host, or empty

    def __str__(self):
        return f"{self.at:7.3f} {self.seconds:6.3f} {self.kind} {self.who}"


# kind -> weight. The part before the point says what it harms; two faults of
# one part never overlap for the same daemon or host.
KINDS = {
    "daemon.pause": 3, "daemon.kill": 3, "daemon.stop": 3, "daemon.kills": 1,
    "daemon.pauses": 1, "daemon.kill_paused": 1, "daemon.stop_paused": 1,
    "way.delay": 2, "way.up": 2, "way.down": 2, "way.reset": 2,
    "way.silence": 2, "way.dark": 2, "mode.busy": 2, "mode.silent": 1,
    "mode.late": 1, "store.busy": 2, "store.silent": 1, "store.lost": 2,
    "store.late": 1, "store.slow": 2, "store.lapse": 2, "drop.history": 1,
    "link.delay": 2, "link.up": 2, "link.down": 2, "link.reset": 2,
    "link.silence": 2, "link.dark": 2, "target.crash": 2, "target.restart": 3,
    "target.slow": 2, "target.refuse": 2, "target.lose": 2, "target.late": 2,
    "api.lag": 1, "api.unnamed": 1, "api.lose": 2, "api.refuse": 1,
}
# These are no disruptions and come at any time.
PLANNED = {"plan.drain": 3, "plan.odd": 1, "plan.configure": 2,
           "plan.wave": 1}
SHARED = ("store", "drop", "api", "plan")  # parts that exist once
CORE = ("daemon", "way", "mode", "store", "drop")


def schedule(seed, seconds, daemons, hosts):
    """Returns the faults of a seed: some seconds in which many overlap, some
    that are calm, and so on."""
    rng = random.Random(f"schedule {seed}")
    faults, begin = [], 1.5
    while begin < seconds - 1:
        end = min(begin + rng.uniform(5, 9), seconds)
        busy = {}
        for _ in range(rng.randrange(5, 12)):
            kind = rng.choices(list(KINDS), list(KINDS.values()))[0]
            part = kind.split(".")[0]
            who = "" if part in SHARED else rng.choice(
                daemons if part in CORE else hosts)
            at = rng.uniform(begin, end - 0.5)
            length = min(rng.uniform(0.2, FAULT_MAX_S), end - at)
            taken = busy.setdefault((part, who), [])
            if all(at + length < a or b < at for a, b in taken):
                taken.append((at, at + length))
                faults.append(Fault(at, length, kind, who))
        calm = rng.uniform(3.5, 6)
        for _ in range(rng.randrange(1, 4)):
            kind = rng.choices(list(PLANNED), list(PLANNED.values()))[0]
            faults.append(Fault(rng.uniform(begin, end + calm / 2),
                                rng.uniform(2.5, 7), kind, rng.choice(hosts)))
        begin = end + calm
    return sorted(fault for fault in faults if fault.at < seconds)


def harm_link(link, how, seconds, rng):
    if how == "delay":
        link.delay_s = rng.uniform(0.02, 0.4)
    elif how == "silence":
        link.silence()
    elif how == "reset":
        link.refusing = True
        link.reset()
    else:
        link.cut = {"up": {UP}, "down": {DOWN}, "dark": {UP, DOWN}}[how]
    time.sleep(seconds)
    link.delay_s, link.cut, link.refusing = 0.0, set(), False


def harm_daemon(daemons, how, name, seconds):
    if how in ("pauses", "kills"):
        for _ in range(3):
            harm_daemon(daemons, how[:-1], name, seconds / 3)
        return
    paused = how.startswith("pause") or how.endswith("paused")
    if paused:
        daemons.signal(name, signal.SIGSTOP)
        time.sleep(seconds)
    if how == "pause":
        daemons.signal(name, signal.SIGCONT)
        return
    if how.startswith("stop"):
        daemons.stop(name, paused)
    else:
        daemons.kill(name)
    if not paused:
        time.sleep(seconds)
    daemons.start(name)


def harm_store(store, targets, how, seconds, rng):
    """Returns the targets whose entries have lapsed."""
    if how == "slow":
        store.read_s, store.append_s = rng.uniform(0, 1), rng.uniform(0.1, 0.8)
        time.sleep(seconds)
        store.read_s = store.append_s = 0
        return []
    store.late_s = rng.uniform(0.5, 3)
    store.mode = "busy" if how == "lapse" else how
    time.sleep(seconds)
    lapsed = rng.sample(targets, len(targets) // 2) if how == "lapse" else []
    for target in lapsed:
        store.put("keyed.servers", target.name, b"")
    store.mode = "up"
    if lapsed:
        time.sleep(rng.uniform(0.1, RETURN_S))
    return lapsed


def harm_target(fleet, host, how, seconds, rng):
    target = fleet.targets[host]
    if how in ("crash", "restart"):
        fleet.leave(host, "down", min(seconds, 2), same=how == "restart")
        time.sleep(min(seconds, 2))
        return
    if how == "refuse":
        target.refuses = True
    elif how == "lose":
        target.loses = True
    elif how == "slow":
        target.slow_s = rng.uniform(0.05, 0.5)
    else:
        target.late_s = rng.uniform(0.3, 3)
    time.sleep(seconds)
    target.refuses = target.loses = False
    target.slow_s = target.late_s = 0


def harm_api(fleet, how, seconds, rng):
    fleet.lag_s = rng.uniform(0.3, 1) if how == "lag" else 0
    fleet.unnamed, fleet.refuses = how == "unnamed", how == "refuse"
    fleet.loses = 0.7 if how == "lose" else 0
    time.sleep(seconds)
    fleet.lag_s, fleet.loses = 0, 0
    fleet.unnamed = fleet.refuses = False


def plan(fleet, how, host, seconds, rng):
    if how == "drain":
        fleet.drain(host, seconds)
    elif how == "odd":
        fleet.odd_entry()
    elif how == "configure":
        fleet.configure(rng.choice(("s", "t")))
    elif not fleet.waves:
        fleet.start_wave(rng.sample(list(fleet.states), 2))


def harm(soak, fault):
    """Carries out one fault and returns after its end."""
    rng = random.Random(f"{soak.seed} {fault}")
    part, how = fault.kind.split(".")
    fleet, seconds = soak.fleet, fault.seconds
    if part == "daemon":
        with soak.daemons.faults[fault.who]:  # a stop may take longer
            harm_daemon(soak.daemons, how, fault.who, seconds)
    elif part == "way":
        harm_link(soak.daemons.links[fault.who], how, seconds, rng)
    elif part == "mode":
        fleet.store.late_s = rng.uniform(0.5, 3)
        fleet.store.modes[fault.who] = how
        time.sleep(seconds)
        fleet.store.modes[fault.who] = "up"
    elif part == "store":
        targets = [fleet.targets[h] for h, state in fleet.states.items()
                   if state == "up"]
        for target in harm_store(fleet.store, targets, how, seconds, rng):
            fleet.report(target)
    elif part == "drop":
        fleet.store.drop()
    elif part == "link":
        harm_link(fleet.targets[fault.who].link, how, seconds, rng)
    elif part == "target":
        harm_target(fleet, fault.who, how, seconds, rng)
    elif part == "api":
        harm_api(fleet, how, seconds, rng)
    else:
        plan(fleet, how, fault.who, seconds, rng)


def begin(soak, fault):
    """Carries out a fault on a thread of its own, which it returns."""
    def run():
        part = fault.kind.split(".")[0]
        scope = "core" if part in CORE else fault.who or part
        soak.checks.note(f"begin {fault}")
        entry = None if part == "plan" else soak.checks.disrupt(scope)
        try:
            harm(soak, fault)
        except Exception as wrong:  # fails the soak
            soak.checks.fail(f"{fault}: {wrong!r}")
        if entry:
            soak.checks.disruption_over(entry)
        soak.checks.note(f"end {fault}")

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    return thread
