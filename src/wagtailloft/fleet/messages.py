"""What hosts tell each other."""

import msgspec

from wagtailloft.fleet.records import Changes, PrimaryAssignment, Topic
from wagtailloft.groups.ports import BoundStatement
from wagtailloft.models import Host, Position, Record
from wagtailloft.sessions.statements import Outcome


class Hello(Record, tag="hello", array_like=True):
    """Introduce the sender; also said when it begins to stop. One that joins knows nobody yet."""

    host: Host
    is_joining: bool = False


class HelloReply(Record, tag="welcome", array_like=True):
    """Answer a greeting with who answers and, to one that joins, whom it knows."""

    host: Host
    known_hosts: tuple[Host, ...] = ()


class KnownRevision(Record, array_like=True):
    """Tell up to which revision the sender's copy of a topic goes."""

    topic: Topic
    revision: int


class PullRequest(Record, tag="pull", array_like=True):
    """Ask for what changed after the sender's copies."""

    host: str
    known_revisions: tuple[KnownRevision, ...]


class AgedChanges(Record, array_like=True):
    """Carry changes and the seconds since they were surely current at the sender."""

    changes: Changes
    age: float


class PullResponse(Record, tag="news", array_like=True):
    """Answer a pull.

    sure says that the leads were current since the sender's process began, away that the sender
    does not reach the store.
    """

    topic_changes: tuple[AgedChanges, ...]
    assignments: tuple[PrimaryAssignment, ...] = ()
    verified: bool = False
    store_unreachable: bool = False


class StatementRequest(Record, tag="work", array_like=True):
    """Have one statement run over the receiver's links to a target; budget in seconds.

    transaction is 0 for a single statement, or the number of one that a Begin opened. leading
    asks that the target is the primary for sure.
    """

    group: str
    target: str
    team: str
    bound: BoundStatement
    budget: float
    require_primary: bool = False
    transaction_id: int = 0
    ends: bool = False
    opens_transaction: bool = False


class StatementResponse(Record, tag="worked", array_like=True):
    """Answer a piece of work; transaction is the number of one that is open now."""

    outcome: Outcome
    transaction_id: int = 0


class RollbackRequest(Record, tag="forget", array_like=True):
    """Roll back an open transaction."""

    transaction_id: int


class FenceRequest(Record, tag="fence", array_like=True):
    """Stop using a group's primary; with cut at once, else when running work has ended."""

    assignment: PrimaryAssignment
    immediate: bool


class FenceResponse(Record, tag="fenced", array_like=True):
    """Confirm a fence with the last position that this host saw acknowledged."""

    acknowledged: Position | None = None


class PrimaryAnnouncement(Record, tag="settled", array_like=True):
    """Announce a group's new primary."""

    assignment: PrimaryAssignment


class SuspectReport(Record, tag="suspect", array_like=True):
    """Report to a promoter that a group's primary does not answer.

    gives_up names the process that began to replace it and can't go on.
    """

    group: str
    target: str
    why: str
    abandoned_by: str = ""


class TeamDemand(Record, array_like=True):
    """Hold a team's tokens at the sender: those it holds, and those it wants besides.

    waiting tells how many of the wanted ones are spent as soon as they arrive.
    """

    team: str
    held: float
    wanted: float
    waiting: float = 0.0


class TokenRequest(Record, tag="ask", array_like=True):
    """Lend the sender's shares of all rates to the receiver, and ask for tokens."""

    host: str
    process: int
    number: int
    demands: tuple[TeamDemand, ...]


class TeamGrant(Record, array_like=True):
    """Hold tokens for a team; with none, wait tells when another ask may succeed."""

    team: str
    tokens: float
    wait: float = 0.0


class TokenResponse(Record, tag="grants", array_like=True):
    """Answer an ask."""

    grants: tuple[TeamGrant, ...]


class Ack(Record, tag="noted", array_like=True):
    """Confirm a message that asks for nothing."""


Message = (
    Hello
    | HelloReply
    | PullRequest
    | PullResponse
    | StatementRequest
    | StatementResponse
    | RollbackRequest
    | FenceRequest
    | FenceResponse
    | PrimaryAnnouncement
    | SuspectReport
    | TokenRequest
    | TokenResponse
    | Ack
)


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """Wrap a message with the number of its call; answers carry the call's number."""

    call_id: int
    is_response: bool
    body: Message | None = None


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Frame)
