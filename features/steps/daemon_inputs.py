"""Steps for odd inputs and lost answers at parts of our own interface, in this process."""

import json
import logging
import random
import socket
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace
from unittest.mock import patch
from urllib.parse import parse_qsl, urlsplit

import msgspec
import urllib3
from behave import given, then, when
from result import Err, Ok

from standins.fleet import STANDIN_IP, free_port, wait_until
from standins.platform import FakePlatform
from wagtailloft import Session
from wagtailloft.adapters.callers import CallerHandler, Success
from wagtailloft.adapters.object_api import HttpObjectApi
from wagtailloft.adapters.peers import GossipDigest, PeerServer, ThriftPeers
from wagtailloft.adapters.server import HttpRequest
from wagtailloft.controllers.token_bucket import GrantRequest
from wagtailloft.controllers.views import GroupView, MemberView
from wagtailloft.decisions import Decisions
from wagtailloft.election import Election
from wagtailloft.errors import Execution, Kind, NoResponse, Refusal
from wagtailloft.gate import Gate, SlotRequest
from wagtailloft.gen.peer import ttypes
from wagtailloft.models import (
    Call,
    Change,
    Group,
    Host,
    Key,
    Member,
    Mode,
    Position,
    Progress,
    PublishedPrimary,
    Role,
    Rows,
    SqlStatement,
    Team,
)
from wagtailloft.session_tokens import MAX_TOKENS
from wagtailloft.supervision import Supervisor

LOOPBACK = "127.0.0.1"


# The platform's object API.


class SilentTransport:
    """The HTTP transport of a client of the object API whose writes of keys get no response."""

    def __init__(self, *, follow_up=None):
        """Do each write at once if another value follows it, else do it too late to be seen."""
        self.platform, self.follow_up = FakePlatform(host_lag_s=0.0), follow_up
        self.refuses, self.before_silence = False, lambda call: None

    def request(self, method, url, body=None, timeout=None):
        """Return the response to a read, and none to a write of a key."""
        if self.refuses:
            raise urllib3.exceptions.NewConnectionError(None, "refused")
        parts = urlsplit(url)
        query = dict(parse_qsl(parts.query))
        call = (None, method, parts.path, query, json.loads(body) if body else {})
        if method == "PUT" and "/key/" in parts.path:
            if self.follow_up is not None:
                _, written = self.platform.handle(*call)
                query = {"version": written["revision"]}
                self.platform.handle(None, method, parts.path, query, {"value": self.follow_up})
            self.before_silence(call)
            raise urllib3.exceptions.ReadTimeoutError(None, url, "no response")
        status, value = self.platform.handle(*call)
        headers = {k: str(v) for k, v in self.platform.reply_headers().items()}
        return SimpleNamespace(status=status, data=json.dumps(value).encode(), headers=headers)


@given("a platform that does a write later than its response is waited for")
def step_late_platform(context):
    context.transport = SilentTransport()


@given("a platform that does a write without a response, and then another one")
def step_overwriting_platform(context):
    context.transport = SilentTransport(follow_up={"digest": "k", "team": "other"})


@given("a platform that comes back from an older copy before it does a write without a response")
def step_restored_platform(context):
    context.transport = transport = SilentTransport()
    transport.platform._save()

    def restore_and_write(call):
        transport.platform._restore()
        assert transport.platform.handle(*call)[0] == 200

    transport.before_silence = restore_and_write


@when("a daemon changes an object there")
def step_change_object(context):
    api = HttpObjectApi(address="platform", source=LOOPBACK)
    api._http = context.transport
    context.lost = api.put("key", "k", Key(digest="k", team="t"), 0)
    context.transport.refuses = True
    context.unsent = api.put("key", "k", Key(digest="k", team="t"), 0)


@then("the outcome is reported as unknown, and one that was never sent as not done")
def step_outcome_unknown(context):
    assert context.lost.err_value.spec.ran is Execution.UNKNOWN, context.lost
    assert context.unsent.err_value.spec.ran is Execution.NO, context.unsent


@then("a request to commit below /statements is for an unknown path, below /transactions it is not")
def step_commit_paths(context):
    handler = CallerHandler(entry=None, body_limit=lambda route: 1000)
    for collection, accepted in (("statements", False), ("transactions", True)):
        path = f"/v1/routes/r/{collection}/t1/commit"
        parsed = handler.parse(HttpRequest(method="POST", path=path))
        assert parsed.is_ok() == accepted, parsed
        assert accepted or parsed.err_value.kind is Kind.NOT_FOUND, parsed


# Calls between daemons.


class OddPeer:
    """The handler of a daemon that answers with given values."""

    def __init__(self, **answers):
        """Answer each named call with a value."""
        for name, value in answers.items():
            setattr(self, name, lambda *args, value=value: value)


