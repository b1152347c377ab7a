"""Messages between hosts. They are encoded as arrays, so the order of fields is the format."""

import msgspec

from wagtailloft.fleet.records import Changes, Configuration, PrimaryAssignment, Topic
from wagtailloft.groups.ports import BoundStatement
from wagtailloft.models import Host, Position, Record
from wagtailloft.ranges import Age, Amount, Count, Digest, Seconds
from wagtailloft.sessions.statements import StatementResult

AGE_UNIT_S = 0.02  # of ages in a byte: five seconds at most


class Hello(Record, tag="hello", array_like=True):
    """Introduce the sender, also when it begins to stop; one that is joining knows no hosts yet.

    suspected names a host that does not answer the sender, and that the receiver is to check.
    """

    host: Host
    is_joining: bool = False
    suspected: str = ""


class HelloReply(Record, tag="welcome", array_like=True):
    """Answer a hello with the responding host and, if the sender is joining, the known hosts."""

    host: Host
    known_hosts: tuple[Host, ...] = ()


class KnownRevision(Record, array_like=True):
    """The revision up to which the sender has cached a topic."""

    topic: Topic
    revision: Count


class PullRequest(Record, tag="pull", array_like=True):
    """Ask for the changes after the revisions that the sender has cached.

    assignments_digest describes the assignments that the sender knows; they are not sent if the
    receiver has the same. With names_only, only the revisions of changed topics are answered. With
    collect, the receiver hears from its zone's hosts for a while, to report how many it hears from.
    configuration_version is that of the configuration in force at the sender; the receiver adds its
    own if that is later and names_only is not set. evacuations_revision is set if evacuations are
    asked for: earlier versions can't decode a message that names their topic.
    """

    host: str
    known_revisions: tuple[KnownRevision, ...]
    assignments_digest: Digest = 0
    names_only: bool = False
    collect: bool = False
    configuration_version: Count = 0
    evacuations_revision: Count | None = None

    @property
    def known(self) -> tuple[KnownRevision, ...]:
        """Return the revisions of all topics that are asked for."""
        if self.evacuations_revision is None:
            return self.known_revisions
        evacuations = KnownRevision(topic=Topic.EVACUATIONS, revision=self.evacuations_revision)
        return (*self.known_revisions, evacuations)


class AgedChanges(Record, array_like=True):
    """Changes of a topic, and the seconds since the sender last knew them to be current."""

    changes: Changes
    age: Age


class AgedRevision(Record, array_like=True):
    """The revision that the sender has of a topic, and the seconds since it was last current."""

    topic: Topic
    revision: Count
    age: Age


class ZoneReport(Record, array_like=True):
    """The ages at which a zone's hosts reported their assignments, one byte each.

    The unit of ages is AGE_UNIT_S. reader is a host of the zone that is not known to find the store
    unreachable, or empty. All of the hosts are registered at the revision, which is the sender's.
    """

    zone: str
    ages: bytes
    reader: str = ""
    revision: Count = 0


class PullResponse(Record, tag="news", array_like=True):
    """Answer a pull request.

    verified tells that the assignments count towards a majority, store_unreachable that the sender
    can't reach the store. newer names the topics whose changes were left out. configuration_version
    is that of the sender's configuration in force, host the sender's name.
    """

    topic_changes: tuple[AgedChanges, ...]
    assignments: tuple[PrimaryAssignment, ...] = ()
    verified: bool = False
    store_unreachable: bool = False
    newer: tuple[AgedRevision, ...] = ()
    zone_report: ZoneReport | None = None
    configuration_version: Count = 0
    configuration: Configuration | None = None
    host: str = ""


class StatementRequest(Record, tag="work", array_like=True):
    """Run one statement over the receiver's links to a target, within budget seconds.

    transaction_id is 0 outside a transaction. require_primary refuses the statement unless the
    target is known to be the primary. ends is unused and keeps its place in the array. priority is
    the route's, 0 first. attempt_timeout bounds the time from sending the statement to its answer,
    without the wait for its turn; 0 stands for no bound but the budget.
    """

    group: str
    target: str
    team: str
    bound: BoundStatement
    budget: Seconds
    require_primary: bool = False
    transaction_id: Count = 0
    ends: bool = False
    opens_transaction: bool = False
    priority: Count = 1
    attempt_timeout: Seconds = 0.0


