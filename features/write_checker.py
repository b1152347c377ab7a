"""Concurrent callers for fault tests, and a check of their results against the surviving log."""

import itertools
import threading
import time
from collections import Counter
from collections.abc import Callable
from contextlib import AbstractContextManager
from dataclasses import dataclass
from enum import Enum

from features.test_fleet import COUNT, INSERT, INSERT_SECOND_ROW, TestFleet
from wagtailloft import ChangeRequest, CheckOutcome, Session, TryAgain


class WriteOutcome(Enum):
    """The outcome of a write, as reported to its caller."""

    ACKNOWLEDGED = "acknowledged"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True)
class WriteRecord:
    """A write, its reported outcome, and its start and end on the monotonic clock in seconds."""

    id: str
    outcome: WriteOutcome
    began: float
    ended: float
    error: str = ""


class WriteChecker(AbstractContextManager):
    """Write unique rows from concurrent callers and verify the reported outcomes.

    Every caller uses one session, changes the host on every request and reads back each
    acknowledged write through the next host. `pause_s` is the time between two writes of a
    caller. With `transactions`, each write inserts into both tables in one transaction.
    """

    def __init__(
        self,
        *,
        test_fleet: TestFleet,
        callers: int = 4,
        deadline: float = 4.0,
        pause_s: float = 0.01,
        transactions: bool = False,
        hosts: Callable[[], list[str]] | None = None,
    ) -> None:
        self._test_fleet = test_fleet
        self._deadline = deadline
        self._pause_s = pause_s
        self._transactions = transactions
        self._hosts = hosts or self._live_hosts
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run_caller, args=(n,), daemon=True)
            for n in range(callers)
        ]
        self.records: list[WriteRecord] = []
        self.missing_own_writes: list[str] = []
        self.reads: Counter[str] = Counter()
        self.read_refusals: Counter[str] = Counter()

    def __enter__(self) -> "WriteChecker":
        """Start the caller threads."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *args: object) -> None:
        """Stop the callers and wait until their last requests have ended."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def ids_with_outcome(self, outcome: WriteOutcome) -> list[str]:
        """Return the ids of the writes that were reported with an outcome."""
        return [r.id for r in self.records if r.outcome is outcome]

    def wait_acknowledged(self, count: int, timeout: float = 30.0) -> None:
        """Wait until `count` more writes are acknowledged; fail after `timeout` seconds."""
        goal = len(self.ids_with_outcome(WriteOutcome.ACKNOWLEDGED)) + count
        deadline = time.monotonic() + timeout
        while len(self.ids_with_outcome(WriteOutcome.ACKNOWLEDGED)) < goal:
            if time.monotonic() > deadline:
                raise AssertionError(
                    f"fewer than {count} writes in {timeout} s; last: {self.records[-3:]}"
                )
            time.sleep(0.02)

    def longest_write_gap(self) -> float:
        """Return the longest time in seconds between two acknowledged writes."""
        ends = sorted(r.ended for r in self.records if r.outcome is WriteOutcome.ACKNOWLEDGED)
        return max((b - a for a, b in itertools.pairwise(ends)), default=0.0)

    def check(self) -> None:
        """Compare the reported outcomes with the surviving log.

        Raise AssertionError if an acknowledged write is missing, a write was applied more than
        once or although it was reported as not run, or a read missed its caller's own write.
        """
        counts = Counter(self._test_fleet.ids_in_log())
        lost = [i for i in self.ids_with_outcome(WriteOutcome.ACKNOWLEDGED) if counts[i] == 0]
        duplicated = [i for i, n in counts.items() if n > 1]
        wrongly_run = [i for i in self.ids_with_outcome(WriteOutcome.NOT_RUN) if counts[i]]
        assert not lost, f"acknowledged, but not in the log: {lost}"
        assert not duplicated, f"applied more than once: {duplicated}"
        assert not wrongly_run, f"reported as not run, but in the log: {wrongly_run}"
        assert (
            not self.missing_own_writes
        ), f"acknowledged, but missed by the caller's next read: {self.missing_own_writes}"
        assert self.ids_with_outcome(WriteOutcome.ACKNOWLEDGED), "no write was acknowledged"

    def summary(self) -> str:
        """Return the counts of outcomes, errors and reads, and the longest write gap."""
        outcomes = Counter(r.outcome.value for r in self.records)
        errors = Counter(r.error.partition(":")[0] for r in self.records if r.error)
        return (
            f"{dict(outcomes)} {dict(errors)} reads {dict(self.reads)} "
            f"gap {self.longest_write_gap():.2f} s"
        )

    def _live_hosts(self) -> list[str]:
        hosts = self._test_fleet.fleet.hosts
        return [name for name, host in hosts.items() if host.process.alive]

    def _run_caller(self, caller: int) -> None:
        session = self._test_fleet.session()
        for number in itertools.count():
            if self._stop.is_set():
                return
            record = self._write(session, f"{caller}-{number}", self._host_url(caller + number))
            self.records.append(record)
            if record.outcome is WriteOutcome.ACKNOWLEDGED:
                self._read_back(session, record.id, self._host_url(caller + number + 1))
            time.sleep(self._pause_s)

    def _host_url(self, number: int) -> str:
        hosts = self._hosts()
        return self._test_fleet.fleet.hosts[hosts[number % len(hosts)]].url

    def _write(self, session: Session, name: str, host: str) -> WriteRecord:
        began = time.monotonic()
        outcome, error = WriteOutcome.ACKNOWLEDGED, ""
        try:
            self._insert(session, name, host)
        except (TryAgain, ChangeRequest) as exc:
            outcome, error = WriteOutcome.NOT_RUN, str(exc)
        except CheckOutcome as exc:
            outcome, error = WriteOutcome.UNKNOWN, str(exc)
        return WriteRecord(
            id=name, outcome=outcome, began=began, ended=time.monotonic(), error=error
        )

    def _insert(self, session: Session, name: str, host: str) -> None:
        options = {"host": host, "deadline": self._deadline}
        if not self._transactions:
            session.write(INSERT, name, "Zofia", **options)
            return
        tx = session.begin(**options)
        tx.run(INSERT, name, "Zofia", **options)
        tx.run(INSERT_SECOND_ROW, name, **options)
        tx.commit(**options)

    def _read_back(self, session: Session, name: str, host: str) -> None:
        try:
            read = session.read(COUNT, name, host=host, deadline=self._deadline)
        except (TryAgain, CheckOutcome, ChangeRequest) as exc:
            self.read_refusals[str(exc).partition(":")[0]] += 1
            return
        self.reads[read.role] += 1
        if read.result.rows[0][0] != 1:
            self.missing_own_writes.append(name)
