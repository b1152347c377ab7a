"""Steps for the HTTP interface of callers."""

import json
import socket
import time

import urllib3
from behave import then, when

from features.test_fleet import COUNT, GROUP, INSERT
from wagtailloft import ChangeRequest, Kind, TryAgain, WagtailError

STATEMENTS_PATH = "/v1/routes/bookings/statements"
VALID_BODY = b'{"sql": "SELECT 1", "mode": "read"}'
OVERSIZED_BODY = b'{"sql": "' + b"x" * 2_000_000 + b'"}'

MALFORMED_REQUESTS = (
    ("POST", STATEMENTS_PATH, b"{", {}, "bad_request"),
    ("POST", STATEMENTS_PATH, b'{"sql": 7}', {}, "bad_request"),
    ("POST", STATEMENTS_PATH, b'{"sql": "SELECT 1", "more": 1}', {}, "bad_request"),
    ("POST", STATEMENTS_PATH, b'{"sql": "SELECT \\u0000"}', {}, "bad_request"),
    ("POST", STATEMENTS_PATH, b'{"sql": "\xff\xfe"}', {}, "bad_request"),
    ("POST", STATEMENTS_PATH, b'{"sql": "SELECT ?", "args": [[1]]}', {}, "bad_request"),
    ("GET", STATEMENTS_PATH, b"", {}, "bad_request"),
    ("POST", STATEMENTS_PATH, VALID_BODY, {"Wagtail-Deadline-Ms": "-1"}, "bad_request"),
    ("POST", STATEMENTS_PATH, VALID_BODY, {"Wagtail-Deadline-Ms": "9" * 30}, "bad_request"),
    ("POST", STATEMENTS_PATH, VALID_BODY, {"Wagtail-Deadline-Ms": "soon"}, "bad_request"),
    ("POST", STATEMENTS_PATH, VALID_BODY, {"Wagtail-Max-Age-Ms": "-5"}, "bad_request"),
    ("POST", STATEMENTS_PATH, VALID_BODY, {"Wagtail-Request-Id": "a b"}, "bad_request"),
    ("POST", STATEMENTS_PATH, VALID_BODY, {"Wagtail-Idempotent": "maybe"}, "bad_request"),
    ("POST", STATEMENTS_PATH, VALID_BODY, {"Wagtail-Session": "nonsense"}, "bad_session"),
    ("POST", STATEMENTS_PATH, VALID_BODY, {"Authorization": "Basic abc"}, "bad_request"),
    ("POST", STATEMENTS_PATH, VALID_BODY, {"Authorization": "Bearer unknown"}, "key_unknown"),
    ("POST", STATEMENTS_PATH, VALID_BODY, {"Authorization": ""}, "key_missing"),
    ("POST", STATEMENTS_PATH, OVERSIZED_BODY, {}, "too_large"),
    ("POST", "/v1/routes/nowhere/statements", VALID_BODY, {}, "unknown_route"),
    ("POST", "/v1/routes/%00/statements", VALID_BODY, {}, "unknown_route"),
    ("POST", "/v2/other", VALID_BODY, {}, "not_found"),
    ("POST", "/v1/routes/bookings/transactions/x.1/commit", b"", {}, "outcome_unknown"),
    ("POST", "/v1/routes/bookings/transactions/host-1.9/rollback", b"", {}, "unknown_transaction"),
)


def send(context, method, path, body, headers):
    """Send one raw request to the first daemon."""
    url = context.test_fleet.url(1) + path
    all_headers = {"Authorization": f"Bearer {context.test_fleet.key}"} | headers
    return urllib3.request(method, url, body=body, headers=all_headers, retries=False, timeout=10.0)


def assert_serving(context):
    """Check that the first daemon answers a valid request."""
    assert send(context, "POST", STATEMENTS_PATH, VALID_BODY, {}).status == 200


@then("each malformed request is refused with its error kind")
def step_malformed(context):
    for method, path, body, headers, kind in MALFORMED_REQUESTS:
        response = send(context, method, path, body, headers)
        error = json.loads(response.data)
        assert error["kind"] == kind, (path, body[:60], headers, error)
        assert error["detail"], error
    assert_serving(context)


