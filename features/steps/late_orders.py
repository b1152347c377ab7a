"""Steps for orders to members and to the platform that arrive late, or when their sender ended."""

import msgspec
from behave import given, then, when

from features.late_group import FROZEN, LATE, OWNER_ENDS, OWNERS, UNANSWERED, LateGroup
from wagtailloft.controllers.failover import INITIAL_BACKOFF_S
from wagtailloft.group_service import BACKUP_OWNER_DELAY_S, SWITCHOVER_TIMEOUT_S
from wagtailloft.models import PublishedPrimary

# An election takes 0.55 s at most, the backup owner's delay is 1.5 s, and elections back off for
# 0.5 s, 1 s, 2 s and 4 s.
ELECTED_WITHIN_S = 10.0
SAME_LOG_WITHIN_S = 10.0
HIGHER_TERM = 7
MAX_HELD_S = SWITCHOVER_TIMEOUT_S + BACKUP_OWNER_DELAY_S
TICKS_S = 0.1  # for a few rounds of maintenance
WAITING_WRITE_S = 4.0  # for an election and what follows it


@given("a group of members with a host that owns it and another one")
def step_group(context):
    context.group = LateGroup(context.stack)
    context.old = context.group.latest.member
    context.write = None
    for owner in OWNERS:
        context.group.write_until_acknowledged(owner, ELECTED_WITHIN_S)


def wait_late(group, count=1):
    """Let the owners work until orders are late."""
    group.run_until(lambda: group.late >= count, ELECTED_WITHIN_S)


def wait_promoted(group):
    """Let the owners work until a member is promoted in a later term."""
    term = group.latest.term
    group.run_until(lambda: group.latest.term > term, ELECTED_WITHIN_S)


@when("the primary goes dark, and the promote command to a replica is late")
def step_promote_late(context):
    order(context, LATE)


@when("the primary goes dark, and its host freezes before it promotes a replica")
def step_frozen(context):
    order(context, FROZEN)


def order(context, fate):
    """Cut the primary off, and disturb the next promote command."""
    group = context.group
    group.disturb("promote", fate)
    group.isolate(context.old)
    wait_late(group)
    context.ordered = group.ordered


@when("the primary is back, and the next election has promoted a member")
def step_back_and_elected(context):
    context.group.join(context.old)
    wait_promoted(context.group)


@when("the late orders arrive")
def step_arrive(context):
    context.replies = context.group.deliver()


@then("the late orders are refused")
def step_refused(context):
    statuses = [r[0] for r in context.replies if isinstance(r, tuple)]
    results = [r.is_err() for r in context.replies if not isinstance(r, tuple)]
    assert context.replies and all(s == 409 for s in statuses) and all(results), context.replies


@then("writes through both hosts are acknowledged")
def step_both_acknowledge(context):
    for owner in OWNERS:
        context.group.write_until_acknowledged(owner, ELECTED_WITHIN_S)


@then("writes through both hosts are acknowledged, and no replaced primary acknowledged one")
def step_end(context):
    group = context.group
    for name in group.members:
        group.join(name)
    for owner in OWNERS:
        group.write_until_acknowledged(owner, ELECTED_WITHIN_S)
    check(group)


def check(group):
    """Check all that must hold in the end."""
    check_promises(group)
    group.check_agreement(SAME_LOG_WITHIN_S)


def check_promises(group):
    """Check what must hold at any time."""
    group.check_terms()
    group.check_acknowledged()


@when("the ordered member misses the next election, which another host wins")
@when("the ordered member and its host are cut off from the rest, which elects a primary")
def step_parted(context):
    part(context, context.ordered)


@when("the promoted member and its host are cut off from the rest, which elects a primary")
def step_promoted_parted(context):
    part(context, context.group.latest.member)


def part(context, member):
    """Let the host B and the others elect a primary, and the host A reach only the member then.

    A loses the others once B gives orders, and B's promotion starts a write through A if none waits
    for a primary. A starts no election itself until that write has ended.
    """
    group = context.group
    others = [n for n in group.members if n != member]
    context.parted = member

    def on_order(owner, action):
        if (owner, action) == ("B", "fence"):
            group.cut("A", *others)

    def on_promoted(name):
        if context.write is None:
            context.write = group.start_write("A", budget=WAITING_WRITE_S)

    group.on_order, group.on_promoted = on_order, on_promoted
    group.cut(member, "B", *others)
    group.join(context.old, "B", *others)
    group.prefer("B")
    group.resting = "A"
    wait_promoted(group)
    context.later_term = group.latest.term
    group.on_order = lambda owner, action: None
    group.on_promoted = lambda name: None


@when("a write through the host waits for a primary")
def step_waiting_write(context):
    context.write = context.group.start_write("A", budget=WAITING_WRITE_S)


@when("the primary commits {count:d} writes that no replica receives")
def step_not_received(context, count):
    group = context.group
    group.cut(context.old, *group.replicas())
    for _ in range(count):
        assert not group.start_write("A", budget=0.05).result()
    numbers = [number for _, number, _ in group.refused[-count:]]
    assert set(numbers) <= set(group.written(context.old)), group.refused
    assert not any(set(numbers) & set(group.written(r)) for r in group.replicas())


@then("the write was committed at the replaced primary, and not acknowledged in that term")
def step_not_acknowledged(context):
    group, number = context.group, context.write.number
    group.run_until(context.write.done, WAITING_WRITE_S + 1.0)
    group.resting = ""
    replaced = [p.term for p in group.promotions if p.member == context.parted]
    replaced = [t for t in replaced if t < context.later_term]
    assert any(n == number and t in replaced for n, t in group.committed), group.committed
    terms = [a.term for a in group.acknowledged if a.number == number]
    assert not set(terms) & set(replaced), (terms, group.promotions)


