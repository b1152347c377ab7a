"""Callers that write and read under faults, and the check of what they were told."""

import itertools
import threading
import time
from collections import Counter
from collections.abc import Callable
from contextlib import AbstractContextManager
from dataclasses import dataclass
from enum import Enum

from features.world import COUNT, HALF, INSERT, World
from wagtailloft import ChangeRequest, CheckOutcome, Session, TryAgain


class Told(Enum):
    """Name what a caller was told of a write."""

    ACKNOWLEDGED = "acknowledged"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True)
class Note:
    """Hold one write, what its caller was told, and when."""

    id: str
    told: Told
    began: float
    ended: float
    why: str = ""


class Ledger(AbstractContextManager):
    """Run callers that write unique rows, roam between hosts, and read back their own writes."""

    def __init__(
        self,
        *,
        world: World,
        callers: int = 4,
        deadline: float = 4.0,
        pause_s: float = 0.01,
        transactions: bool = False,
        hosts: Callable[[], list[str]] | None = None,
    ) -> None:
        self._world = world
        self._deadline = deadline
        self._pause_s = pause_s
        self._transactions = transactions
        self._hosts = hosts or self._live_hosts
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._call, args=(n,), daemon=True) for n in range(callers)
        ]
        self.notes: list[Note] = []
        self.unread: list[str] = []
        self.reads: Counter[str] = Counter()
        self.read_refusals: Counter[str] = Counter()

    def __enter__(self) -> "Ledger":
        """Start the callers."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *args: object) -> None:
        """Stop the callers and wait for their last answers."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def told(self, told: Told) -> list[str]:
        """Return the ids of the writes of which callers were told so."""
        return [n.id for n in self.notes if n.told is told]

    def wait_acknowledged(self, count: int, limit: float = 30.0) -> None:
        """Wait until so many more writes are acknowledged."""
        goal = len(self.told(Told.ACKNOWLEDGED)) + count
        until = time.monotonic() + limit
        while len(self.told(Told.ACKNOWLEDGED)) < goal:
            if time.monotonic() > until:
                raise AssertionError(f"no {count} writes in {limit} s; last: {self.notes[-3:]}")
            time.sleep(0.02)

    def gap(self) -> float:
        """Return the longest time in seconds between two acknowledged writes."""
        ends = sorted(n.ended for n in self.notes if n.told is Told.ACKNOWLEDGED)
        return max((b - a for a, b in itertools.pairwise(ends)), default=0.0)

    def check(self) -> None:
        """Compare what callers were told with the surviving log."""
        counts = Counter(self._world.ids_in_log())
        lost = [i for i in self.told(Told.ACKNOWLEDGED) if counts[i] == 0]
        doubled = [i for i, n in counts.items() if n > 1]
        ran = [i for i in self.told(Told.NOT_RUN) if counts[i]]
        assert not lost, f"acknowledged and lost: {lost}"
        assert not doubled, f"ran more than once: {doubled}"
        assert not ran, f"said not run and ran: {ran}"
        assert not self.unread, f"own writes not read: {self.unread}"
        assert self.told(Told.ACKNOWLEDGED), "nothing was acknowledged"

    def summary(self) -> str:
        """Return counts of what callers were told."""
        told = Counter(n.told.value for n in self.notes)
        whys = Counter(n.why.partition(":")[0] for n in self.notes if n.why)
        return f"{dict(told)} {dict(whys)} reads {dict(self.reads)} gap {self.gap():.2f} s"

    def _live_hosts(self) -> list[str]:
        hosts = self._world.fleet.hosts
        return [name for name, at in hosts.items() if at.process.alive]

    def _call(self, caller: int) -> None:
        session = self._world.session()
        for number in itertools.count():
            if self._stop.is_set():
                return
            note = self._write(session, f"{caller}-{number}", self._pick(caller + number))
            self.notes.append(note)
            if note.told is Told.ACKNOWLEDGED:
                self._read(session, note.id, self._pick(caller + number + 1))
            time.sleep(self._pause_s)

    def _pick(self, turn: int) -> str:
        hosts = self._hosts()
        return self._world.fleet.hosts[hosts[turn % len(hosts)]].url

    def _write(self, session: Session, name: str, host: str) -> Note:
        began = time.monotonic()
        told, why = Told.ACKNOWLEDGED, ""
        try:
            self._run(session, name, host)
        except (TryAgain, ChangeRequest) as exc:
            told, why = Told.NOT_RUN, str(exc)
        except CheckOutcome as exc:
            told, why = Told.UNKNOWN, str(exc)
        return Note(id=name, told=told, began=began, ended=time.monotonic(), why=why)

    def _run(self, session: Session, name: str, host: str) -> None:
        given = {"host": host, "deadline": self._deadline}
        if not self._transactions:
            session.write(INSERT, name, "Zofia", **given)
            return
        tx = session.begin(**given)
        tx.run(INSERT, name, "Zofia", **given)
        tx.run(HALF, name, **given)
        tx.commit(**given)

    def _read(self, session: Session, name: str, host: str) -> None:
        try:
            read = session.read(COUNT, name, host=host, deadline=self._deadline)
        except (TryAgain, CheckOutcome, ChangeRequest) as exc:
            self.read_refusals[str(exc).partition(":")[0]] += 1
            return
        self.reads[read.role] += 1
        if read.result.rows[0][0] != 1:
            self.unread.append(name)
