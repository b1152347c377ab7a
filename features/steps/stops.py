"""Steps for planned stops: what open transactions, running statements and new callers get."""

import asyncio
import json
import signal
import sys
import threading
import time
from pathlib import Path
from types import SimpleNamespace

import urllib3
from behave import given, then, when
from msgspec.structs import replace

from features.steps.line_ends import RecordingTransport, messages_in
from features.steps.sessions import BEGIN, READ, FakeDispatcher, FakeTokens, make_session
from features.steps.statements import AnsweringLink, make_state, make_transactions
from features.steps.supervised_daemon import DRAIN_S, make_daemon
from features.virtual_time import run_virtual
from standins import ledger_group
from standins.fleet import wait_until
from standins.site import BOUNDS
from wagtailloft.clock import now
from wagtailloft.errors import Kind
from wagtailloft.fleet.messages import StatementRequest
from wagtailloft.fleet.records import Target
from wagtailloft.groups.local_executor import LocalExecutor
from wagtailloft.groups.ports import BoundStatement
from wagtailloft.models import Mode
from wagtailloft.sessions.statements import (
    Statement,
    StatementResult,
    TransactionState,
    Verb,
    not_executed,
)

sys.path.append(str(Path(__file__).resolve().parents[2] / "platform"))

import front  # noqa: E402

GRACE_S = BOUNDS["grace_s"]
CALLERS = 8
BEGIN_S = 1.8  # after SIGTERM; the transactions are open at half of the grace period
RHYTHM_S = 0.3  # of the statements of a transaction
STATEMENTS = 9  # between BEGIN and COMMIT
WORK_S = 0.07  # of a statement at a member
COMMIT = Statement(verb=Verb.COMMIT, text="COMMIT")


# Real processes.


class TransactionCaller(threading.Thread):
    """Run one transaction in a steady rhythm; answers has times, texts and lines."""

    def __init__(self, site, host, number, begin_at):
        """Take the time of time.monotonic() at which to begin."""
        super().__init__(daemon=True)
        self.answers = []
        self._site, self._host, self._number, self._begin_at = site, host, number, begin_at

    def run(self):
        """Send BEGIN, writes and COMMIT until the transaction or the connection has ended."""
        time.sleep(max(0.0, self._begin_at - time.monotonic()))
        client = self._site.open_session(self._host, "accounts")
        writes = [f"WRITE item{self._number}.{n} data" for n in range(STATEMENTS)]
        for number, text in enumerate(["BEGIN", *writes, "COMMIT"]):
            time.sleep(max(0.0, self._begin_at + number * RHYTHM_S - time.monotonic()))
            sent_at = time.monotonic()
            try:
                lines = client.query(text)
            except OSError:
                return  # the connection had ended before the statement was sent
            self.answers.append((sent_at, text, lines))
            if not lines or not lines[-1].startswith("READY T"):
                return


@given("statements take {milliseconds:d} ms at members")
def step_slow_statements(context, milliseconds):
    usual = ledger_group.STATEMENT_TIME_S
    ledger_group.STATEMENT_TIME_S = milliseconds / 1000
    context.stack.callback(lambda: setattr(ledger_group, "STATEMENT_TIME_S", usual))


@when(
    "a host gets SIGTERM, and callers begin transactions that are still busy at half of the grace"
    " period"
)
def step_stop_beside_transactions(context):
    site = context.site
    context.stopped = site.hosts["edge-0"]
    context.stopped_at = time.monotonic()
    context.stopped.handle.send_signal(signal.SIGTERM)
    context.callers = []
    for number in range(CALLERS):
        phase = RHYTHM_S * number / CALLERS
        caller = TransactionCaller(site, "edge-0", number, context.stopped_at + BEGIN_S + phase)
        caller.start()
        context.callers.append(caller)
    for caller in context.callers:
        caller.join()


