"""Answer the calls of peers."""

import msgspec
from result import Err

from wagtailloft.adapters.peers import read_digest, write_delta, write_digest
from wagtailloft.controllers.object_cache import ObjectCache
from wagtailloft.controllers.token_bucket import GrantRequest
from wagtailloft.errors import Kind, Refusal
from wagtailloft.gen.peer import ttypes
from wagtailloft.gossip import Gossip
from wagtailloft.models import Call
from wagtailloft.operators import Operators
from wagtailloft.owner import Owners
from wagtailloft.rate_limiter import TokenGranter


class PeerHandler:
    """Serve the thrift service of one daemon."""

    def __init__(
        self,
        *,
        gossip: Gossip,
        objects: ObjectCache,
        owners: Owners,
        token_granter: TokenGranter,
        operators: Operators,
    ) -> None:
        self._gossip = gossip
        self._objects = objects
        self._owners = owners
        self._token_granter = token_granter
        self._operators = operators

    def exchange(self, digest: ttypes.Digest) -> ttypes.Digest:
        """Trade digests."""
        return write_digest(self._gossip.handle_digest(read_digest(digest)))

    def pull(self, after: int) -> ttypes.Changes:
        """Return the changes after a revision."""
        return write_delta(self._objects.since(after))

    def probe(self, host: str) -> bool:
        """Tell whether another host answers us."""
        return self._gossip.probe_host(host)

    def work(self, work: ttypes.Work) -> ttypes.WorkResult:
        """Serve a call as the group's owner."""
        try:
            call = msgspec.json.decode(work.body, type=Call)
        except msgspec.DecodeError as exc:
            return _failed(work.request_id, Refusal(kind=Kind.BAD_REQUEST, detail=str(exc)))
        served = self._owners.serve(call)
        if isinstance(served, Err):
            return _failed(work.request_id, served.err_value)
        return ttypes.WorkResult(work.request_id, msgspec.json.encode(served.ok_value))

    def tokens(self, ask: ttypes.TokenAsk) -> ttypes.TokenGrant:
        """Grant rate tokens as the limit owner."""
        granted = self._token_granter.grant(
            GrantRequest(
                team=ask.team, host=ask.host, number=ask.number, held=ask.held, wanted=ask.wanted
            )
        )
        if isinstance(granted, Err):
            return ttypes.TokenGrant(ask.number, 0.0, 0.0, granted.err_value.kind.value)
        grant = granted.ok_value
        return ttypes.TokenGrant(grant.number, grant.tokens, grant.wait)

    def explain(self, subject: str) -> str:
        """Return this host's decisions about a subject as JSON."""
        return self._operators.explain_here(subject).decode()

    def describe(self) -> str:
        """Return this host's status as JSON."""
        return msgspec.json.encode(self._operators.status_here()).decode()


def _failed(request_id: str, refusal: Refusal) -> ttypes.WorkResult:
    return ttypes.WorkResult(request_id, None, refusal.kind.value, refusal.detail)
