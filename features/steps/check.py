"""Steps for models of the fleet whose store comes back from older copies."""

from itertools import product

from behave import given, then, when

from features.check import MACHINES, play
from features.restored_objects import LATE_WRITE_S, LEVEL, STEP_S, ModelDaemons, value_of_level
from wagtailloft.revisions import era_of

SETTLED_S = 6.0  # every era is settled by then
REFUSALS_S = (1.65, 1.7, 1.75, 1.8)  # end around the time at which an era is settled


@then(
    "{count:d} random runs of {machine} from seed {first_seed:d} break no promise, "
    "and all agree in the end"
)
def step_random_runs(context, count, machine, first_seed):
    play(MACHINES[machine], count, first_seed)


@given("a model of daemons that know a key")
def step_known_key(context):
    context.fleet = ModelDaemons(seed=1)
    context.stack.callback(context.fleet.close)
    context.fleet.add_key(0)
    context.fleet.advance(2.0)


@when("one withdraws the key, is frozen, and the platform comes back from a copy that has the key")
def step_withdrawn_and_frozen(context):
    context.fleet.withdraw_key(1)
    assert context.fleet.withdrawals
    context.fleet.pause(1, 4.0)
    context.fleet.restore(age=1.0, outage=0.0, restarted=())
    context.fleet.advance(3.0)
    assert [k for k in context.fleet.platform.objects if k[0] == "key"], "the copy lacks the key"
    context.fleet.advance(2.0)


@then("no daemon and the platform have the key once the daemon is back")
def step_key_is_gone(context):
    wrong = context.fleet.converge()
    assert not wrong and not context.fleet.violations, (wrong, context.fleet.violations)


@when("another withdraws the key while one is cut off, and the platform comes back without the key")
def step_withdrawn_and_missed(context):
    context.fleet.cut(2, 3.0)
    context.fleet.refuse(2, 0.5)
    context.fleet.withdraw_key(1)
    assert context.fleet.withdrawals
    context.fleet.advance(0.4)
    context.fleet.restore(age=3.0, outage=0.0, restarted=())
    context.fleet.advance(1.0)
    written = [o for o in context.fleet.platform.history if o.kind == "key" and o.value]
    assert written, "no daemon wrote the key again"


@then("no daemon that knows of the withdrawal accepts the key, and all lose it in the end")
def step_key_stays_withdrawn(context):
    assert not context.fleet.violations, context.fleet.violations
    wrong = context.fleet.converge()
    assert not wrong and not context.fleet.violations, (wrong, context.fleet.violations)


@when(
    "a change of a setting gets no response, a later one does, and the first is done in a new era"
)
def step_late_change(context):
    fleet = context.fleet
    fleet.late_writes = 1
    fleet.change_level(1)
    fleet.change_level(3)
    assert [value for value, _ in fleet.changes] == [2], fleet.changes
    fleet.advance(LATE_WRITE_S - 2 * STEP_S)
    fleet.restore(age=LATE_WRITE_S + 0.5, outage=0.0, restarted=())
    fleet.advance(3 * STEP_S)
    written = [o.value["value"] for o in fleet.platform.history if o.kind == "level"]
    assert written[0] == 1, written


@then("every daemon has the later value all the time, and the platform in the end")
def step_later_value(context):
    wrong = context.fleet.converge()
    assert not wrong and not context.fleet.violations, (wrong, context.fleet.violations[:3])
    stored = context.fleet.platform.objects[("level", LEVEL)]
    assert stored.value["value"] == 2, stored


@given("{count:d} models of daemons")
def step_models(context, count):
    context.seeds = range(count)


@when("the platform comes back without a change that was just confirmed, and leases are renewed")
def step_renewed_in_new_era(context):
    context.wrong = {}
    for seed in context.seeds:
        fleet = ModelDaemons(seed=seed)
        context.stack.callback(fleet.close)
        fleet.advance(2.0 + seed * 0.03)
        fleet.change_level(0)
        fleet.restore(age=STEP_S, outage=0.0, restarted=())
        fleet.advance(STEP_S)
        assert fleet.changes and ("level", LEVEL) not in fleet.platform.objects, seed
        wrong = fleet.converge() + fleet.violations
        if wrong:
            context.wrong[seed] = wrong[:3]


