"""Steps for requests through a fleet of daemon processes."""

from behave import given, then, when

from features.test_fleet import GROUP, INSERT, start_test_fleet


@given("a fleet of {count:d} daemons with one group")
def step_fleet(context, count):
    start_test_fleet(context, count)


@when("a caller writes a row through daemon {number:d}")
def step_write(context, number):
    context.session = context.test_fleet.session()
    context.session.write(INSERT, "first", "Zofia", host=context.test_fleet.url(number))


@then("the row is read through daemon {first:d} and through daemon {second:d}")
def step_read(context, first, second):
    context.reads = []
    for number in (first, second):
        sql = "SELECT who FROM slots WHERE id = 'first'"
        read = context.session.read(sql, host=context.test_fleet.url(number))
        assert read.result.rows == (("Zofia",),), read
        context.reads.append(read)


@then("the read was served by a replica")
def step_replica(context):
    assert any(read.role == "replica" for read in context.reads), context.reads


@then("no target received the caller's key")
def step_no_key(context):
    for log in context.test_fleet.fleet.folder.glob("*.log"):
        assert context.test_fleet.key not in log.read_text(), log
    assert context.test_fleet.key not in str(context.test_fleet.logged_statements())


@when("the primary is killed")
def step_kill_primary(context):
    context.affected_member = context.test_fleet.fleet.primary(GROUP)
    context.affected_member.process.kill()


@then("the next write is acknowledged")
def step_next_write(context):
    response = context.session.write(INSERT, "second", "Stefan", deadline=20.0)
    assert response.served_by != context.affected_member.name


@then("the fleet explains the promotion")
def step_explained(context):
    decisions = context.test_fleet.fleet.run_cli_json("explain", GROUP, host="host-3")
    assert any(d["what"] == "promoted" for d in decisions), decisions