@then("every statement that a caller sent before its connection ended was answered")
def step_all_answered(context):
    assert sum(len(c.answers) for c in context.callers) > 3 * CALLERS
    for caller in context.callers:
        for sent_at, text, lines in caller.answers:
            sent_s = round(sent_at - context.stopped_at, 3)
            assert lines and lines[-1].startswith("READY"), (sent_s, text, lines)


@then(
    "no statement ran in these transactions later than a statement after half of the grace period"
)
def step_transactions_ended(context):
    last = context.stopped_at + GRACE_S / 2 + 0.5
    late = [
        (round(sent_at - context.stopped_at, 3), text, lines)
        for caller in context.callers
        for sent_at, text, lines in caller.answers
        if sent_at > last and lines[0].startswith("DONE 7")
    ]
    assert not late, late


@then("the process exited within the grace period")
def step_exited(context):
    remaining = context.stopped_at + GRACE_S - time.monotonic()
    assert context.stopped.handle.wait(max(0.01, remaining)) == 0


@when("its host gets SIGTERM twice, 0.4 s apart, while a caller's transaction is open")
def step_stop_twice(context):
    context.stopped = context.site.hosts["edge-0"]
    context.caller = context.site.open_session("edge-0", "accounts")
    context.caller.query_ok("BEGIN")
    context.caller.query_ok("WRITE a b")
    context.stopped_at = time.monotonic()
    for _ in range(2):
        context.stopped.handle.send_signal(signal.SIGTERM)
        time.sleep(0.4)


@then("the transaction commits, and the process exited within the grace period")
def step_commits(context):
    assert context.caller.query_ok("COMMIT")[0].startswith("DONE 7")
    context.caller.close()
    step_exited(context)


# Sessions.


class SlowDispatcher(FakeDispatcher):
    """A dispatcher whose statements in transactions take 1 s."""

    async def run(self, transaction, context, bound):
        """Run a statement after a delay, except for rollbacks."""
        if bound.statement.verb is not Verb.ROLLBACK:
            await asyncio.sleep(1.0)
        return await super().run(transaction, context, bound)

    async def run_single(self, context, bound):
        """Run a statement outside a transaction."""
        self.verbs.append(bound.statement.verb)
        return StatementResult()


def make_slow_session(context):
    """Create a session whose transactions open at once and whose statements take 1 s."""
    make_session(context, FakeTokens(), SlowDispatcher())
    return context.session


@given("a session in a transaction whose statement runs")
def step_busy_session(context):
    async def play():
        session = make_slow_session(context)
        await session.handle("r1", BEGIN)
        running = asyncio.create_task(session.handle("r2", READ))
        await asyncio.sleep(0.5)
        await session.stop()
        context.verbs_at_stop = list(context.dispatcher.verbs)
        context.result = await running
        await asyncio.sleep(0.1)
        context.verbs = list(context.dispatcher.verbs)
        context.next_result = await session.handle("r3", READ)
        context.commit_result = await session.handle("r4", COMMIT)

    context.play = play


@given("a session without a transaction")
def step_idle_session(context):
    async def play():
        session = make_slow_session(context)
        await session.stop()
        context.results = [await session.handle("r1", s) for s in (BEGIN, READ)]
        context.state = session.state
        session = make_slow_session(context)
        # The team is at its rate, so its BEGIN waits for a token.
        context.tokens.denied.add("a")
        context.tokens.delay = 0.5
        waiting = asyncio.create_task(session.handle("r2", BEGIN))
        await asyncio.sleep(0.1)
        await session.stop()
        context.results.append(await waiting)

    context.play = play


@given("a session whose transaction is being opened in the background")
def step_opening_session(context):
    async def play():
        session = make_slow_session(context)
        context.dispatcher.delay = 1.0
        await session.handle("r1", BEGIN)
        await asyncio.sleep(0.1)
        await session.stop()
        await asyncio.sleep(2.0)
        context.verbs = list(context.dispatcher.verbs)

    context.play = play


@when("the session is stopped")
def step_play_session(context):
    run_virtual(context.play())