@when("the frozen host goes on, with the ordered member's promotion")
def step_goes_on(context):
    group = context.group
    group.join("A")
    group.resting = ""
    replies = group.deliver()
    assert [r[0] for r in replies] == [200], replies


@when("the primary goes dark, and the response to a promote command is lost")
def step_response_lost(context):
    group = context.group
    group.disturb("promote", UNANSWERED)
    group.isolate(context.old)
    wait_promoted(group)
    context.promoted = group.latest


@then("writes are acknowledged in that promotion's term")
def step_same_promotion(context):
    for owner in OWNERS:
        context.group.write_until_acknowledged(owner, ELECTED_WITHIN_S)
    assert context.group.latest == context.promoted, context.group.promotions


@when("the primary goes dark, and a promoted member goes dark before it has responded")
def step_promoted_dark(context):
    group = context.group
    group.disturb("promote", UNANSWERED)
    group.on_promoted = group.isolate
    group.isolate(context.old)
    wait_promoted(group)
    group.on_promoted = lambda name: None
    context.promoted = group.latest


@when("the promoted member is back")
def step_promoted_back(context):
    context.group.join(context.promoted.member)


@when("the primary goes dark, and the follow command to it is late once it is back")
def step_follow_late(context):
    group = context.group
    group.isolate(context.old)
    wait_promoted(group)
    group.disturb("follow", LATE, member=context.old, owner="A", count=1000)
    group.join(context.old, "A")
    wait_late(group)


@when("the late orders arrive, and the cut-off host reaches the member that they were for")
def step_arrive_and_reach(context):
    group = context.group
    context.replies = group.deliver()
    group.join(context.old, "A", context.parted)
    group.cut(context.old, "B")


@when("the primary goes dark, and its host ends with the {order} order under way")
def step_owner_ends(context, order):
    group = context.group
    group.disturb(order, OWNER_ENDS, count=len(group.members) if order == "fence" else 1, owner="A")
    group.resting = "B"
    group.isolate(context.old)
    group.run_until(lambda: group.owners["A"].ended, ELECTED_WITHIN_S)
    group.resting = ""


@then("writes through the other host are acknowledged")
def step_other_acknowledges(context):
    context.group.write_until_acknowledged("B", ELECTED_WITHIN_S)
    context.promoted = context.group.latest


@then("writes through the other host are acknowledged in the same term")
def step_same_term(context):
    assert context.group.write("B") and context.group.latest == context.promoted


@then("no replaced primary acknowledged a write")
def step_none(context):
    for name in context.group.members:
        context.group.join(name)
    context.group.write_until_acknowledged("B", ELECTED_WITHIN_S)
    check(context.group)


@when("the primary goes dark, and the fence orders of an election are late")
def step_fence_late(context):
    group = context.group
    group.disturb("fence", LATE, owner="A", count=len(group.members) - 1)
    group.isolate(context.old)
    wait_late(group, len(group.members) - 1)


@when("a replica is cut off from the primary, and a write is acknowledged")
def step_lagging(context):
    group = context.group
    context.other = group.replicas()[0]
    group.cut(context.old, group.replicas()[1])
    group.write_until_acknowledged("A", ELECTED_WITHIN_S)
    assert group.latest.member == context.old, group.promotions


@when("the primary goes dark, and the fence order to the other replica is late")
def step_one_fence_late(context):
    group = context.group
    group.disturb("fence", LATE, member=context.other)
    group.isolate(context.old)
    wait_late(group)


@when("the platform has a claim of a higher term, and the fence orders of the next one are late")
def step_higher_claim(context):
    group = context.group
    stored = group.store.objects["g"]
    claim = PublishedPrimary(term=HIGHER_TERM, claimant="C/1")
    assert group.store.put("leadership", "g", claim, stored.revision).is_ok()
    step_fence_late(context)


@when("the platform goes down, and the other host has a primary elected")
def step_platform_down(context):
    group = context.group
    group.store.down = True
    group.owners["A"].end()
    group.prefer("B")
    wait_promoted(group)
    assert group.latest.term < HIGHER_TERM


@when("the primary is cut off from its replicas, and the preferred host from all members")
def step_primary_parted(context):
    group = context.group
    group.cut(context.old, *group.replicas())
    group.cut("A", *group.members)


@when("the primary is leaving, and a replica is cut off from it")
def step_leaving(context):
    mark_leaving(context)
    context.group.cut(context.old, context.group.replicas()[0])
    context.group.run(TICKS_S)


@when("the primary is leaving, and the preferred host ends")
def step_leaving_and_ends(context):
    mark_leaving(context)
    context.group.run(TICKS_S)
    context.group.owners["A"].end()


def mark_leaving(context):
    """Mark the primary as leaving when both hosts may begin to replace it."""
    group = context.group
    group.run(INITIAL_BACKOFF_S)
    members = tuple(
        msgspec.structs.replace(m, leaving=m.name == context.old) for m in group.description.members
    )
    for owner in group.owners.values():
        owner.service.update_description(
            msgspec.structs.replace(group.description, members=members)
        )


@then("a write through each host is acknowledged before requests have been held for too long")
def step_not_held(context):
    write_held(context.group, OWNERS)


@then("a write through the other host is acknowledged before requests have been held for too long")
def step_other_not_held(context):
    write_held(context.group, OWNERS[1:])


def write_held(group, owners):
    """Write through hosts, each within the longest hold."""
    futs = [group.start_write(owner, budget=MAX_HELD_S + 1.0) for owner in owners]
    group.run_until(lambda: all(f.done() for f in futs), MAX_HELD_S + 2.0)
    assert all(f.result() for f in futs), group.refused
    check_promises(group)