@when(
    "the platform loses a change, and serves those that know it again shortly before two others"
    " settle the era"
)
def step_witnesses_meet_era_late(context):
    context.wrong, late = {}, 0
    for seed, refused in product(context.seeds, REFUSALS_S):
        fleet = ModelDaemons(seed=seed)
        context.stack.callback(fleet.close)
        fleet.advance(2.0)
        fleet.part({2, 3}, (), SETTLED_S)
        for number, seconds in ((1, refused + STEP_S), (2, 2 * STEP_S), (3, 2 * STEP_S)):
            fleet.refuse(number, seconds)
        fleet.change_level(0)
        fleet.restore(age=2 * STEP_S, outage=0.0, restarted=())
        fleet.refuse(0, refused)
        fleet.advance(STEP_S)
        assert fleet.changes and ("level", LEVEL) not in fleet.platform.objects, seed
        witness = fleet.daemons[0].objects
        until, lost = fleet.now + SETTLED_S, False
        while fleet.now < until and not (witness.is_complete() and era_of(witness.revision) == 2):
            lost = bool(witness.forgotten())
            fleet.advance(STEP_S)
        late += lost  # the era was settled while the witness had not written the change again
        wrong = fleet.converge() + fleet.violations
        if wrong:
            context.wrong[(seed, refused)] = wrong[:3]
        fleet.close()
    assert late, "no era was settled before a witness had written"


@when(
    "one that missed the key's withdrawal meets a new era, and is frozen until all that know it"
    " have ended"
)
def step_frozen_with_lost_key(context):
    fleet, witness = context.fleet, context.fleet.daemons[0]
    fleet.cut(0, 2 * SETTLED_S)
    fleet.refuse(0, 1.0)
    fleet.withdraw_key(1)
    assert fleet.withdrawals
    fleet.restore(age=3.0, outage=0.0, restarted=())
    while not witness.objects.forgotten():
        fleet.advance(STEP_S)
    assert witness.objects.get("era", "2") and not witness.objects.is_complete()
    assert not [k for k in fleet.platform.objects if k[0] == "key"], "the key is written already"
    fleet.pause(0, SETTLED_S)
    fleet.advance(SETTLED_S / 2)
    assert fleet.daemons[1].objects.is_complete(), "the era is not settled"
    for number in (1, 2, 3):
        fleet.restart(number)
    fleet.advance(SETTLED_S)


@then("no daemon accepts the key, nor has the platform it, once the daemon is back")
def step_key_is_not_written(context):
    wrong, (key,) = context.fleet.converge(), context.fleet.withdrawals
    assert not wrong and not context.fleet.violations, (wrong, context.fleet.violations[:3])
    assert ("key", key) not in context.fleet.platform.objects
    assert not [d.name for d in context.fleet.daemons if d.accepts(key)]


@then("every daemon has the change all the time, and the platform in the end")
def step_change_is_kept(context):
    assert not context.wrong, context.wrong


@when("the platform loses a change and refuses the only daemon that knows it for {seconds:g} s")
def step_refused_witness(context, seconds):
    fleet = context.fleet
    fleet.cut(0, 0.3)
    fleet.change_level(0)
    assert fleet.changes, "the change was not confirmed"
    fleet.restore(age=STEP_S, outage=0.0, restarted=())
    fleet.refuse(0, seconds)
    fleet.advance(STEP_S)
    assert ("level", LEVEL) not in fleet.platform.objects, "the change was not lost"
    fleet.advance(seconds - 2 * STEP_S)


@then("every daemon has the change and the platform too before it serves that daemon")
def step_change_kept(context):
    fleet = context.fleet
    assert fleet.daemons[0].refused and not fleet.violations, fleet.violations[:3]
    assert ("level", LEVEL) in fleet.platform.objects
    assert [value_of_level(d.objects) for d in fleet.daemons] == [1] * len(fleet.daemons)
    assert not fleet.converge() and not fleet.violations, fleet.violations[:3]
