"""Steps for unexpected errors in the work on which a process lives."""

import asyncio
import os
import signal
import sys
import threading
from importlib.util import module_from_spec, spec_from_file_location
from pathlib import Path
from types import SimpleNamespace
from unittest.mock import patch

import msgspec
from behave import given, then, when

from features.captured_log import captured_log, failure_count
from features.fake_mesh import make_host
from features.virtual_time import run_virtual
from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.controllers.client_budget import ClientLimits
from wagtailloft.fleet.ports import StoreDown
from wagtailloft.fleet.records import (
    Changes,
    Entry,
    HostRecord,
    PrimaryAssignment,
    Topic,
    host_record_name,
)
from wagtailloft.host_process import HostProcess
from wagtailloft.host_settings import Bounds, HostSettings
from wagtailloft.models import HostState
from wagtailloft.rates.token_pool import Tolerance
from wagtailloft.revisions import make_revision
from wagtailloft.supervision import Supervisor

PLATFORM = Path(__file__).resolve().parents[2] / "platform"
sys.path.append(str(PLATFORM))

import front  # noqa: E402

LOOPBACK = "127.0.0.1"
GRACE_S = 4.0
LATER_HOST = "h07"
ERRORS = {e.__name__: e for e in (RecursionError, ValueError, asyncio.CancelledError)}


class FakeStore:
    """A store that lists the host itself, and another one from the third poll of the fleet on."""

    def __init__(self, own):
        """Start with the host itself, and without an error."""
        self._own, self._polls, self.error = own, 0, None

    async def changes(self, topic, after, wait):
        """Return the changes after a revision; raise the error once if a new host is listed."""
        if topic is Topic.FLEET:
            self._polls += 1
        listed = [self._own] + [make_host(7, 1)] * (self._polls > 2)
        revision = make_revision(1, len(listed))
        if after == revision or topic is not Topic.FLEET:
            await asyncio.sleep(wait)
            listed, revision = [], after or make_revision(1, 1)
        elif self.error and self._polls > 2:
            error, self.error = self.error, None
            raise error("in the store's client")
        own = [msgspec.structs.replace(h, incarnation=0) for h in listed]
        entries = [
            Entry(name=host_record_name(h.name), revision=revision, value=HostRecord(host=h))
            for h in own
        ]
        return Changes(
            topic=topic, revision=revision, is_snapshot=not after, entries=tuple(entries)
        )

    async def put(self, topic, name, value, revision):
        """Refuse a write."""
        raise StoreDown("a store for reading")


class FakeCallerServer:
    """A server without callers."""

    full = False

    def __init__(self):
        """Start with the steps of a stop not done."""
        self.steps, self.hangs = [], False

    async def start(self):
        """Start."""

    async def expire_transactions(self):
        """Run for ever."""
        while True:
            await asyncio.sleep(1.0)

    async def drain(self, until):
        """Record that callers were drained."""
        self.steps.append("drain")

    async def stop(self, until, answer_until):
        """Record that the server was stopped."""
        self.steps.append("stop")
        if self.hangs:
            await asyncio.Event().wait()


def make_process():
    """Return a host process with a fake store and without callers."""
    own = msgspec.structs.replace(
        make_host(0, 1), ip=LOOPBACK, caller_port=0, peer_port=0, operator_port=0
    )
    return HostProcess(
        cfg=HostSettings(
            own=own,
            store_address="",
            promotion_address="",
            bounds=Bounds(
                member_drain=7.0,
                key_withdrawal=5.0,
                config_apply=3.0,
                stop_grace=GRACE_S,
                tolerance=Tolerance(window=5.0, excess=0.1, slack=2.0),
            ),
        ),
        store=FakeStore(own),
        promotion_api=None,
        link_factory=None,
        caller_server_factory=lambda open_session, max_callers, closed_clients: FakeCallerServer(),
        reload=lambda: None,
        metrics_port=0,
    )


def inject(process, path, failures):
    """Let runs of a task of a process fail; failures has a coroutine function for each such run."""
    *parents, name = path.split(".")
    owner = process
    for parent in parents:
        owner = getattr(owner, parent)
    original = getattr(owner, name)
    runs = []

    async def run(*args):
        runs.append(now())
        failure = next(failures, None)
        await (failure() if failure else original(*args))

    setattr(owner, name, run)
    return runs


