"""A host gets SIGTERM while callers are in transactions; each statement must be answered.

Most callers read on a route whose operations have 4 s, as calendar-browse has: their transactions are over
before that, the pauses included, so no deadline excuses a missing answer. Some write on a route whose operations
have 1.5 s, as slot-confirm has. Theirs last longer if the pauses count, so what they miss is recorded and not
counted.
"""

import os
import random
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins"))

from deployment import Client, Record, Site, finish  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = 6.0
LOSS_SLACK_S = 0.2
EXCUSED_SENT_S = 3.0  # after the SIGTERM; see LOST
EXCUSED_AT_WORK_S = GRACE_S * 5 / 6  # the last sixth of the grace period begins
CALLERS = 24
WRITERS_EACH = 3  # every third caller writes
DEADLINES_S = {"stock": 4.0, "orders": 1.5}  # from the start of an operation, pauses included
ROUTE_TIMEOUT_S = 0.8  # of a statement
BEGIN_S = 1.8  # after the SIGTERM: the platform still sends callers to the host
RHYTHM_S = 0.3  # of a caller's statements, its pauses included
STATEMENTS = 9  # between BEGIN and COMMIT
WORK_S = 0.07  # of a statement at a member; the sites have up to 0.11 s


class Caller:
    """Run one transaction; `unanswered` is the statement without an answer, with its times."""

    def __init__(self, *, site, number, begin_at):
        self.unanswered = None
        self.answered = 0
        self.committed = False
        self.database = "stock" if number % WRITERS_EACH else "orders"
        self.begun_at = begin_at
        self._site = site
        self._number = number
        self._begin_at = begin_at

    def run(self):
        """Send BEGIN, the statements and COMMIT in a steady rhythm."""
        time.sleep(max(0.0, self._begin_at - time.monotonic()))
        host = self._site.hosts[0]
        client = Client(site=self._site, host=host, database=self.database, number=self._number)
        begin, verb, data = ("BEGIN READ", "READ", "")
        if self.database == "orders":
            begin, verb, data = ("BEGIN", "WRITE", " data")
        middle = [f"{verb} item{self._number}.{n}{data}" for n in range(STATEMENTS)]
        for n, text in enumerate([begin, *middle, "COMMIT"]):
            due = self._begin_at + n * RHYTHM_S
            time.sleep(max(0.0, due - time.monotonic()))
            sent_at = time.monotonic()
            try:
                request_id, lines = client.query(text)
            except OSError:
                return  # the connection had ended before the statement was sent
            if not lines or not lines[-1].startswith("READY"):
                self.unanswered = (request_id, text, sent_at, time.monotonic())
                return
            self.answered += 1
            if not lines[-1].startswith("READY T"):
                self.committed = text == "COMMIT" and lines[0].startswith("DONE 7.")
                break
        client.close()


def main():
    record = Record("record.txt")
    record(f"TROUBLE={int(TROUBLE)}")
    try:
        with Site(record=record) as site:
            site.group.statement_s = WORK_S
            site.start_hosts()
            time.sleep(5.0)  # longer than stable_ms
            broken, answered = play(site, record)
    except Exception as exc:
        finish(record, f"could not run: {exc!r}", 2)
    if answered < 3 * CALLERS:
        finish(record, f"could not run: only {answered} statements were answered", 2)
    finish(record, f"{len(broken)} breaks of LOST", 1 if broken else 0)


def play(site, record):
    """Stop the host beside the callers; return the breaks, and how much was answered."""
    stopped_at = time.monotonic()
    if TROUBLE:
        site.hosts[0].signal(signal.SIGTERM)
    callers = []
    for number in range(CALLERS):
        phase = RHYTHM_S * (number + random.random()) / CALLERS
        callers.append(Caller(site=site, number=number, begin_at=stopped_at + BEGIN_S + phase))
    threads = [threading.Thread(target=caller.run) for caller in callers]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    time.sleep(0.5)
    ran = {request_id for _, request_id, _, _ in site.group.runs}
    broken = []
    for caller in callers:
        if caller.unanswered is not None:
            request_id, text, sent_at, ended_at = caller.unanswered
            sent_s, ended_s = sent_at - stopped_at, ended_at - stopped_at
            was_run = request_id in ran
            line = (
                f"{request_id} {text!r} sent {sent_s:.3f} s after SIGTERM, connection ended at"
                f" {ended_s:.3f} s without an answer; run by a member: {was_run}"
            )
            took_s = ended_at - caller.begun_at
            is_late = took_s >= DEADLINES_S[caller.database] or ended_s - sent_s >= ROUTE_TIMEOUT_S
            line += f"; {caller.database}, {took_s:.3f} s after its transaction began"
            if not is_late and is_broken(sent_s, ended_s, was_run):
                broken.append(line)
                record(f"LOST: {line}")
            else:
                record(f"not counted: {line}")
    record(f"{sum(c.committed for c in callers)} transactions committed with an answer")
    return broken, sum(c.answered for c in callers)


def is_broken(sent_s, ended_s, was_run):
    """Tell whether a statement without an answer breaks LOST; times count from the SIGTERM."""
    if ended_s > GRACE_S + 1.0:
        return False
    if sent_s <= EXCUSED_SENT_S and ended_s >= EXCUSED_AT_WORK_S:
        return False
    return was_run or ended_s - sent_s > LOSS_SLACK_S


main()
