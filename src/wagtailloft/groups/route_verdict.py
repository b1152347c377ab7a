"""What the dispatcher decides about a statement, for explanations."""

from collections.abc import Callable

from wagtailloft.fleet.records import Target
from wagtailloft.groups.target_choice import TargetChoice
from wagtailloft.models import Record

ChooseWithout = Callable[[tuple[str, ...]], TargetChoice | None]


class MemberVerdict(Record):
    """A listed member, the host that would send to it, and this host's statements there.

    choice is set if the statement or one of its retries would go there, as the rank-th attempt.
    """

    target: Target
    host: str
    in_flight: int
    choice: TargetChoice | None = None
    rank: int = 0


class RouteVerdict(Record):
    """The choice for a statement, None if it would wait for a primary, and that on each member."""

    choice: TargetChoice | None
    members: tuple[MemberVerdict, ...]


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
