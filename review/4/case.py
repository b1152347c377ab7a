"""A host is lost for good, later the primary reports that it leaves; who still sends it work?"""

import os
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins"))

from deployment import Client, Record, Site, finish  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"krk-a": 3, "krk-b": 3, "krk-c": 2}  # the hosts of pm-krakow
LOST_HOST = "edge-krk-b-3"
STABLE_S = 4.0
DRAIN_S = 7.0
LINGER_S = 3.0  # after drain_ms, until the member exits
CALLERS = 6
PAUSE_S = 0.1


class Caller(threading.Thread):
    """Write and read in a session at one host, again and again; answered counts successes."""

    def __init__(self, *, site, host, number, until):
        super().__init__()
        self.answered = 0
        self._site, self._host, self._number, self._until = site, host, number, until

    def run(self):
        """Run single statements until the end."""
        client = Client(
            site=self._site, host=self._host, database="orders", number=self._number
        )
        count = 0
        while time.monotonic() < self._until:
            count += 1
            verb = "WRITE" if count % 2 else "READ"
            item = f"item{self._number}.{(count + 1) // 2}"
            try:
                _, lines = client.query(f"WRITE {item} data" if verb == "WRITE" else f"READ {item}")
            except OSError:
                return
            self.answered += any(line.startswith("DONE 7.") for line in lines)
            time.sleep(PAUSE_S)


def main():
    record = Record("record.txt")
    record(f"TROUBLE={int(TROUBLE)}")
    try:
        with Site(record=record, zones=ZONES, group="bookings-db") as site:
            site.start_hosts()
            late, answered = play(site, record)
    except Exception as exc:
        finish(record, f"could not run: {exc!r}", 2)
    if answered < 100:
        finish(record, f"could not run: only {answered} statements were answered", 2)
    finish(record, f"{late} breaks of DRAIN", 1 if late else 0)


def play(site, record):
    """Lose the host, let the primary leave, and return how many statements came too late."""
    time.sleep(STABLE_S)
    if TROUBLE:
        lost = next(h for h in site.hosts if h.name == LOST_HOST)
        lost.signal(signal.SIGKILL)
        lost.process.wait()
    hosts = [h for h in site.hosts if h.name != LOST_HOST]
    until = time.monotonic() + 2 * STABLE_S + DRAIN_S + LINGER_S + 14.0
    callers = [
        Caller(site=site, host=hosts[n % len(hosts)], number=n, until=until) for n in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    time.sleep(STABLE_S)
    leaving = next(m for m in site.group.members.values() if m.role == "primary")
    site.group.add("i-a2", leaving.zone, site.member_address())
    time.sleep(STABLE_S)
    leaving.state = "draining"
    site.group.register(leaving)
    said_at = time.monotonic()
    record(f"the store has accepted that {leaving.name} is draining")
    time.sleep(DRAIN_S + LINGER_S)
    site.group.leave(leaving)
    for caller in callers:
        caller.join()
    late = 0
    for member, request_id, text, at in site.group.runs:
        if member == leaving.name and request_id != "-" and at - said_at > DRAIN_S:
            late += 1
            record(f"DRAIN: {member} ran {request_id} {text!r} {at - said_at:.3f} s after that")
    return late, sum(c.answered for c in callers)


main()
