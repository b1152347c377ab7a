"""Steps for unexpected errors in the threads and the periodic work of a daemon."""

import socket
import threading
import time
from unittest.mock import patch

import urllib3
from behave import given, then, when

from features.captured_log import captured_log, failure_count, failures_of
from standins.fleet import STANDIN_IP, free_port
from wagtailloft import daemon, settings, supervision
from wagtailloft.adapters import server

DRAIN_S = 0.5
ODD_BYTES = b"odd"


def make_daemon():
    """Return a daemon whose platform does not answer."""
    return daemon.Daemon(
        cfg=settings.Settings(
            host=settings.HostSection(
                name="h0",
                ip=STANDIN_IP,
                zone="z",
                region="r",
                caller_port=free_port(),
                peer_port=free_port(),
                operator_port=free_port(),
            ),
            platform=settings.PlatformSection(address=f"{STANDIN_IP}:{free_port()}"),
            session=settings.SessionSection(secret="s" * 32),
            process=settings.ProcessSection(drain=DRAIN_S),
        )
    )


def start_scenario(context):
    """Capture the log, and make a daemon that is stopped after the scenario."""
    context.lines = context.stack.enter_context(captured_log())
    context.daemon = make_daemon()


def inject(context, path, limit):
    """Let the first calls of a method of the daemon raise an error; count the calls."""
    *parents, name = path.split(".")
    owner = context.daemon
    for parent in parents:
        owner = getattr(owner, parent)
    original = getattr(owner, name)
    context.calls = 0
    lock = threading.Lock()

    def call(*args, **kwargs):
        with lock:
            context.calls += 1
            number = context.calls
        if number <= limit:
            raise LookupError(f"at call {number} of {path}")
        return original(*args, **kwargs)

    setattr(owner, name, call)


@given('a daemon whose "{path}" raises an unexpected error at each call')
def step_raises_at_each_call(context, path):
    start_scenario(context)
    inject(context, path, 10**9)


@given('a daemon whose "{path}" raises an unexpected error once')
def step_raises_once(context, path):
    start_scenario(context)
    inject(context, path, 1)


@given("a daemon that submits a function that raises an unexpected error")
def step_submits(context):
    start_scenario(context)

    def fail_in_pool():
        raise LookupError("in a thread of the pool")

    context.daemon.executor.submit(fail_in_pool)


@given("a daemon whose server of operators raises an unexpected error for one client")
def step_odd_client(context):
    start_scenario(context)
    feed = server._Connection.feed

    def feed_or_fail(connection, data):
        if data == ODD_BYTES:
            raise LookupError("odd bytes")
        feed(connection, data)

    context.stack.enter_context(patch.object(server._Connection, "feed", feed_or_fail))


@given("a limit of {count:d} failures in a row")
def step_limit(context, count):
    context.stack.enter_context(patch.object(supervision, "MAX_FAILURES_FROM_START", count))


@when("the daemon has run for {seconds:g} s")
def step_run(context, seconds):
    exit_codes = []
    context.daemon.start()
    waiting = threading.Thread(target=lambda: exit_codes.append(context.daemon.wait()))
    waiting.start()
    context.stack.callback(waiting.join)
    context.stack.callback(context.daemon.request_stop)
    time.sleep(seconds)
    context.exit_codes = list(exit_codes)


@then(
    'the daemon has called "{path}" again, and each error is in the log and on a metric as "{name}"'
)
def step_called_again(context, path, name):
    assert context.calls > 1, f"{path} was called {context.calls} times"
    failures = failures_of(list(context.lines), name)
    assert failures and f"of {path}" in failures[0]["why"], failures
    assert failure_count(context.daemon.metrics.text().decode(), name) >= len(failures)


@then("the error of the function is in the log and on a metric")
def step_function_logged(context):
    failures = [f for name, f in context.lines if name == "task_failed"]
    found = [f["task"] for f in failures if "in a thread of the pool" in f["why"]]
    assert len(found) == 1 and found[0].endswith("fail_in_pool"), failures
    assert failure_count(context.daemon.metrics.text().decode(), found[0]) == 1.0


@then("the daemon has ended as planned, with exit code {code:d}")
def step_ended(context, code):
    assert context.exit_codes == [code], context.exit_codes
    assert {"stopping", "stopped", "process_failed"} <= {name for name, _ in context.lines}


@then("that client's connection is closed, and other clients are served")
def step_others_served(context):
    port = context.daemon.cfg.host.operator_port
    with socket.create_connection((STANDIN_IP, port), 2.0) as odd:
        odd.sendall(ODD_BYTES)
        assert odd.recv(1) == b""
    response = urllib3.request("GET", f"http://{STANDIN_IP}:{port}/metrics", timeout=2.0)
    assert response.status == 200, response.status
    assert failure_count(response.data.decode(), "serve_operators") == 1.0
    assert failures_of(list(context.lines), "serve_operators")
