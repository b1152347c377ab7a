"""Explain where a statement would go now on the own interface, at the owner of the group."""

import time
from collections.abc import Callable
from urllib.parse import urlencode

from result import Err, Ok, Result

from wagtailloft.catalog import Catalog
from wagtailloft.controllers.freshness import SettingsState
from wagtailloft.controllers.routing import MemberChoice, choose_member, explain_member
from wagtailloft.controllers.views import GroupView, MemberView
from wagtailloft.errors import Kind, Refusal
from wagtailloft.gossip import Gossip
from wagtailloft.group_service import GroupService, GroupServices
from wagtailloft.member_endpoint import slot_waits
from wagtailloft.models import Call, Host, Mode, Position, Route, SqlStatement, Team
from wagtailloft.route_report import (
    PATH,
    MemberReport,
    RouteQuestion,
    RouteReport,
    TeamReport,
    format_position,
    refusal_report,
)
from wagtailloft.sessions.statements import Verb


class GroupRouteExplainer:
    """Answer where statements would go, by the code that admits them and chooses members."""

    def __init__(
        self,
        *,
        catalog: Catalog,
        gossip: Gossip,
        group_services: GroupServices,
        owners_of: Callable[[str], tuple[Host, ...]],
    ) -> None:
        self._catalog = catalog
        self._gossip = gossip
        self._group_services = group_services
        self._owners_of = owners_of

    def url_of_owner(self, question: RouteQuestion) -> str:
        """Return where another host answers a question, empty if this host answers it.

        A question that was passed on before is answered here, so that it can't go in circles.
        """
        route = self._catalog.find(Route, question.route)
        own = self._gossip.own().name
        if route is None or question.asked or self._admission_refusal(route, question):
            return ""
        owners = self._owners_of(route.group)
        if not owners or owners[0].name == own:
            return ""
        fields = {"route": question.route, "team": question.team, "verb": question.verb.value}
        address = f"{owners[0].ip}:{owners[0].operator_port}"
        return f"http://{address}{PATH}?{urlencode({**fields, 'asked': own})}"

    def explain(self, question: RouteQuestion) -> RouteReport | Refusal:
        """Return where a statement would go, or a refusal if its route or team is unknown."""
        route = self._catalog.find(Route, question.route)
        if route is None:
            return Refusal(kind=Kind.UNKNOWN_ROUTE)
        team = self._catalog.find(Team, question.team) if question.team else None
        if question.team and team is None:
            return Refusal(kind=Kind.NOT_FOUND, detail=f"no team '{question.team}'")
        options = self._catalog.options(route.name, route.group)
        call, at = _call(question, route), time.monotonic()
        serving = self._service(route, question)
        chosen: Result[MemberChoice, Refusal] = serving
        members: tuple[MemberReport, ...] = ()
        if isinstance(serving, Ok):
            service = serving.ok_value
            view, waits = service.monitor.view(), slot_waits(service.endpoints)
            chosen = choose_member(call, view, waits, options.replica_wait, at)
            members = _members(service, view, call, chosen.ok(), at)
        choice, refusal = chosen.ok(), chosen.err()
        own = self._gossip.own().name
        return RouteReport(
            asked=question.asked or own,
            route=route.name,
            group=route.group,
            statement=question.verb.value,
            team=team and TeamReport(name=team.name, rate=team.rate, burst=team.burst),
            priority=None,
            freshness="session",
            max_age_s=None,
            timeout_s=options.deadline,
            position=format_position(choice.after) if choice and choice.after.term else "",
            member=choice.member if choice else "",
            host=own if choice else "",
            why=choice.why if choice else "none is chosen for a statement that is refused",
            refusal=refusal and refusal_report(refusal.kind, refusal.detail),
            members=members,
        )

    def _service(self, route: Route, question: RouteQuestion) -> Result[GroupService, Refusal]:
        """Return the service of a route's group, or why statements are not served here."""
        refusal = self._admission_refusal(route, question)
        if refusal is not None:
            return Err(refusal)
        owners = self._owners_of(route.group)
        service = None
        if owners and owners[0].name == self._gossip.own().name:
            service = self._group_services.get_or_create(route.group)
        if service is None:
            return Err(Refusal(kind=Kind.NO_OWNER, detail="this host does not own the group"))
        if service.lost_member_majority():
            detail = "the owner cannot reach a majority of the group's members"
            return Err(Refusal(kind=Kind.NO_OWNER, detail=detail))
        return Ok(service)

    def _admission_refusal(self, route: Route, question: RouteQuestion) -> Refusal | None:
        if self._gossip.settings_state() is SettingsState.STALE:
            return Refusal(kind=Kind.SETTINGS_STALE)
        team = self._catalog.find(Team, question.team) if question.team else None
        if team is None:
            return None
        admitted = self._catalog.admit_team(route, team, "")
        return admitted.err_value if isinstance(admitted, Err) else None


def _call(question: RouteQuestion, route: Route) -> Call:
    """Return the call of a session without a position; transactions run at the primary."""
    return Call(
        request_id="",
        team=question.team,
        route=route.name,
        group=route.group,
        statement=SqlStatement(sql=""),
        mode=Mode.READ if question.verb is Verb.READ else Mode.WRITE,
        budget=0.0,
        after=Position(),
    )


def _members(
    service: GroupService, view: GroupView, call: Call, choice: MemberChoice | None, at: float
) -> tuple[MemberReport, ...]:
    return tuple(
        _member(service, m, _rank(m, view, choice), explain_member(m, call, view, choice, at))
        for m in view.members
    )


def _rank(member: MemberView, view: GroupView, choice: MemberChoice | None) -> int:
    """Return the rank of a member: after a replica that lacks the position comes the primary."""
    if choice is None:
        return 0
    if member.member.name == choice.member:
        return 1
    return 2 if member is view.primary else 0


def _member(service: GroupService, member: MemberView, rank: int, why: str) -> MemberReport:
    endpoint = service.endpoints[member.member.name]
    state = "reachable" if member.reachable else "unreachable"
    return MemberReport(
        name=member.member.name,
        zone=member.member.zone,
        role=member.progress.role.value if member.progress else "unknown",
        state="leaving" if member.member.leaving else state,
        slots=endpoint.slots,
        in_flight=endpoint.gate.busy,
        limit=endpoint.slots,
        queue_ms=round(endpoint.gate.expected_wait() * 1000, 1),
        rank=rank,
        why=why,
    )