@then("the statement is answered with its result, and then the transaction is rolled back")
def step_answered_and_rolled_back(context):
    assert context.result.ok and context.result.state is TransactionState.OPEN, context.result
    assert Verb.ROLLBACK not in context.verbs_at_stop, context.verbs_at_stop
    assert context.verbs == [Verb.BEGIN, Verb.READ, Verb.ROLLBACK], context.verbs


@then("its next statement is not sent, and its commit is answered as lost")
def step_next_not_sent(context):
    assert not context.next_result.ok and not context.next_result.sent, context.next_result
    assert context.commit_result.kind is Kind.TRANSACTION_LOST, context.commit_result
    assert context.dispatcher.verbs == context.verbs, context.dispatcher.verbs


@then("a transaction or statement that begins is refused as stopping, at once")
def step_refused_as_stopping(context):
    assert [r.kind for r in context.results] == [Kind.STOPPING] * 3, context.results
    assert not any(r.sent for r in context.results), context.results
    assert context.state is TransactionState.IDLE, context.state


@then("the transaction is rolled back once it is open")
def step_opened_and_rolled_back(context):
    assert context.verbs == [Verb.BEGIN, Verb.ROLLBACK], context.verbs


# The server of callers.


class EndlessSession:
    """A session whose statements do not end; stop is ignored."""

    state = TransactionState.IDLE

    async def handle(self, request_id, statement):
        """Run for ever."""
        await asyncio.Event().wait()

    async def stop(self):
        """Do nothing."""

    async def close(self):
        """Do nothing."""

    def check(self):
        """Accept any caller."""
        return StatementResult(sent=False)

    def abandoned(self):
        """Return the result of a statement that is given up."""
        return StatementResult(kind=Kind.OUTCOME_UNKNOWN)


def connect_caller(server, session=None):
    """Return a connection of a caller to a server, over a transport that records."""
    connection = front.CallerConnection(server=server, name="s")
    connection._transport = RecordingTransport()
    connection.session = session
    server.connections.add(connection)
    return connection


def make_server():
    """Return a server of callers whose sessions do not end their statements."""
    return front.LineProtocolServer(
        ip="127.0.0.1", port=0, open_session=lambda *_: EndlessSession(), max_connections=9
    )


@given("a server of callers with a statement that does not end and others behind it")
def step_endless_statement(context):
    async def play():
        server = make_server()
        connection = connect_caller(server, EndlessSession())
        context.transport = connection._transport
        connection.data_received(b"QUERY q1 READ a\r\nQUERY q2 READ b\r\nQUERY q3 WRITE c d\r\n")
        await asyncio.sleep(0.1)
        began = now()
        await server.stop(began + 2.0, began + 3.0)
        context.took = now() - began
        context.data = context.transport.data
        connection.data_received(b"QUERY q4 READ a\r\n")
        await asyncio.sleep(0.5)

    context.play = play


@when("the server is stopped")
def step_play_server(context):
    run_virtual(context.play())


@then("the running statement is answered as of unknown outcome, and the others as not executed")
def step_given_up(context):
    lines = messages_in(context.data)
    assert [line.split()[1] for line in lines[::2]] == ["INDOUBT", "BUSY", "BUSY"], lines
    assert all(line.startswith("READY I") for line in lines[1::2]), lines
    assert context.took <= 3.1, context.took


@then("nothing is sent to the caller afterwards")
def step_nothing_afterwards(context):
    assert context.transport.data == context.data, context.transport.data


@given("a server of callers that is draining")
def step_draining_server(context):
    async def play():
        server = make_server()
        server.closing = True
        context.connections = []
        for data in (b"STARTUP d k\r\n", b"STARTUP d k\r\nQUERY q1 WRITE a b\r\n"):
            connection = connect_caller(server)
            connection.data_received(data)
            context.connections.append(connection)
        await asyncio.sleep(0.1)

    context.play = play


