"""Report of where a statement would go now and why, the same for both interfaces."""

from collections.abc import Callable
from urllib.parse import parse_qs

import msgspec

from wagtailloft.errors import Kind, Refusal
from wagtailloft.models import Position, Record
from wagtailloft.sessions.statements import Statement, Verb

PATH = "/explain"
_VERBS = {
    "READ": Verb.READ,
    "WRITE": Verb.WRITE,
    "BEGIN": Verb.BEGIN,
    "BEGIN READ": Verb.BEGIN_READ,
}


class RouteQuestion(Record):
    """A question where a statement of a team on a route would go; the team may be empty.

    asked names the host that passed the question on, if any.
    """

    route: str
    team: str = ""
    verb: Verb = Verb.READ
    asked: str = ""

    @property
    def statement(self) -> Statement:
        """Return a statement of the kind that is asked about, without the rest of its text."""
        return Statement(verb=self.verb, text=self.verb.value)


class TeamReport(Record):
    """A team's rate in operations per second and its burst in operations."""

    name: str
    rate: float
    burst: float


class RefusalReport(Record):
    """The refusal that a statement would get now; retry_ms is empty if the time is unknown."""

    kind: str
    detail: str
    retry: bool
    retry_ms: int | None = None


class MemberReport(Record):
    """What is known of a member, and why the statement would go there or not.

    rank orders the members that the statement and its retries would go to, 0 for none. in_flight
    counts the statements that the answering host has at the member. limit is the number of
    statements that are sent to the member at a time, and queue_ms the expected wait before; both
    are empty if the answering host does not know them.
    """

    name: str
    zone: str
    role: str
    state: str
    slots: int
    in_flight: int
    limit: int | None
    queue_ms: float | None
    rank: int
    why: str


class RouteReport(Record):
    """Where a statement would go now, and why.

    host is the one that would send it to the member. refusal is the one that the statement would
    get if nothing changed; a statement may wait for a while before that.
    """

    asked: str
    route: str
    group: str
    statement: str
    team: TeamReport | None
    priority: int | None
    freshness: str
    max_age_s: float | None
    timeout_s: float | None
    position: str
    member: str
    host: str
    why: str
    refusal: RefusalReport | None
    members: tuple[MemberReport, ...]


class RouteError(Record):
    """JSON body that reports why a question has no answer."""

    kind: str
    detail: str


def refusal_report(kind: Kind, detail: str, retry_ms: int | None = None) -> RefusalReport:
    """Return the report of a refusal."""
    spec = Refusal(kind=kind).spec
    detail = detail or spec.meaning
    return RefusalReport(kind=kind.value, detail=detail, retry=spec.retry, retry_ms=retry_ms)


def format_position(position: Position | None) -> str:
    """Return a log position as TERM.INDEX, empty for none."""
    return f"{position.term}.{position.index}" if position else ""


def parse_verb(text: str) -> Verb | None:
    """Return the kind of a statement by the first words of its text, None for another kind."""
    word, _, rest = text.strip().partition(" ")
    words = f"{word} {rest.strip()}" if word.upper() == "BEGIN" and rest.strip() else word
    return _VERBS.get(words.upper())


def parse_question(query: str) -> RouteQuestion | Refusal:
    """Return the question of an HTTP query string."""
    fields = {k: v[0] for k, v in parse_qs(query).items()}
    if not fields.get("route"):
        return Refusal(kind=Kind.BAD_REQUEST, detail="no route is named")
    try:
        question = msgspec.convert(fields, RouteQuestion)
    except msgspec.ValidationError as exc:
        return Refusal(kind=Kind.BAD_REQUEST, detail=str(exc))
    if question.verb not in _VERBS.values():
        return Refusal(kind=Kind.BAD_REQUEST, detail=f"expected one of {', '.join(_VERBS)}")
    return question


def respond(
    query: str, explain: Callable[[RouteQuestion], RouteReport | Refusal]
) -> tuple[int, bytes]:
    """Return the HTTP status and the JSON body that answer a query string."""
    question = parse_question(query)
    answer = question if isinstance(question, Refusal) else explain(question)
    if isinstance(answer, RouteReport):
        return 200, msgspec.json.encode(answer)
    body = RouteError(kind=answer.kind.value, detail=answer.detail or answer.spec.meaning)
    return answer.spec.status, msgspec.json.encode(body)
