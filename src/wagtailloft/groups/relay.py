"""Bring work to the host that holds a target's links, which may be this one."""

from wagtailloft.errors import Kind, NotSent, Silent
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.mesh import Mesh, Wire, quiet
from wagtailloft.fleet.messages import Forget, Message, Noted, Work, Worked
from wagtailloft.fleet.records import Target
from wagtailloft.groups.local_links import Pools, unanswered
from wagtailloft.models import Host
from wagtailloft.sessions.statements import Outcome, State, refused

GRACE_S = 0.05  # two ways across zones: the holder's own answer comes before the limit here


class Relay:
    """Choose the holder of a target's links and have work done there."""

    def __init__(self, *, hosts: Hosts, mesh: Mesh, pools: Pools) -> None:
        self._hosts = hosts
        self._pools = pools
        self._open: dict[Wire, set[int]] = {}
        mesh.serve(Work, self._worked)
        mesh.serve(Forget, self._forgotten)

    def holders(self, target: Target) -> tuple[Host, ...]:
        """Return the hosts that may hold a target's links, the first choice first."""
        return self._hosts.ranked(target.name, target.zone) or (self._hosts.own,)

    def is_mine(self, target: Target) -> bool:
        """Tell whether this host holds a target's links."""
        return self.holders(target)[0].name == self._hosts.own.name

    async def run(self, holder: str, work: Work) -> Worked:
        """Run work at a holder; a lost answer is an unknown outcome unless the work only reads."""
        if holder == self._hosts.own.name:
            return await self._pools.run(work)
        try:
            answer = await self._hosts.call(holder, work, work.budget + GRACE_S)
        except NotSent as exc:
            if work.transaction:
                return Worked(outcome=refused(Kind.TRANSACTION_LOST, str(exc)))
            return Worked(outcome=refused(Kind.NO_OWNER, str(exc)))
        except Silent as exc:
            kind = unanswered(work)
            return Worked(outcome=Outcome(kind=kind, detail=str(exc), state=State.FAILED))
        if not isinstance(answer, Worked):
            return Worked(outcome=Outcome(kind=unanswered(work), detail="unexpected answer"))
        return answer

    async def forget(self, holder: str, number: int) -> None:
        """Roll back a transaction that a holder keeps open."""
        if holder == self._hosts.own.name:
            self._pools.forget(number)
            return
        await quiet(self._hosts.call(holder, Forget(transaction=number), 1.0))

    async def _worked(self, wire: Wire, message: Message) -> Message:
        assert isinstance(message, Work)
        done = await self._pools.run(message)
        if not done.transaction:
            self._open.get(wire, set()).discard(message.transaction)
            return done
        if wire.closed:
            self._pools.forget(done.transaction)
            return done
        if wire not in self._open:
            self._open[wire] = set()
            wire.on_close.append(lambda: self._lost(wire))
        self._open[wire].add(done.transaction)
        return done

    async def _forgotten(self, wire: Wire, message: Message) -> Message:
        assert isinstance(message, Forget)
        self._open.get(wire, set()).discard(message.transaction)
        self._pools.forget(message.transaction)
        return Noted()

    def _lost(self, wire: Wire) -> None:
        for number in self._open.pop(wire, set()):
            self._pools.forget(number)