@when("a caller opens a session, and when another does with a statement in the same packet")
def step_play_connects(context):
    run_virtual(context.play())


@then("both are refused as stopping, and their connections are closed")
def step_callers_refused(context):
    for connection in context.connections:
        (line,) = messages_in(connection._transport.data)
        assert line.startswith("ERR BUSY ") and "stopping" in line, line
        assert connection.closed


# Links that other hosts' callers use.


class CommitLink:
    """A link whose commits take 0.5 s."""

    def __init__(self, spec):
        """Create an open link."""
        self.spec, self.closed = spec, False

    async def run(self, bound, timeout):
        """Answer after the time that the statement takes, or as lost if the link was closed."""
        if bound.statement.verb is not Verb.COMMIT:
            return StatementResult(state=TransactionState.OPEN)
        await asyncio.sleep(0.5)
        assert not self.closed, "the link was closed under a commit"
        return StatementResult(signature="7.a")

    def close(self):
        """Close the link."""
        self.closed = True


@given("an executor with an idle transaction and one whose commit runs")
def step_executor(context):
    target = Target(name="m", group="g", address="1.1.1.1:1", slots=2)
    directory = SimpleNamespace(
        target=lambda group, name: target, rule=lambda group: SimpleNamespace(max_links=3)
    )
    directory.samples = lambda group: SimpleNamespace()
    links = []

    async def open_link(spec):
        links.append(CommitLink(spec))
        return links[-1]

    def make_request(statement, **fields):
        bound = BoundStatement(request_id="r", statement=statement)
        return StatementRequest(group="g", target="m", team="t", bound=bound, budget=5.0, **fields)

    async def play():
        executor = LocalExecutor(directory=directory, link_factory=SimpleNamespace(open=open_link))
        idle, busy = [
            (await executor.run(make_request(BEGIN, opens_transaction=True))).transaction_id
            for _ in range(2)
        ]
        committing = asyncio.create_task(executor.run(make_request(COMMIT, transaction_id=busy)))
        # Both links that the pool may open are in use, so these wait.
        waiting = [
            asyncio.create_task(executor.run(make_request(READ, opens_transaction=opens)))
            for opens in (False, True)
        ]
        await asyncio.sleep(0.1)
        began = now()
        stopping = asyncio.create_task(executor.stop(began + 2.0))
        await asyncio.sleep(0.02)
        context.closed_at_once = [link.closed for link in links]
        context.waiting_results = [(await w).outcome for w in waiting]
        context.waited = now() - began
        context.idle_result = (await executor.run(make_request(READ, transaction_id=idle))).outcome
        context.new_result = (await executor.run(make_request(BEGIN))).outcome
        context.commit_result = (await committing).outcome
        await stopping
        context.took, context.active = now() - began, executor.active

    context.play = play


@when("the executor is stopped")
def step_play_executor(context):
    run_virtual(context.play())


@then("the idle transaction is rolled back at once, and the commit is answered")
def step_idle_rolled_back(context):
    assert context.closed_at_once == [True, False], context.closed_at_once
    assert context.idle_result.kind is Kind.TRANSACTION_LOST, context.idle_result
    assert context.commit_result.ok and context.commit_result.signature == "7.a"
    assert context.took < 0.6 and context.active == 0, (context.took, context.active)


@then("it begins nothing new")
def step_begins_nothing(context):
    expected = not_executed(Kind.STOPPING, "the host is stopping")
    assert [*context.waiting_results, context.new_result] == [expected] * 3, context.waiting_results
    assert context.waited < 0.05, context.waited


# The own interface.


class SlowMemberLink(AnsweringLink):
    """A link to a member whose statements wait for an event."""

    def __init__(self):
        """Let statements pass until go is cleared."""
        super().__init__()
        self.go = threading.Event()
        self.go.set()
        self.actions = []

    def call(self, action, request, timeout):
        """Answer once the event is set."""
        self.actions.append(action)
        self.go.wait(5.0)
        return super().call(action, request, timeout)


