"""Relay statements to the host that owns a target's links, which may be this host."""

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
from wagtailloft.groups.link_use import kind_without_response
from wagtailloft.groups.local_executor import LocalExecutor
from wagtailloft.models import Host
from wagtailloft.sessions.statements import StatementResult, TransactionState, not_executed

# Covers a round trip across zones, so that the owner's own timeout is reported first.
RESPONSE_MARGIN_S = 0.05


class Relay:
    """Run statements at the owner of a target's links."""

    def __init__(self, *, hosts: Hosts, mesh: Mesh, local_executor: LocalExecutor) -> None:
        self._hosts = hosts
        self._local_executor = local_executor
        self._open_transactions: dict[PeerConnection, set[int]] = {}
        mesh.register_handler(StatementRequest, self._handle_statement_request)
        mesh.register_handler(RollbackRequest, self._handle_rollback_request)

    def owners(self, target: Target) -> tuple[Host, ...]:
        """Return the hosts that may own a target's links, in order of preference."""
        return self._hosts.rank_owners(target.name, target.zone) or (self._hosts.own,)

    def is_owned_here(self, target: Target) -> bool:
        """Return whether this host owns a target's links."""
        return self.owners(target)[0].name == self._hosts.own.name

    async def run(self, owner: str, request: StatementRequest) -> StatementResponse:
        """Run a statement at an owner.

        If the response is lost, the outcome of a write or commit is unknown; a read can be
        repeated.
        """
        if owner == self._hosts.own.name:
            return await self._local_executor.run(request)
        try:
            response = await self._hosts.call(owner, request, request.budget + RESPONSE_MARGIN_S)
        except NotSent as exc:
            if request.transaction_id:
                return StatementResponse(outcome=not_executed(Kind.TRANSACTION_LOST, str(exc)))
            return StatementResponse(outcome=not_executed(Kind.NO_OWNER, str(exc)))
        except NoResponse as exc:
            kind = kind_without_response(request)
            return StatementResponse(
                outcome=StatementResult(kind=kind, detail=str(exc), state=TransactionState.FAILED)
            )
        if not isinstance(response, StatementResponse):
            return StatementResponse(
                outcome=StatementResult(
                    kind=kind_without_response(request), detail="unexpected type of response"
                )
            )
        return response

    async def rollback(self, owner: str, transaction_id: int) -> None:
        """Roll back a transaction that is open at an owner."""
        if owner == self._hosts.own.name:
            self._local_executor.rollback(transaction_id)
            return
        await ignore_failure(
            self._hosts.call(owner, RollbackRequest(transaction_id=transaction_id), 1.0)
        )

    async def _handle_statement_request(self, conn: PeerConnection, message: Message) -> Message:
        assert isinstance(message, StatementRequest)
        response = await self._local_executor.run(message)
        if not response.transaction_id:
            self._open_transactions.get(conn, set()).discard(message.transaction_id)
            return response
        if conn.closed:
            self._local_executor.rollback(response.transaction_id)
            return response
        if conn not in self._open_transactions:
            self._open_transactions[conn] = set()
            conn.on_close.append(lambda: self._handle_connection_closed(conn))
        self._open_transactions[conn].add(response.transaction_id)
        return response

    async def _handle_rollback_request(self, conn: PeerConnection, message: Message) -> Message:
        assert isinstance(message, RollbackRequest)
        self._open_transactions.get(conn, set()).discard(message.transaction_id)
        self._local_executor.rollback(message.transaction_id)
        return Ack()

    def _handle_connection_closed(self, conn: PeerConnection) -> None:
        for transaction_id in self._open_transactions.pop(conn, set()):
            self._local_executor.rollback(transaction_id)
