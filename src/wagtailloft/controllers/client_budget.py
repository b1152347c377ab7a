"""Decide which connections are closed when clients together hold too much memory."""

from dataclasses import dataclass

from wagtailloft.models import Record

CALLERS_SHARE = 0.2  # of the machine's memory, for what callers' connections hold
RUNNING_SHARE = 0.1  # for the copies of large statements while they run
PEERS_SHARE = 0.15  # for connections that other hosts opened
ANSWERS_SHARE = 0.15  # for large answers that links to targets receive
LARGEST_ANSWER_BYTES = 2 * (4 << 20)  # the rows, and the response that is made of them
MIN_SHARE_BYTES = 16 << 20  # one caller inside the limits holds up to 11 MiB
RUNNING_COPIES = 5  # of a statement's text: in the message, its fields, a frame and two buffers
DECODED_COPIES = 2  # of a waiting message: the text, and the argument as a part of it
STALLED_S = 0.5  # a client that takes nothing for longer than a slow round trip does not read


class ClientLimits(Record):
    """Limits for clients: bytes held by all of them, and times in seconds for each.

    large_answers is how many large answers of targets are received at a time.

    startup is the time from connecting to the first message, message that from the first byte of a
    message to its last, and unread that for which a client may take nothing of what is sent to it.
    """

    callers_bytes: int = 64 << 20
    running_bytes: int = 32 << 20
    peers_bytes: int = 48 << 20
    large_answers: int = 4
    startup: float = 10.0
    message: float = 60.0
    unread: float = 30.0


def limits_for_memory(
    memory_bytes: float, *, startup: float, message: float, unread: float
) -> ClientLimits:
    """Return the limits for a machine's memory, at least what one client needs."""
    callers, running, peers, answers = (
        max(MIN_SHARE_BYTES, int(memory_bytes * share))
        for share in (CALLERS_SHARE, RUNNING_SHARE, PEERS_SHARE, ANSWERS_SHARE)
    )
    return ClientLimits(
        callers_bytes=callers,
        running_bytes=running,
        peers_bytes=peers,
        large_answers=answers // LARGEST_ANSWER_BYTES,
        startup=startup,
        message=message,
        unread=unread,
    )


@dataclass(kw_only=True, eq=False)
class ClientUse:
    """The bytes that one connection holds; owner is the connection.

    received counts bytes not decoded, decoded messages not processed, unsent what the client has
    not taken, and kept the state of its session. taken_at is when the client last took something,
    or when something first waited for it.
    """

    owner: object
    received: int = 0
    decoded: int = 0
    unsent: int = 0
    kept: int = 0
    taken_at: float = 0.0

    @property
    def total(self) -> int:
        """Return the bytes that count against the budget."""
        return self.received + self.decoded * DECODED_COPIES + self.unsent + self.kept

    def stalled_for(self, at: float) -> float:
        """Return for how long the client has taken nothing of what waits for it."""
        return at - self.taken_at if self.unsent else 0.0


class ClientBudget:
    """Add up what connections hold, and choose those to close when it exceeds the limit."""

    def __init__(self, *, limit: int) -> None:
        self.held = 0
        self._limit = limit
        self._uses: set[ClientUse] = set()

    @property
    def exceeded(self) -> bool:
        """Tell whether connections hold more than the limit."""
        return self.held > self._limit

    @property
    def scarce(self) -> bool:
        """Tell whether connections hold more than half of the limit."""
        return self.held > self._limit / 2

    def unread(self) -> list[ClientUse]:
        """Return the connections that have something to read."""
        return [use for use in self._uses if use.unsent]

    def add(self, use: ClientUse) -> None:
        """Count a connection."""
        self._uses.add(use)
        self.held += use.total

    def remove(self, use: ClientUse) -> None:
        """Count a connection no longer."""
        if use in self._uses:
            self._uses.remove(use)
            self.held -= use.total

    def charge(
        self,
        use: ClientUse,
        at: float,
        *,
        received: int | None = None,
        decoded: int | None = None,
        unsent: int | None = None,
        kept: int | None = None,
        added: int = 0,
    ) -> None:
        """Record what a connection holds now; added bytes were put behind the unsent ones.

        Amounts that are left out stay as they are.
        """
        before = use.total
        if unsent is not None:
            if unsent < use.unsent + added or not use.unsent:
                use.taken_at = at
            use.unsent = unsent
        use.received = use.received if received is None else received
        use.decoded = use.decoded if decoded is None else decoded
        use.kept = use.kept if kept is None else kept
        if use in self._uses:
            self.held += use.total - before

    def to_close(self, at: float) -> list[ClientUse]:
        """Return the connections to close until the rest fits into the limit.

        Those whose client does not read come first, then those that hold the most.
        """
        if not self.exceeded:
            return []
        chosen, excess = [], self.held - self._limit
        ranked = sorted(self._uses, key=lambda u: (u.stalled_for(at) < STALLED_S, -u.total))
        for use in ranked:
            if excess <= 0:
                break
            chosen.append(use)
            excess -= use.total
        return chosen


class RunningBudget:
    """Grant the bytes of large statements that run at once, in the order of requests.

    A statement over the whole limit runs alone.
    """

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._running = 0

    def fits(self, size: int) -> bool:
        """Tell whether a statement of a size may start."""
        return not self._running or self._running + size * RUNNING_COPIES <= self._limit

    def start(self, size: int) -> None:
        """Count a statement that starts."""
        self._running += size * RUNNING_COPIES

    def finish(self, size: int) -> None:
        """Count a statement that has ended no longer."""
        self._running -= size * RUNNING_COPIES
