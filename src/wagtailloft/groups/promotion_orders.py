"""Promotion orders, and until when each of them may take effect.

The platform accepts an order some time before it takes effect, and an order without an answer may
reach it late. A record in the store therefore names the member before an order for it is sent.
Until that order can't take effect any more, nobody orders another member's promotion or settles on
another primary, whichever process runs the failover by then.
"""

from dataclasses import dataclass, replace

import msgspec

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.fleet.records import Entry, PrimaryAssignment, Topic
from wagtailloft.groups.directory import GroupDirectory
from wagtailloft.groups.ports import PromotionApi, TargetStatus
from wagtailloft.groups.promotion_lease import PromotionLease
from wagtailloft.groups.record_repair import ASSIGNMENT_PREFIX

# From the writing of a record, orders are sent under it for so long; a later one needs another.
ORDER_WINDOW_S = 1.0
# From the answer to an accepted order; the slowest promotion in any deployment takes 1 s.
ORDER_EFFECT_S = 2.0
# From the sending of an order without an answer until it has taken effect, if it ever does: its
# way, a platform that does it seconds later, and the promotion.
UNANSWERED_ORDER_S = 10.0


@dataclass(kw_only=True)
class _LatestOrder:
    """The latest order for a group; key is the era and epoch of its record.

    is_sent tells whether one for its member may have been sent, is_repeated whether more than one
    may have been, and is_used whether the record's own was: each record covers one.
    """

    key: tuple[int, int]
    may_act_until: float
    recorded_at: float = 0.0
    is_sent: bool = False
    is_repeated: bool = False
    is_used: bool = False


class PromotionOrders:
    """Record, send and remember promotion orders."""

    def __init__(
        self, *, directory: GroupDirectory, lease: PromotionLease, promotion_api: PromotionApi
    ) -> None:
        self._directory = directory
        self._lease = lease
        self._promotion_api = promotion_api
        self._latest: dict[str, _LatestOrder] = {}

    def observe(self, entry: Entry) -> None:
        """Note when the record of an order was first seen."""
        if isinstance(entry.value, PrimaryAssignment) and entry.value.ordered:
            self._latest_order(entry.value)

    def is_pending(self, assignment: PrimaryAssignment) -> bool:
        """Tell whether the latest order that an assignment names may still take effect."""
        return bool(assignment.ordered) and now() < self._latest_order(assignment).may_act_until

    def remaining(self, claim: PrimaryAssignment, term: int) -> tuple[str, ...]:
        """Return the member that leads in a term if an order for it may yet take effect.

        A single order has been used up if its member leads in a later term than the claim's.
        """
        if not self.is_pending(claim):
            return ()
        is_used_up = term > claim.term and not self._latest_order(claim).is_repeated
        return () if is_used_up else claim.ordered[-1:]

    def is_recorded(self, claim: PrimaryAssignment, target: str) -> bool:
        """Tell whether this process may send an order for a member under the claim's record."""
        latest = self._latest_order(claim)
        if claim.ordered[-1:] != (target,) or latest.key != _key(claim) or latest.is_used:
            return False
        return now() < latest.recorded_at + ORDER_WINDOW_S

    async def record(
        self, claim: PrimaryAssignment, member: TargetStatus
    ) -> PrimaryAssignment | None:
        """Store that a member's promotion is about to be ordered; return the claim that says so.

        Return None if another process has changed the record. Raise StoreDown.
        """
        is_same = claim.ordered[-1:] == (member.target,) and self.is_pending(claim)
        earlier = self._latest_order(claim) if is_same else None
        is_sent = earlier is not None and earlier.is_sent
        is_repeated = earlier is not None and earlier.is_repeated
        epoch = claim.epoch + 1
        recorded = msgspec.structs.replace(
            claim,
            epoch=epoch,
            term=max(claim.term, member.term),
            ordered=(*(n for n in claim.ordered if n != member.target), member.target),
            order_epoch=epoch,
            single_order=not (is_sent or is_repeated),
        )
        # Before the write: whoever sees the record first is then this process.
        self._latest[claim.group] = _LatestOrder(
            key=_key(recorded),
            may_act_until=earlier.may_act_until if earlier else 0.0,
            recorded_at=now(),
            is_sent=is_sent,
            is_repeated=is_repeated,
        )
        name = ASSIGNMENT_PREFIX + claim.group
        written = await self._directory.cache.write(Topic.FLEET, name, recorded)
        return None if written is None else recorded

    async def send(self, claim: PrimaryAssignment) -> bool | None:
        """Order the promotion that the claim's record names; return whether it was accepted.

        Return None if it is not known.
        """
        order = self._latest_order(claim)
        before = replace(order)
        # Before the call, which may be cancelled with the order under way.
        order.may_act_until = max(order.may_act_until, now() + UNANSWERED_ORDER_S)
        order.is_repeated, order.is_sent = order.is_repeated or order.is_sent, True
        order.is_used = True
        accepted = await self._promotion_api.promote(
            group=claim.group,
            target=claim.ordered[-1],
            holder=self._lease.host_name,
            fencing_token=self._lease.fencing_token,
        )
        if accepted:
            order.may_act_until = max(before.may_act_until, now() + ORDER_EFFECT_S)
        elif accepted is False:
            self._latest[claim.group] = order = before
        logs.event(
            "promotion_ordered",
            group=claim.group,
            target=claim.ordered[-1],
            accepted=accepted,
            epoch=claim.epoch,
            fence=self._lease.fencing_token,
            may_act_s=round(max(0.0, order.may_act_until - now()), 3),
        )
        return accepted

    def _latest_order(self, assignment: PrimaryAssignment) -> _LatestOrder:
        """Return what is known of the order that an assignment names.

        An order of another process was sent within ORDER_WINDOW_S after its record, which is older
        than this process's first sight of it.
        """
        latest = self._latest.get(assignment.group)
        if latest is None or latest.key < _key(assignment):
            until = now() + ORDER_WINDOW_S + UNANSWERED_ORDER_S
            latest = _LatestOrder(
                key=_key(assignment),
                may_act_until=until,
                is_sent=True,
                is_repeated=assignment.may_lack_orders or not assignment.single_order,
            )
            self._latest[assignment.group] = latest
        return latest


def _key(assignment: PrimaryAssignment) -> tuple[int, int]:
    return (assignment.era, assignment.order_epoch)