def run_process(context, seconds, stop=False):
    """Run a new process of the scenario for so long; stop it then, or see if it still runs."""

    async def main():
        process = make_process()
        context.prepare(process)
        began = now()
        running = asyncio.ensure_future(process.run())
        await asyncio.wait([running], timeout=seconds)
        context.ended_after = now() - began if running.done() else None
        if not running.done():
            os.kill(os.getpid(), signal.SIGTERM)
            await asyncio.wait([running], timeout=GRACE_S + 10.0)
        assert running.done(), "the process did not stop"
        context.exit_code = running.result()
        context.process = process
        context.metrics = process.metrics.text().decode()

    with captured_log() as lines:
        run_virtual(main())
    context.lines = lines


def failing(error, after=0.0):
    """Return a coroutine function that raises an error after some seconds."""

    async def fail():
        await asyncio.sleep(after)
        raise error("injected")

    return fail


def failed_tasks(context):
    """Return the fields of the log lines about failed tasks."""
    return [fields for name, fields in context.lines if name == "task_failed"]


@given('a host process whose "{path}" raises {error} once')
def step_raises_once(context, path, error):
    def prepare(process):
        context.runs = inject(process, path, iter([failing(ERRORS[error])]))

    context.prepare = prepare


@given('a host process whose "{path}" returns once')
def step_returns_once(context, path):
    async def return_at_once():
        pass

    def prepare(process):
        context.runs = inject(process, path, iter([return_at_once]))

    context.prepare = prepare


@given('a host process whose "{path}" raises {error} always')
def step_raises_always(context, path, error):
    context.prepare = lambda process: inject(process, path, iter(lambda: failing(ERRORS[error]), 0))


@given('a host process whose "{path}" raises {error} always, after it has worked for {after:g} s')
def step_raises_later(context, path, error, after):
    def failures():
        yield failing(ERRORS[error], after)
        while True:
            yield failing(ERRORS[error])

    context.prepare = lambda process: inject(process, path, failures())


@given('a host process whose "{path}" raises {error} after each {after:g} s')
def step_raises_at_intervals(context, path, error, after):
    context.prepare = lambda process: inject(
        process, path, iter(lambda: failing(ERRORS[error], after), 0)
    )


@given("a host process whose store raises {error} once, when it has a new list of hosts")
def step_store_raises(context, error):
    def prepare(process):
        process.cache._store.error = ERRORS[error]

    context.prepare = prepare


@given("a host process whose callers' server does not end")
def step_stop_hangs(context):
    def prepare(process):
        process.caller_server.hangs = True

    context.prepare = prepare


@given("a host process in which a task that nobody waits for raises KeyError")
def step_unawaited_task(context):
    async def fail_unawaited():
        raise KeyError("of the task")

    def fail_in_callback():
        raise KeyError("of the callback")

    def prepare(process):
        loop = asyncio.get_running_loop()
        loop.call_later(1.0, lambda: loop.create_task(fail_unawaited()) and None)
        loop.call_later(1.0, fail_in_callback)

    context.prepare = prepare


@when("the host process has run for {seconds:g} s")
def step_run(context, seconds):
    run_process(context, seconds)


@then('"{path}" runs again, and the error is in the log and on a metric')
def step_runs_again(context, path):
    assert len(context.runs) > 1, "the task was not started again"
    failed = failed_tasks(context)
    assert len(failed) == 1, failed
    has_returned = "TaskReturned" in failed[0]["why"]  # so no line raised it
    assert failed[0]["why"] and (failed[0]["at"] or has_returned), failed
    assert failure_count(context.metrics, failed[0]["task"]) == 1.0


@then("the host process stops with exit code {code:d}")
def step_exit_code(context, code):
    assert context.ended_after is None and context.exit_code == code, context.exit_code


@then("the host process still runs")
def step_still_runs(context):
    assert context.ended_after is None, f"it ended after {context.ended_after:.1f} s"


@then("the host process has drained its callers and ended with exit code {code:d}")
def step_ended(context, code):
    assert context.ended_after is not None, "it still runs"
    assert context.exit_code == code, context.exit_code
    assert context.process.caller_server.steps == ["drain", "stop"]
    assert [fields["task"] for name, fields in context.lines if name == "process_failed"]


@then("the host process knows the hosts that the store lists later")
def step_knows_later_host(context):
    assert context.process.hosts.get(LATER_HOST), context.process.hosts.all()


@then("the program of the host process exits with the exit code of the host process")
def step_program_exit_code(context):
    class EndingProcess:
        def __init__(self, **kwargs):
            pass

        async def run(self):
            return 70

    spec = spec_from_file_location("host_program", PLATFORM / "run.py")  # a test has that name
    program = module_from_spec(spec)
    spec.loader.exec_module(program)
    own = make_host(0, 1)
    address = "127.0.0.1:1"
    cfg = SimpleNamespace(
        own=own, store_address=address, promotion_address=address, clients=ClientLimits()
    )
    with (
        patch.object(program, "HostProcess", EndingProcess),
        patch.object(program.settings_file, "load", lambda path: cfg),
        patch.object(logs, "start"),
    ):
        assert program.main() == 70