def start_peer(context, **answers):
    """Serve an odd peer; keep its address and a client in the context."""
    port = free_port()
    server = PeerServer(
        ip=STANDIN_IP, port=port, handler=OddPeer(**answers), supervisor=Supervisor()
    )
    server.start()
    context.peer_server = server
    context.stack.callback(server.stop)
    wait_until(lambda: is_listening(port), 5.0, "the peer does not listen")
    context.peer_host = Host(
        name="h1", ip=STANDIN_IP, caller_port=1, peer_port=port, operator_port=2
    )
    context.peers = ThriftPeers(source=LOOPBACK)


def is_listening(port):
    """Tell whether a port of this test run accepts connections."""
    with socket.socket() as sock:
        return sock.connect_ex((STANDIN_IP, port)) == 0


@given("a host that answers calls with another request's response")
def step_other_response(context):
    start_peer(context, work=ttypes.WorkResult("other", b"{}"))


@given("a host that answers calls with undecodable bodies and unknown kinds")
def step_undecodable_responses(context):
    news = [ttypes.HostNews("h", 1, "alive", b"{")]
    start_peer(
        context,
        work=ttypes.WorkResult("r1", b"{"),
        tokens=ttypes.TokenGrant(1, 1.0, 0.0, "no such kind"),
        exchange=ttypes.Digest("h1", 1, 0.0, news, True),
        pull=ttypes.Changes(1, None, False),
    )


@when("a statement is sent to it")
def step_send_statement(context):
    context.unanswered = [call_peer(context, "work", make_call())]


@when("calls of each kind are sent to it")
def step_send_calls(context):
    digest = GossipDigest(sender="h0", revision=1, platform_age=0.0, fresh=True, updates=())
    request = GrantRequest(team="t", host="h0", number=1, held=0.0, wanted=1.0)
    calls = (("work", make_call()), ("tokens", request), ("exchange", digest), ("pull", 0))
    context.unanswered = [call_peer(context, name, value) for name, value in calls]


def make_call():
    """Return a call of a read."""
    return Call(
        request_id="r1",
        team="t",
        route="r",
        group="g",
        statement=SqlStatement(sql="SELECT 1"),
        mode=Mode.READ,
        budget=1.0,
    )


def call_peer(context, name, value):
    """Call the peer; return whether it counts as unanswered, and how many links are idle."""
    try:
        getattr(context.peers, name)(context.peer_host, value)
    except NoResponse:
        return True, sum(len(idle) for idle in context.peers._idle.values())
    return False, 0


@then("no call gets a response, and no connection is used again")
def step_no_response(context):
    assert all(result == (True, 0) for result in context.unanswered), context.unanswered


def make_object_api(request):
    """Return a client of the object API whose calls are passed to a function."""
    api = HttpObjectApi(address="platform", source=LOOPBACK)
    api._http = SimpleNamespace(request=request)
    return api


@given("a platform that answers")
def step_answering_platform(context):
    transport = SilentTransport()
    context.platform, context.api = transport.platform, make_object_api(transport.request)


@then('objects named "a b", "a?b", "a/b" and "ü%2F" are stored and found under their names')
def step_named_objects(context):
    for name in ("a b", "a?b", "a/b", "ü%2F"):
        written = context.api.put("team", name, Team(name=name), 0)
        assert written.is_ok() and ("team", name) in context.platform.objects, (name, written)
        assert context.api.get("team", name).ok_value.name == name


@given("a platform that answers calls with 400, 413 and 429")
def step_rejecting_platform(context):
    context.kinds = {}
    for status in (400, 413, 429):
        response = SimpleNamespace(status=status, data=b"{}", headers={"Store-Era": "1"})
        api = make_object_api(lambda *args, response=response, **options: response)
        api._era = api._started_era = 1
        put = api.put("team", "t", Team(name="t"), 0)
        context.kinds[status] = {api.get("team", "t").err_value.kind, put.err_value.kind}


@then(
    "the first two are reported as rejected for good, the last as a platform that does not answer"
)
def step_rejected(context):
    expected = {400: Kind.BAD_REQUEST, 413: Kind.BAD_REQUEST, 429: Kind.PLATFORM_DOWN}
    assert context.kinds == {status: {kind} for status, kind in expected.items()}, context.kinds


@when("it stops serving")
def step_stop_peer(context):
    context.errors = []
    logger = logging.getLogger("thrift.server.TServer")
    with patch.object(logger, "exception", context.errors.append):
        context.peer_server.stop()
        time.sleep(1.0)


@then("its server's thread ends within 1 s, with one error logged at most")
def step_peer_thread_ended(context):
    assert not context.peer_server.is_serving()
    assert len(context.errors) <= 1, len(context.errors)


# The slots of a member.


def wait_for_slot(gate, admitted, in_transaction):
    """Wait for a slot for 2 s; add whether it was granted for a transaction's statement."""
    request = SlotRequest(
        team="t",
        weight=1.0,
        deadline=time.monotonic() + 2.0,
        queue_limit=10,
        in_transaction=in_transaction,
    )
    with gate.slot(request) as result:
        if result.is_ok():
            admitted.append(in_transaction)


