"""Bring work to the host that holds a target's links, which may be this one."""

from wagtailloft.errors import Kind, NoResponse, NotSent
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.mesh import Mesh, PeerConnection, ignore_failure
from wagtailloft.fleet.messages import (
    Ack,
    Message,
    RollbackRequest,
    StatementRequest,
    StatementResponse,
)
from wagtailloft.fleet.records import Target
from wagtailloft.groups.local_links import LocalLinks, unanswered
from wagtailloft.models import Host
from wagtailloft.sessions.statements import Outcome, State, refused

GRACE_S = 0.05  # two ways across zones: the holder's own answer comes before the limit here


class Relay:
    """Choose the holder of a target's links and have work done there."""

    def __init__(self, *, hosts: Hosts, mesh: Mesh, local_links: LocalLinks) -> None:
        self._hosts = hosts
        self._local_links = local_links
        self._open: dict[PeerConnection, set[int]] = {}
        mesh.register_handler(StatementRequest, self._worked)
        mesh.register_handler(RollbackRequest, self._forgotten)

    def owners(self, target: Target) -> tuple[Host, ...]:
        """Return the hosts that may hold a target's links, the first choice first."""
        return self._hosts.rank_owners(target.name, target.zone) or (self._hosts.own,)

    def is_owned_here(self, target: Target) -> bool:
        """Tell whether this host holds a target's links."""
        return self.owners(target)[0].name == self._hosts.own.name

    async def run(self, owner: str, request: StatementRequest) -> StatementResponse:
        """Run work at a holder; a lost answer is an unknown outcome unless the work only reads."""
        if owner == self._hosts.own.name:
            return await self._local_links.run(request)
        try:
            answer = await self._hosts.call(owner, request, request.budget + GRACE_S)
        except NotSent as exc:
            if request.transaction_id:
                return StatementResponse(outcome=refused(Kind.TRANSACTION_LOST, str(exc)))
            return StatementResponse(outcome=refused(Kind.NO_OWNER, str(exc)))
        except NoResponse as exc:
            kind = unanswered(request)
            return StatementResponse(
                outcome=Outcome(kind=kind, detail=str(exc), state=State.FAILED)
            )
        if not isinstance(answer, StatementResponse):
            return StatementResponse(
                outcome=Outcome(kind=unanswered(request), detail="unexpected answer")
            )
        return answer

    async def rollback(self, owner: str, number: int) -> None:
        """Roll back a transaction that a holder keeps open."""
        if owner == self._hosts.own.name:
            self._local_links.rollback(number)
            return
        await ignore_failure(self._hosts.call(owner, RollbackRequest(transaction_id=number), 1.0))

    async def _worked(self, conn: PeerConnection, message: Message) -> Message:
        assert isinstance(message, StatementRequest)
        done = await self._local_links.run(message)
        if not done.transaction_id:
            self._open.get(conn, set()).discard(message.transaction_id)
            return done
        if conn.closed:
            self._local_links.rollback(done.transaction_id)
            return done
        if conn not in self._open:
            self._open[conn] = set()
            conn.on_close.append(lambda: self._lost(conn))
        self._open[conn].add(done.transaction_id)
        return done

    async def _forgotten(self, conn: PeerConnection, message: Message) -> Message:
        assert isinstance(message, RollbackRequest)
        self._open.get(conn, set()).discard(message.transaction_id)
        self._local_links.rollback(message.transaction_id)
        return Ack()

    def _lost(self, conn: PeerConnection) -> None:
        for number in self._open.pop(conn, set()):
            self._local_links.rollback(number)