@then("the errors of the task and of a callback are in the log and on a metric")
def step_unawaited_logged(context):
    reasons = {fields["why"]: fields["task"] for fields in failed_tasks(context)}
    assert reasons.keys() == {"KeyError: 'of the task'", "KeyError: 'of the callback'"}, reasons
    for task in reasons.values():
        assert failure_count(context.metrics, task) == 1.0, task


class FakeSession:
    """A session whose idle transaction expires, or fails to."""

    def __init__(self, error=None):
        """Raise an error at each attempt to expire the transaction, if there is one."""
        self.error, self.expired = error, 0

    async def expire_idle_transaction(self):
        """Count an attempt."""
        self.expired += 1
        if self.error:
            raise self.error


@given("a server of callers with two sessions, the first of which fails to expire")
def step_failing_session(context):
    server = front.LineProtocolServer(ip=LOOPBACK, port=0, open_session=None, max_connections=9)
    context.connections = []
    for name, error in (("s1", ValueError("odd")), ("s2", None)):
        connection = front.CallerConnection(server=server, name=name)
        connection.session = FakeSession(error)
        connection._transport = SimpleNamespace(aborted=False)
        connection._transport.abort = lambda t=connection._transport: setattr(t, "aborted", True)
        context.connections.append(connection)
    server.connections = context.connections  # in this order
    context.caller_server = server


@then("the transactions of the second one expire, and the connection of the first is closed")
def step_expired(context):
    server = context.caller_server

    async def main():
        await server.start()
        expiring = asyncio.ensure_future(
            server.expire_transactions()
            if hasattr(server, "expire_transactions")
            else asyncio.sleep(2.0)
        )
        await asyncio.sleep(2.0)
        expiring.cancel()
        server._listener.close()

    run_virtual(main())
    first, second = context.connections
    assert second.session.expired > 1, second.session.expired
    assert first._transport.aborted and not second._transport.aborted


@given("a host process whose failover of a group raises KeyError once")
def step_failover_raises(context):
    context.runs = []

    async def fail_once(group, replaced, reason, planned):
        context.runs.append(now())
        if len(context.runs) == 1:
            raise KeyError("of the failover")
        await asyncio.sleep(60.0)

    def prepare(process):
        own = process.hosts.own
        process.coordinator._run_failover = fail_once
        process.coordinator._is_coordinator = lambda: True
        process.cache.accept_assignment(
            PrimaryAssignment(
                group="g", epoch=1, settled=False, primary="", claimant=own.process_name
            )
        )
        process.directory._targets = {"g": {"m": None}}

    context.prepare = prepare


@then("the failover is started again, and the error is in the log and on a metric")
def step_failover_again(context):
    assert len(context.runs) == 2, context.runs
    failed = failed_tasks(context)
    assert [f["why"] for f in failed] == ["KeyError: 'of the failover'"], failed
    assert failure_count(context.metrics, failed[0]["task"]) == 1.0


@given("a host process whose hellos to other hosts raise KeyError")
def step_hello_raises(context):
    context.runs = []

    async def fail(address, name="", is_joining=False):
        context.runs.append(name)
        raise KeyError("of the hello")

    def prepare(process):
        process.hosts._send_hello = fail
        process.hosts.add(msgspec.structs.replace(make_host(3, 1), state=HostState.SUSPECT))

    context.prepare = prepare


@then("each failed hello is in the log and on a metric, and hellos go on")
def step_hellos_go_on(context):
    assert len(context.runs) > 5, context.runs
    failed = [f for f in failed_tasks(context) if "of the hello" in f["why"]]
    assert len(failed) == len(context.runs), (len(failed), len(context.runs))
    assert failure_count(context.metrics, failed[0]["task"]) == len(failed)


@given("a supervisor whose metric raises an unexpected error")
def step_failing_metric(context):
    def fail(name):
        raise MemoryError("no memory for a metric")

    context.ends = []
    context.supervisor = Supervisor(
        count_failure=fail, end_process=lambda: context.ends.append(threading.current_thread().name)
    )


@when("a task and a thread fail")
def step_both_fail(context):
    def fail():
        raise LookupError("unexpected")

    async def main():
        context.supervisor.start_task("t", failing(LookupError))
        await asyncio.sleep(1.0)

    with patch.object(threading, "excepthook", lambda args: None):
        run_virtual(main())
        context.supervisor.start_thread("t", fail, is_stopped=lambda: False).join(2.0)


@then("the process is ended for each")
def step_ended_for_each(context):
    assert context.ends == [threading.main_thread().name, "t"], context.ends
