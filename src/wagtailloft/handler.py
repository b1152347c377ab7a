"""Handler of the calls that other hosts make to a daemon."""

import msgspec
from result import Err

from wagtailloft.adapters.peers import (
    decode_grant_request,
    from_thrift_digest,
    to_thrift_delta,
    to_thrift_digest,
)
from wagtailloft.controllers.object_cache import ObjectCache
from wagtailloft.errors import Kind, Refusal
from wagtailloft.gen.peer import ttypes
from wagtailloft.gossip import Gossip
from wagtailloft.group_service import GroupServices
from wagtailloft.models import Call, decode
from wagtailloft.operators import OperatorService
from wagtailloft.rate_limiter import TokenGranter


class PeerHandler:
    """Implementation of the thrift service; its method names are those of the protocol."""

    def __init__(
        self,
        *,
        gossip: Gossip,
        objects: ObjectCache,
        group_services: GroupServices,
        token_granter: TokenGranter,
        operators: OperatorService,
    ) -> None:
        self._gossip = gossip
        self._objects = objects
        self._group_services = group_services
        self._token_granter = token_granter
        self._operators = operators

    def exchange(self, digest: ttypes.Digest) -> ttypes.Digest:
        """Take a host's gossip digest and return this host's."""
        return to_thrift_digest(self._gossip.handle_digest(from_thrift_digest(digest)))

    def pull(self, after: int) -> ttypes.Changes:
        """Return the settings changes after a revision."""
        return to_thrift_delta(self._objects.changes_since(after))

    def probe(self, host: str) -> bool:
        """Tell whether this host reaches another host."""
        return self._gossip.probe_host(host)

    def work(self, work: ttypes.Work) -> ttypes.WorkResult:
        """Execute a call as the owner of its group."""
        try:
            call = decode(work.body, Call)
        except msgspec.DecodeError as exc:
            return _refusal_result(work.request_id, Refusal(kind=Kind.BAD_REQUEST, detail=str(exc)))
        served = self._group_services.serve(call)
        if isinstance(served, Err):
            return _refusal_result(work.request_id, served.err_value)
        return ttypes.WorkResult(work.request_id, msgspec.json.encode(served.ok_value))

    def tokens(self, ask: ttypes.TokenAsk) -> ttypes.TokenGrant:
        """Grant rate tokens as the token owner."""
        granted = self._token_granter.grant(decode_grant_request(ask))
        if isinstance(granted, Err):
            return ttypes.TokenGrant(ask.number, 0.0, 0.0, granted.err_value.kind.value)
        grant = granted.ok_value
        return ttypes.TokenGrant(grant.number, grant.tokens, grant.wait)

    def explain(self, subject: str) -> str:
        """Return this host's decisions about a subject as JSON."""
        return self._operators.local_decisions(subject).decode()

    def describe(self) -> str:
        """Return this host's status as JSON."""
        return msgspec.json.encode(self._operators.local_status()).decode()


def _refusal_result(request_id: str, refusal: Refusal) -> ttypes.WorkResult:
    return ttypes.WorkResult(request_id, None, refusal.kind.value, refusal.detail)
