#!/usr/bin/env python3
"""Real processes on a platform whose list of hosts is behind the entries of
the targets or lacks them, and whose answers are lost or come late. Guards
against a task that runs on two live targets because the leader takes the
first one, or the start there, for gone."""
import itertools
import math
import sys
import time

from harness import wait_until
from proc_twice import main, some

LOST_S = 2  # longer than daemons wait for a response to an order for a host


def late_list_in_a_wave(fleet):
    """A list of hosts shows new targets later than their entries."""
    fleet.api.list_lag_s = 0.6
    load = fleet.load(4, period_s=0.08)
    time.sleep(0.5)
    fleet.order_wave(1, some(4), 2)
    load.join()
    assert len(fleet.api.maintained) == 4, fleet.api.maintained
    fleet.finish()


def former_targets_in_a_list(fleet):
    """A list of hosts names the targets that were there before."""
    fleet.api.former_ids = True
    fleet.api.list_lag_s = 0.6
    load = fleet.load(4, period_s=0.08)
    time.sleep(0.5)
    fleet.order_wave(1, some(4), 2)
    load.join()
    assert len(fleet.api.maintained) == 4, fleet.api.maintained
    fleet.finish()


def late_list_after_crashes(fleet):
    """A list of hosts still shows a host as down whose new target runs."""
    fleet.api.list_lag_s = 0.6
    load = fleet.load(4, period_s=0.1)
    for host in some(3):
        time.sleep(1)
        fleet.api.targets[host].crash()
    load.join()
    fleet.finish()


def late_list_after_moves(fleet):
    """A list of hosts still shows a host as moving whose new target runs."""
    fleet.api.list_lag_s = 0.6
    load = fleet.load(5)
    load.join()
    assert fleet.api.maintained, "no move"
    fleet.finish()


def slow_list_after_restarts(fleet):
    """A list of hosts that shows one as down arrives after its target has
    been restarted under its identifier and has runs."""
    fleet.api.restart_s = math.inf
    restarted = []

    def on_list():
        for host in [h for h, state in fleet.api.states.items()
                     if state == "down"]:
            fleet.api.finish(host)
            end = time.monotonic() + 1.2  # the daemon still waits for the list
            while (len(fleet.api.targets[host].running) < 2
                   and time.monotonic() < end):
                time.sleep(0.02)
            restarted.append(host)
        time.sleep(0.05 if restarted else 0)
    fleet.api.on_list = on_list
    load = fleet.load(5, period_s=0.08)
    for host in some(3):
        time.sleep(1)
        fleet.api.targets[host].crash()
    load.join()
    assert restarted, "no list while a host was down"
    fleet.finish()


def no_targets_in_a_list(fleet):
    """A list of hosts names no targets while their entries are missing."""
    load = fleet.load(5)
    time.sleep(1)
    fleet.api.hide_entries.update(some(3))
    for host in some(3):
        fleet.store.put("keyed.servers", fleet.api.targets[host].name, b"")
    fleet.api.hide_ids = True
    time.sleep(2)
    fleet.api.hide_entries.clear()
    time.sleep(0.5)
    fleet.api.hide_ids = False
    load.join()
    fleet.finish()


def entries_lapse_under_a_new_leader(fleet):
    """The leader is restarted while entries are missing and a list of hosts
    does not name their targets."""
    load = fleet.load(6)
    time.sleep(1)
    fleet.api.hide_entries.update(some(3))
    for host in some(3):
        fleet.store.put("keyed.servers", fleet.api.targets[host].name, b"")
    fleet.api.hide_ids = True
    fleet.restart_leader()
    time.sleep(1.5)
    fleet.api.hide_entries.clear()
    fleet.api.hide_ids = False
    load.join()
    fleet.finish()


def burst_beside_a_repetition(fleet):
    """Submits more than fits when an order is repeated that was carried out
    before, and whose response comes later."""
    wait_until(lambda: fleet.api.repeated, 10, "a repeated order")
    fleet.submit_steadily(0.35, period_s=0.02)
    fleet.finish()


def repeated_maintenance(fleet):
    """The response to an order for maintenance is lost after it took effect.
    Its repetition is confirmed late, when the new target has runs."""
    fleet.api.faults.extend([(LOST_S, True), (0.5, False)])
    fleet.order_wave(1, some(1), 1)
    burst_beside_a_repetition(fleet)


def repeated_move(fleet):
    """Like repeated_maintenance, with moves."""
    fleet.api.faults.extend([(LOST_S, True)] + [(0.5, False)] * 2)
    fleet.submit_steadily(0.1, period_s=0.02)
    burst_beside_a_repetition(fleet)


def start_answered_by_a_gateway(fleet):
    """Starts are carried out, but a proxy in between answers that it got no
    response."""
    numbers = itertools.count(1)
    statuses = itertools.cycle((502, 504, 500))

    def wrap(target, path, do):
        answer = do()
        if path == "/api/run-start" and next(numbers) % 6 == 0:
            return next(statuses), b""
        return answer
    for target in fleet.live():
        target.wrap = wrap
    fleet.load(3).join()
    fleet.finish()


def late_answer_from_another_target(fleet):
    """A target is restarted under its identifier at another address. The
    response of the target that has its former address to an earlier start
    comes when the restarted one has runs."""
    fleet.api.restart_s = 0.15

    due = set()

    def wrap(target, path, do):
        if path != "/api/run-start" or target.name not in due:
            return do() if not target.crashed else (421, b"")
        due.discard(target.name)
        target.crash()
        time.sleep(0.6)
        return 421, b""
    for target in fleet.live():
        target.wrap = wrap
        target.close = lambda: None  # another target listens there
    load = fleet.load(5, period_s=0.1)
    for host in some(4):
        time.sleep(1)
        due.add(fleet.api.targets[host].name)
    load.join()
    assert not due, "no start beside a crash"
    fleet.finish()


SCENARIOS = {  # with the options of their fleets
    late_list_in_a_wave: {}, former_targets_in_a_list: {},
    late_list_after_crashes: {}, late_list_after_moves: {"other": 4},
    slow_list_after_restarts: {}, no_targets_in_a_list: {},
    entries_lapse_under_a_new_leader: {}, repeated_maintenance: {},
    repeated_move: {"other": 4}, start_answered_by_a_gateway: {},
    late_answer_from_another_target: {},
}


if __name__ == "__main__":
    sys.exit(main(SCENARIOS))