@then("a flood of headers, an oversized body and slow senders affect no other caller")
def step_flood(context):
    host = context.test_fleet.fleet.hosts["host-1"]
    slow_senders = []
    for _ in range(20):
        sock = socket.create_connection((host.ip, host.caller_port))
        sock.sendall(b"POST /v1/routes/bookings/statements HTTP/1.1\r\nHost: x\r\nX-Slow: ")
        slow_senders.append(sock)
    assert_serving(context)
    flood = socket.create_connection((host.ip, host.caller_port))
    flood.sendall(b"POST / HTTP/1.1\r\n" + b"X-Flood: yes\r\n" * 20_000 + b"\r\n")
    assert flood.recv(200).startswith(
        b"HTTP/1.1 4"
    ), "a request with 20,000 headers was not refused"
    assert_serving(context)
    flood.close()
    for sock in slow_senders:
        sock.close()


@then("statements after commit and in unknown transactions are refused")
def step_after_commit(context):
    tx = context.test_fleet.session().begin()
    tx.run(INSERT, "committed", "Zofia")
    tx.commit()
    assert_refused(lambda: tx.run(INSERT, "late", "Zofia"), Kind.UNKNOWN_TRANSACTION)
    assert_refused(tx.rollback, Kind.UNKNOWN_TRANSACTION)
    assert context.test_fleet.ids_in_log().count("committed") == 1


@then("a failing statement has no effect and says why")
def step_failing(context):
    session = context.test_fleet.session()
    assert_refused(lambda: session.write("INSERT INTO nowhere VALUES (1)"), Kind.SQL_ERROR)
    assert_refused(lambda: session.read("INSERT INTO slots VALUES ('r', 'r')"), Kind.SQL_ERROR)
    assert session.read(COUNT, "r").result.rows == ((0,),)


def assert_refused(action, kind):
    """Check that an action raises an error of a kind."""
    try:
        action()
    except WagtailError as exc:
        assert exc.kind is kind, exc
    else:
        raise AssertionError(f"the action succeeded; expected {kind}")


@then("a transaction through another daemon commits both of its rows")
def step_transaction_through_two(context):
    session = context.test_fleet.session()
    with session.begin(host=context.test_fleet.url(1)) as tx:
        tx.run(INSERT, "left", "Zofia", host=context.test_fleet.url(2))
        tx.run(INSERT, "right", "Zofia", host=context.test_fleet.url(1))
    for name in ("left", "right"):
        assert session.read(COUNT, name).result.rows == ((1,),)


@then("a rolled-back transaction leaves no rows")
def step_rolled_back(context):
    session = context.test_fleet.session()
    tx = session.begin()
    tx.run(INSERT, "undone", "Zofia")
    tx.rollback()
    assert session.read(COUNT, "undone").result.rows == ((0,),)


@then("a transaction that is idle too long is rolled back")
def step_idle(context):
    context.test_fleet.set_level("route:bookings", transaction_idle="300ms")
    time.sleep(2.0)
    tx = context.test_fleet.session().begin()
    tx.run(INSERT, "idle", "Zofia")
    time.sleep(1.0)
    assert_refused(tx.commit, Kind.OUTCOME_UNKNOWN)
    assert "idle" not in context.test_fleet.ids_in_log()


@when("every member is isolated")
def step_isolate_members(context):
    names = [m.name for m in context.test_fleet.fleet.members[GROUP]]
    context.endpoints = names + [f"{n}/control" for n in names]
    context.test_fleet.fleet.set_proxy_fault(context.endpoints, "reset")


@then("a write is refused within its deadline and is not run")
def step_refused_before_deadline(context):
    time.sleep(1.0)
    began = time.monotonic()
    try:
        context.test_fleet.session().write(INSERT, "nowhere", "Zofia", deadline=2.0)
    except (TryAgain, ChangeRequest) as exc:
        context.refusal = exc
    duration = time.monotonic() - began
    assert duration < 2.0, duration
    assert context.refusal.kind in (Kind.NO_PRIMARY, Kind.NO_OWNER, Kind.DEADLINE), context.refusal


@when("the members are reachable again")
def step_reconnect_members(context):
    context.test_fleet.fleet.set_proxy_fault(context.endpoints, "pass")


@then("the next write is acknowledged before its deadline")
def step_next_write_in_time(context):
    context.test_fleet.session().write(INSERT, "again", "Zofia", deadline=20.0)
    assert context.test_fleet.ids_in_log().count("nowhere") == 0
