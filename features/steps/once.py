"""Steps of requests that run at most once."""

import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from features.ledger import WriteChecker
from features.world import GROUP, INSERT
from wagtailloft import CheckOutcome


@when("daemon {number:d} is killed")
def step_kill_daemon(context, number):
    context.world.fleet.hosts[f"host-{number}"].process.kill()


@when("answers of the primary are {fault} for {seconds:g} s")
def step_fault(context, fault, seconds):
    fleet = context.world.fleet
    link = fleet.primary(GROUP).name
    fleet.set_link_fault([link], fault, keep_bytes=30)
    time.sleep(seconds)
    fleet.set_link_fault([link], "pass")


@when("all open connections to members go silent")
def step_silent_members(context):
    names = [m.name for m in context.world.fleet.members[GROUP]]
    context.world.fleet.blackhole_open_connections(names + [f"{n}/control" for n in names])


@when("all open connections between daemons go silent")
def step_silent_daemons(context):
    context.world.fleet.blackhole_open_connections(list(context.world.fleet.hosts))


@when("one request id is sent {count:d} times at all daemons together")
def step_repeat(context, count):
    def send(number):
        session = context.world.session(f"host-{number % 3 + 1}")
        return session.write(INSERT, "once", "Zofia", request_id="the-one", deadline=10.0)

    with ThreadPoolExecutor(count) as executor:
        context.answers = list(executor.map(send, range(count)))


@then("it ran once and every answer says so")
def step_ran_once(context):
    assert context.world.ids_in_log().count("once") == 1
    assert [a.result.count for a in context.answers] == [1] * len(context.answers)
    assert [a.repeated for a in context.answers].count(False) == 1


@when("callers run transactions of two rows")
def step_transactions(context):
    checker = WriteChecker(world=context.world, transactions=True)
    context.checker = context.stack.enter_context(checker)
    context.checker.wait_acknowledged(10)


@then("no entry of the log mixes transactions or holds half of one")
def step_no_mix(context):
    context.checker.__exit__()
    entries = context.world.fleet.primary(GROUP).control("dump")["entries"]
    for entry in entries:
        ids = Counter(args[0] for sql, args in entry["work"] if sql.startswith("INSERT INTO slots"))
        assert len(ids) <= 1, entry
        halves = Counter(s for s, a in entry["work"] if s.startswith("INSERT INTO halves"))
        assert sum(halves.values()) == sum(ids.values()), entry


@given("every link delays by up to {seconds:g} s")
def step_delay(context, seconds):
    fleet = context.world.fleet
    members = [m.name for m in fleet.members[GROUP]]
    for number, name in enumerate([*members, *fleet.hosts]):
        fleet.set_link_fault([name], "pass", delay_s=seconds * (number % 3) / 2)


@when("{callers:d} callers ask for their own number {times:d} times each")
def step_own_number(context, callers, times):
    context.wrong = []
    context.asked = 0

    def ask(caller):
        session = context.world.session()
        for number in range(times):
            mine = f"{caller}-{number}"
            try:
                read = session.read("SELECT ? UNION ALL SELECT ?", mine, mine + "!", deadline=8.0)
            except CheckOutcome as exc:
                context.wrong.append(exc)
                continue
            context.asked += 1
            if sorted(read.result.rows) != [(mine,), (mine + "!",)]:
                context.wrong.append((mine, read))

    with ThreadPoolExecutor(callers) as executor:
        list(executor.map(ask, range(callers)))


@then("every answer was whole and the caller's own")
def step_own_answers(context):
    assert context.asked and not context.wrong, context.wrong[:3]