class TargetLoad(Record, array_like=True):
    """The load of a target as the owner of its links sees it, in milliseconds.

    waits_ms are the expected waits of a new statement of priority 0, 1 and 2 or more; service_ms
    is the average time from sending a statement to its answer.
    """

    waits_ms: tuple[Count, Count, Count]
    service_ms: Count


class StatementResponse(Record, tag="worked", array_like=True):
    """Answer a statement request; transaction_id is that of the open transaction, 0 for none."""

    outcome: StatementResult
    transaction_id: Count = 0
    load: TargetLoad | None = None


class RollbackRequest(Record, tag="forget", array_like=True):
    """Ask the receiver to roll back an open transaction."""

    transaction_id: Count


class FenceRequest(Record, tag="fence", array_like=True):
    """Ask the receiver to stop using a group's primary.

    If not immediate, running statements and transactions may end first, within a limit.
    """

    assignment: PrimaryAssignment
    immediate: bool


class FenceResponse(Record, tag="fenced", array_like=True):
    """Confirm a fence with the last log position that the sender saw acknowledged."""

    acknowledged: Position | None = None
    host: str = ""


class PrimaryAnnouncement(Record, tag="settled", array_like=True):
    """Announce a group's new primary."""

    assignment: PrimaryAssignment


class SuspectReport(Record, tag="suspect", array_like=True):
    """Report to a failover coordinator that a group's primary does not answer.

    abandoned_by names the process that began to replace the primary and can't continue, and tried
    the hosts that could not do it, so that a failover is never delegated to one of them again.
    """

    group: str
    target: str
    why: str
    abandoned_by: str = ""
    tried: tuple[str, ...] = ()


class TeamDemand(Record, array_like=True):
    """A team's rate tokens at the sender: those held, and those wanted in addition.

    waiting is how many of the wanted tokens will be spent as soon as they arrive.
    """

    team: str
    held: Amount
    wanted: Amount
    waiting: Amount = 0.0


class TokenRequest(Record, tag="ask", array_like=True):
    """Lend the sender's share of all rates to the receiver for a while, and ask for tokens."""

    host: str
    incarnation: Count
    number: Count
    demands: tuple[TeamDemand, ...]


class TeamGrant(Record, array_like=True):
    """Rate tokens granted to a team.

    If there are none, wait is the seconds until another request may succeed.
    """

    team: str
    tokens: Amount
    wait: Amount = 0.0


class TokenResponse(Record, tag="grants", array_like=True):
    """Answer a token request."""

    grants: tuple[TeamGrant, ...]


class SampleRequest(Record, tag="sample", array_like=True):
    """Ask for a group's position samples that are younger than max_age seconds.

    newest_age is the age in seconds of the newest sample that the sender has, or infinite.
    """

    group: str
    max_age: Seconds
    newest_age: Age


class AgedPosition(Record, array_like=True):
    """A primary's log position, and the seconds since it was requested."""

    age: Age
    position: Position


class SampleResponse(Record, tag="sampled", array_like=True):
    """Answer a sample request with the samples that the sender lacks, oldest first."""

    samples: tuple[AgedPosition, ...] = ()


class CallFailed(Record, tag="failed", array_like=True):
    """Tell the caller that the receiver could not handle its message, or not send its response."""

    why: str


class Ack(Record, tag="noted", array_like=True):
    """Confirm the receipt of a message that needs no other response."""


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
    | SampleRequest
    | SampleResponse
    | CallFailed
    | Ack
)


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """A message with its call's ID, which the response repeats; a ping or pong has no body."""

    call_id: Count
    is_response: bool
    body: Message | None = None


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Frame)
