"""What the dispatcher decides about a statement, for explanations."""

from collections.abc import Callable

from wagtailloft.fleet.messages import TargetLoad
from wagtailloft.fleet.records import Target
from wagtailloft.groups.target_choice import TargetChoice
from wagtailloft.models import Record
from wagtailloft.sessions.statements import StatementResult

ChooseWithout = Callable[[tuple[str, ...]], TargetChoice | None]


class MemberVerdict(Record):
    """A listed member, the host that would send to it, and this host's statements there.

    choice is set if the statement or one of its retries would go there, as the rank-th attempt.
    load is the last one that the target's owner reported, and why the dispatcher's own reason
    against the member, if it has one.
    """

    target: Target
    host: str
    in_flight: int
    choice: TargetChoice | None = None
    rank: int = 0
    load: TargetLoad | None = None
    why: str = ""


class RouteVerdict(Record):
    """The choice for a statement, None if it would wait for a primary, and that on each member.

    refusal is set if the dispatcher would refuse the statement without sending it.
    """

    choice: TargetChoice | None
    members: tuple[MemberVerdict, ...]
    refusal: StatementResult | None = None


def rank_choices(choose_without: ChooseWithout) -> tuple[TargetChoice, ...]:
    """Return the choices for a statement and for its retries, each time a replica fails it.

    choose_without returns the choice without some members. A primary ends the order, since retries
    stay there; so does a member that is chosen again.
    """
    choices: list[TargetChoice] = []
    failed: tuple[str, ...] = ()
    while (choice := choose_without(failed)) is not None and choice.target not in failed:
        choices.append(choice)
        if choice.is_primary:
            break
        failed = (*failed, choice.target)
    return tuple(choices)