@given("a member all of whose slots are in use, and for which statements wait")
def step_statements_wait(context):
    context.gate, context.admitted = Gate(slots=1), []
    executor = context.stack.enter_context(ThreadPoolExecutor(2))
    request = SlotRequest(team="t", weight=1.0, deadline=time.monotonic() + 5.0, queue_limit=10)
    context.stack.enter_context(context.gate.slot(request))
    for in_transaction in (False, True):
        executor.submit(wait_for_slot, context.gate, context.admitted, in_transaction)
    wait_until(lambda: context.gate.queued == 2, 2.0, "the statements don't wait")


@when("the member is paused")
def step_pause_member(context):
    context.gate.set_paused(True)
    time.sleep(0.5)


@then("the statement of an open transaction runs at once, and the other one waits")
def step_only_transaction_runs(context):
    assert context.admitted == [True], context.admitted


# Elections.


class SilentObjectApi:
    """An object API that holds one record, never answers a write and counts the reads."""

    def __init__(self, record):
        """Answer reads with a record until a test sets `down`."""
        self.record, self.down, self.reads = record, False, 0

    def get(self, kind, name, timeout):
        """Return the record."""
        self.reads += 1
        if self.down:
            return Err(Refusal(kind=Kind.PLATFORM_DOWN))
        value = msgspec.Raw(msgspec.json.encode(self.record))
        return Ok(Change(kind=kind, name=name, revision=5, value=value))

    def put(self, kind, name, value, version, timeout):
        """Leave the outcome unknown."""
        return Err(Refusal(kind=Kind.OUTCOME_UNKNOWN))


def make_election(api, term):
    """Return an election of a group with one member, which is primary in a term."""
    member = Member(name="m0", ip=LOOPBACK, port=1, control_port=2)
    position = Position(term=term, index=1)
    progress = Progress(
        name="m0", term=term, role=Role.PRIMARY, received=position, applied=position
    )
    view = MemberView(member=member, progress=progress, last_seen=time.monotonic())
    group = Group(name="g", members=(member,))
    monitor = SimpleNamespace(group=group, view=lambda: GroupView(group=group, members=(view,)))
    return Election(
        host="h0",
        monitor=monitor,
        controls=None,
        object_api=api,
        decisions=Decisions(host="h0"),
        supervisor=Supervisor(),
    )


@given("an election that may claim alone, whose claims get no response")
def step_silent_claims(context):
    context.api = SilentObjectApi(PublishedPrimary(term=3, primary="m0"))
    context.election = make_election(context.api, 3)


@then("no term is claimed while the platform answers reads, and one is if it does not")
def step_claims(context):
    assert context.election._claim(4, without_platform=True) == 0
    context.api.down = True
    assert context.election._claim(4, without_platform=True) == 4


@given("an election whose primary another host has published")
def step_published(context):
    context.api = SilentObjectApi(PublishedPrimary(term=3, primary="m0", claimant="h1"))
    context.election = make_election(context.api, 3)


@when("the host publishes the primary 5 times")
def step_publish(context):
    for _ in range(5):
        context.election.publish()


@then("it reads the platform once")
def step_one_read(context):
    assert context.api.reads == 1, context.api.reads


# The callers' client.


def make_session(exchange):
    """Return a session whose requests are passed to a function instead of a host."""
    session = Session(hosts=["http://host"], route="r", deadline=2.0)
    session._exchange = lambda url, body, headers, deadline: exchange(headers)
    return session


def make_response():
    """Return a successful response with a token of its own."""
    success = Success(
        request_id="r", result=Rows(), transaction="", served_by="m", role="primary", repeated=False
    )
    headers = {"Wagtail-Session": uuid.uuid4().hex}
    return SimpleNamespace(status=200, data=msgspec.json.encode(success), headers=headers)


@given("a session that {count:d} threads use at once")
def step_parallel_session(context, count):
    context.token_counts, rng = [], random.Random(1)

    def exchange(headers):
        context.token_counts.append(len(headers.get("Wagtail-Session", "").split(",")))
        time.sleep(rng.uniform(0.0, 0.02))
        return make_response()

    session = make_session(exchange)
    with ThreadPoolExecutor(count) as executor:
        futs = [executor.submit(session.read, "SELECT 1") for _ in range(count * 5)]
        for fut in futs:
            fut.result()


@then("no request has more session tokens than a host accepts")
def step_token_counts(context):
    assert max(context.token_counts) <= MAX_TOKENS, max(context.token_counts)


@given("a session whose requests are recorded")
def step_recorded_session(context):
    context.deadlines = []

    def exchange(headers):
        context.deadlines.append(headers["Wagtail-Deadline-Ms"])
        return make_response()

    context.session = make_session(exchange)


@then("a request with a deadline of 0 s is sent with 1 ms, and one without with the session's own")
def step_deadlines(context):
    context.session.read("SELECT 1", deadline=0)
    context.session.read("SELECT 1")
    assert context.deadlines == ["1", "2000"], context.deadlines
