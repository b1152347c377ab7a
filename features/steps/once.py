"""Steps for requests that run at most once."""

import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from features.test_fleet import GROUP, INSERT
from features.write_checker import WriteChecker
from wagtailloft import CheckOutcome


@when("daemon {number:d} is killed")
def step_kill_daemon(context, number):
    context.test_fleet.fleet.hosts[f"host-{number}"].process.kill()


@when("responses of the primary get the fault {fault} for {seconds:g} s")
def step_primary_proxy_fault(context, fault, seconds):
    fleet = context.test_fleet.fleet
    primary = fleet.primary(GROUP).name
    fleet.set_proxy_fault([primary], fault, keep_bytes=30)
    time.sleep(seconds)
    fleet.set_proxy_fault([primary], "pass")


@when("all open connections to members are blackholed")
def step_blackhole_members(context):
    names = [m.name for m in context.test_fleet.fleet.members[GROUP]]
    context.test_fleet.fleet.blackhole_open_connections(names + [f"{n}/control" for n in names])


@when("all open connections between daemons are blackholed")
def step_blackhole_daemons(context):
    context.test_fleet.fleet.blackhole_open_connections(list(context.test_fleet.fleet.hosts))


@when("one request id is sent {count:d} times to all daemons concurrently")
def step_repeat_request_id(context, count):
    def send(number):
        session = context.test_fleet.session(f"host-{number % 3 + 1}")
        return session.write(INSERT, "once", "Zofia", request_id="the-one", deadline=10.0)

    with ThreadPoolExecutor(count) as executor:
        context.responses = list(executor.map(send, range(count)))


@then("it ran once, and every response but one is marked as repeated")
def step_ran_once(context):
    assert context.test_fleet.ids_in_log().count("once") == 1
    assert [a.result.count for a in context.responses] == [1] * len(context.responses)
    assert [a.repeated for a in context.responses].count(False) == 1


@when("callers run transactions of two rows")
def step_run_transactions(context):
    checker = WriteChecker(test_fleet=context.test_fleet, transactions=True)
    context.checker = context.stack.enter_context(checker)
    context.checker.wait_acknowledged(10)


@then("no log entry mixes transactions or contains only part of one")
def step_log_entries_are_transactions(context):
    context.checker.__exit__()
    entries = context.test_fleet.fleet.primary(GROUP).control("dump")["entries"]
    for entry in entries:
        ids = Counter(args[0] for sql, args in entry["work"] if sql.startswith("INSERT INTO slots"))
        assert len(ids) <= 1, entry
        half_ids = Counter(s for s, a in entry["work"] if s.startswith("INSERT INTO halves"))
        assert sum(half_ids.values()) == sum(ids.values()), entry


@given("every proxied connection has a delay of up to {seconds:g} s")
def step_delay_connections(context, seconds):
    fleet = context.test_fleet.fleet
    members = [m.name for m in fleet.members[GROUP]]
    for number, name in enumerate([*members, *fleet.hosts]):
        fleet.set_proxy_fault([name], "pass", delay_s=seconds * (number % 3) / 2)


@when("{callers:d} callers read their own number {times:d} times each")
def step_read_own_numbers(context, callers, times):
    context.mismatches = []
    context.response_count = 0

    def read_own_number(caller):
        session = context.test_fleet.session()
        for number in range(times):
            own_value = f"{caller}-{number}"
            try:
                read = session.read(
                    "SELECT ? UNION ALL SELECT ?", own_value, own_value + "!", deadline=8.0
                )
            except CheckOutcome as exc:
                context.mismatches.append(exc)
                continue
            context.response_count += 1
            if sorted(read.result.rows) != [(own_value,), (own_value + "!",)]:
                context.mismatches.append((own_value, read))

    with ThreadPoolExecutor(callers) as executor:
        list(executor.map(read_own_number, range(callers)))


@then("every response was complete and the caller's own")
def step_own_responses(context):
    assert context.response_count and not context.mismatches, context.mismatches[:3]