def in_transaction(transaction):
    """Return the state of a call in a transaction."""
    state = make_state(Mode.WRITE)
    state.call = replace(state.call, transaction=transaction)
    return state


@given("an idle and a busy open transaction of a daemon's group")
def step_daemon_transactions(context):
    context.links = []

    def connect(member):
        context.links.append(SlowMemberLink())
        return context.links[-1]

    context.transactions = make_transactions(connect)
    context.idle, context.busy = (
        context.transactions.begin(make_state(Mode.WRITE)).ok_value.transaction for _ in range(2)
    )
    context.links[1].go.clear()
    context.results = []
    run = context.transactions.run
    context.running = threading.Thread(
        target=lambda: context.results.append(run(in_transaction(context.busy)))
    )
    context.running.start()
    wait_until(lambda: "run" in context.links[1].actions, 2.0, "the statement does not run")


@when("the daemon's open transactions end")
def step_end_daemon_transactions(context):
    context.transactions.stop()
    context.count_at_stop = context.transactions.count
    context.links[1].go.set()
    context.running.join()


@then("the idle one is rolled back at once, and the busy one once its statement has ended")
def step_daemon_transactions_ended(context):
    assert context.count_at_stop == 1 and context.transactions.count == 0
    assert context.results[0].is_ok(), context.results
    for transaction in (context.idle, context.busy):
        assert context.transactions.run(in_transaction(transaction)).is_err()


@then("a transaction that begins afterwards, or was beginning, is refused as stopping")
def step_daemon_begin_refused(context):
    refused = context.transactions.begin(make_state(Mode.WRITE))
    assert refused.err_value.kind is Kind.STOPPING, refused
    links = []

    def connect(member):
        links.append(SlowMemberLink())
        links[-1].go.clear()
        return links[-1]

    transactions = make_transactions(connect)
    results = []
    beginning = threading.Thread(
        target=lambda: results.append(transactions.begin(make_state(Mode.WRITE)))
    )
    beginning.start()
    wait_until(lambda: links and links[0].actions, 2.0, "the transaction does not begin")
    transactions.stop()
    links[0].go.set()
    beginning.join()
    assert results[0].err_value.kind is Kind.STOPPING, results
    assert transactions.count == 0


@given("a daemon with an open transaction and a request that does not end")
def step_daemon_with_open_work(context):
    context.daemon = make_daemon()
    context.stop_calls = []
    services = context.daemon.group_services
    services.active_count = lambda: 1
    services.stop_transactions = lambda: context.stop_calls.append(time.monotonic())
    context.release = threading.Event()
    context.stack.callback(context.release.set)
    context.daemon.caller_handler._entry.serve = lambda req: context.release.wait(10.0)
    context.daemon.start()
    host = context.daemon.cfg.host
    context.responses = []

    def request():
        url = f"http://{host.ip}:{host.caller_port}/v1/routes/r/statements"
        response = urllib3.request(
            "POST",
            url,
            body=b'{"sql": "SELECT 1"}',
            headers={"Wagtail-Request-Id": "r1"},
            retries=False,
            timeout=5.0,
        )
        context.responses.append(response)

    context.caller = threading.Thread(target=request)
    context.caller.start()
    wait_until(lambda: context.daemon.caller_handler.active, 2.0, "the request does not run")


@when("it is stopped")
def step_stop_daemon(context):
    context.stopped_at = time.monotonic()
    context.daemon.request_stop()
    context.daemon.wait()
    context.caller.join(5.0)


@then("the transaction is ended at half of its time, and the request is answered as unknown")
def step_daemon_answered(context):
    ended_s = context.stop_calls[0] - context.stopped_at
    assert DRAIN_S / 2 <= ended_s < DRAIN_S, ended_s
    (response,) = context.responses
    body = json.loads(response.data)
    assert response.status == 504 and body["kind"] == "outcome_unknown", response.data
    assert body["request_id"] == "r1", body
