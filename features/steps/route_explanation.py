"""Steps for explanations of where a statement would go."""

import asyncio
import json
import os
import subprocess
import sys
import threading
import time
from types import SimpleNamespace

import msgspec
from behave import given, then, when
from hypothesis import strategies as st

from features.fake_mesh import make_host
from features.steps.controllers import check_examples, group_views
from features.test_fleet import INSERT, ROUTE, TEAM
from features.virtual_time import run_virtual
from standins.fleet import wait_until
from standins.site import KEY
from wagtailloft import route_report
from wagtailloft.clock import now
from wagtailloft.controllers.routing import choose_member, explain_member
from wagtailloft.controllers.token_bucket import Grant
from wagtailloft.errors import Kind, Refusal
from wagtailloft.fleet.messages import StatementResponse, TargetLoad
from wagtailloft.fleet.records import (
    Configuration,
    Entry,
    Freshness,
    PrimaryAssignment,
    RouteRule,
    Target,
    TeamRule,
    Topic,
)
from wagtailloft.groups.directory import GroupDirectory
from wagtailloft.groups.dispatch import Dispatcher, StatementContext
from wagtailloft.groups.ports import BoundStatement
from wagtailloft.groups.route_explanation import RouteExplainer, call_on_loop
from wagtailloft.groups.route_verdict import RouteVerdict
from wagtailloft.metrics import Metrics
from wagtailloft.models import Call, Mode, Position, Role, SqlStatement
from wagtailloft.rates.token_client import SpendResult, TokenClient
from wagtailloft.rates.token_pool import Tolerance
from wagtailloft.route_report import RouteQuestion, RouteReport
from wagtailloft.sessions.admission import Admission
from wagtailloft.sessions.statements import StatementResult, TransactionState, not_executed

TEAM_KEY = "key-of-team-t"
MEMBERS = {zone: Target(name=zone, group="g", address="-", zone=zone) for zone in "abc"}
METRICS_PORT = 9102


class FakeRelay:
    """A relay to one owner for each zone, at which replicas lag; it records the targets."""

    def __init__(self):
        """Start without statements."""
        self.targets = []

    def owners(self, target):
        """Return the only owner of a target."""
        return (SimpleNamespace(name=f"host-{target.zone}"),)

    async def run(self, owner, request):
        """Refuse at replicas, and succeed at the primary."""
        assert owner == f"host-{request.target}", (owner, request.target)
        self.targets.append(request.target)
        if not request.require_primary:
            return StatementResponse(outcome=StatementResult(kind=Kind.TARGET_BEHIND))
        opened = request.opens_transaction
        state = TransactionState.OPEN if opened else TransactionState.IDLE
        return StatementResponse(outcome=StatementResult(state=state), transaction_id=int(opened))


class ExplainedHost:
    """The parts of a host that decide where statements go, over a fake store cache and relay."""

    def __init__(self, zone):
        """Create a host of a zone that knows the group, its primary's position and a team."""
        self.handlers = {}
        self.cache = SimpleNamespace(
            on_change=lambda topic, handler: self.handlers.setdefault(topic, []).append(handler),
            assignment=lambda group: self.assignment,
            assignments_valid=lambda: True,
            assignments_age=lambda: 0.1,
            is_registered=lambda: True,
            settings_age=lambda: 0.1,
            is_fresh=lambda: True,
            knows_settings=lambda: True,
            era=SimpleNamespace(era=0),
        )
        self.assignment = PrimaryAssignment(group="g", epoch=1, settled=True, primary="a")
        self.tokens = SimpleNamespace(
            configure=lambda rules, at: None, would_refuse=lambda team, wait: False
        )
        self.relay = FakeRelay()
        self.directory = GroupDirectory(cache=self.cache)
        self.dispatcher = Dispatcher(
            directory=self.directory,
            relay=self.relay,
            sample_exchange=SimpleNamespace(fetch=None),
            zone=zone,
            metrics=Metrics(),
        )
        self.admission = Admission(
            cache=self.cache, tokens=self.tokens, metrics=Metrics(), not_found_max_age=2.0
        )
        self.explainer = RouteExplainer(
            host=f"host-{zone}",
            admission=self.admission,
            directory=self.directory,
            dispatcher=self.dispatcher,
        )
        for target in MEMBERS.values():
            self.apply(Topic.TARGETS, target)
        self.directory.samples("g").add(now(), Position(term=1, index=5))
        self.rules = {
            f: RouteRule(database=f.value, group="g", freshness=f, max_age=1.5) for f in Freshness
        }
        self.configure(keys=(TEAM_KEY,))

    def configure(self, *, keys):
        """Apply a configuration in which team t has some keys and 2 operations a second."""
        digests = tuple(self.admission.digest(k) for k in keys)
        team = TeamRule(name="t", rate=2, burst=2, keys=digests)
        routes = tuple(self.rules.values())
        version = len(keys) + 2 * self.admission.ready
        value = Configuration(version=version, routes=routes, teams=(team,))
        self.apply(Topic.SETTINGS, value, name="main", revision=version)

    def apply(self, topic, value, name="", revision=1):
        """Apply a value of the store."""
        for handler in self.handlers[topic]:
            handler(Entry(name=name or value.name, revision=revision, value=value))

    def explain(self, route, text, team="t"):
        """Return the report on a statement."""
        verb = route_report.parse_verb(text)
        return self.explainer.explain(RouteQuestion(route=route, team=team, verb=verb))


@given("a host of zone b, and a group with its primary in zone a and replicas in b and c")
def step_explained_host(context):
    context.host = ExplainedHost("b")


@when(
    "a {text} on a route of {freshness} data is explained, and then sent while replicas lag",
)
def step_explain_then_send(context, text, freshness):
    host = context.host
    context.report = host.explain(freshness, text)
    assert isinstance(context.report, RouteReport) and context.report.refusal is None, context
    context.sent_by_explanation = list(host.relay.targets)
    verb = route_report.parse_verb(text)
    statement = RouteQuestion(route=freshness, verb=verb).statement
    caller = StatementContext(rule=host.rules[Freshness(freshness)], team="t")
    bound = BoundStatement(request_id="r", statement=statement)
    run = host.dispatcher.begin if text.startswith("BEGIN") else host.dispatcher.run_single
    asyncio.run(run(caller, bound))


@then("the explanation sent nothing and ranks the members {order}, as they were tried")
def step_ranks_as_tried(context, order):
    report = context.report
    ranked = sorted((m for m in report.members if m.rank), key=lambda m: m.rank)
    names = [m.name for m in ranked]
    assert not context.sent_by_explanation
    assert names == order.split() == context.host.relay.targets, (names, context.host.relay.targets)
    assert (report.member, report.host) == (names[0], f"host-{names[0]}"), report
    assert bool(report.position) == (names[0] != "a"), report
    assert len(report.members) == 3 and all(m.why for m in report.members), report


@when("the replica in b is leaving")
def step_replica_leaves(context):
    context.host.apply(Topic.TARGETS, msgspec.structs.replace(MEMBERS["b"], leaving=True))


@when("the replica in b lately lagged")
def step_replica_lagged(context):
    context.host.directory.samples("g").mark_behind("b", now() + 60.0)


@when("no position of the primary is known")
def step_no_sample(context):
    context.host.directory.samples("g")._samples.clear()


@when("nothing happens")
def step_nothing(context):
    pass


@then('a READ of bounded data goes to {member}, and {other} is listed with "{reason}"')
def step_member_reason(context, member, other, reason):
    report = context.host.explain("bounded", "READ x")
    why = {m.name: m.why for m in report.members}
    assert report.member == member and why[member].startswith("chosen: "), report
    assert why[other].startswith(reason), why


@when("the team is far over its rate")
def step_over_rate(context):
    context.host.tokens.would_refuse = lambda team, wait: team == "t"


@when("a failover begins")
def step_failover_begins(context):
    host = context.host
    host.assignment = msgspec.structs.replace(host.assignment, epoch=2, settled=False, replaced="a")


@when("the keys are no longer fresh")
def step_keys_old(context):
    context.host.cache.is_fresh = lambda: False


@when("all keys of the team are withdrawn")
def step_keys_withdrawn(context):
    context.host.configure(keys=())


@when("the owner may not use the primary")
def step_primary_not_usable(context):
    context.host.cache.assignments_valid = lambda: False
    context.host.explainer._host = "host-a"


@then('a WRITE of team t is refused as {kind} with retry time "{retry_ms}"')
def step_refused(context, kind, retry_ms):
    refusal = context.host.explain("bounded", "WRITE x").refusal
    assert (refusal.kind, str(refusal.retry_ms)) == (kind, retry_ms), refusal


@when("the dispatcher ejects the replica in b, reports the load of c and refuses the statement")
def step_dispatcher_reports(context):
    dispatcher, load = context.host.dispatcher, TargetLoad(waits_ms=(1, 20, 300), service_ms=9)
    decided = dispatcher.explain
    changes = {"a": {}, "b": {"rank": 0, "why": "is ejected"}, "c": {"load": load}}

    def explain(caller, statement):
        verdict = decided(caller, statement)
        members = (msgspec.structs.replace(m, **changes[m.target.name]) for m in verdict.members)
        refusal = not_executed(Kind.DEADLINE, "retry in 40 ms")
        return RouteVerdict(choice=verdict.choice, members=tuple(members), refusal=refusal)

    dispatcher.explain = explain


@then("the report on a READ of bounded data has all three")
def step_report_has_all(context):
    report = context.host.explain("bounded", "READ x")
    members = {m.name: m for m in report.members}
    assert (members["b"].why, members["c"].queue_ms, members["a"].queue_ms) == (
        "is ejected",
        20,
        None,
    ), members
    assert (report.refusal.kind, report.refusal.detail) == ("deadline", "retry in 40 ms"), report


@then("unknown routes and teams and unsupported statements get their own errors")
def step_unknown_names(context):
    explain = context.host.explainer.explain
    context.bodies = []
    for query, expected in (
        ("route=bounded&team=t&verb=write", (200, None)),
        ("route=bounded", (200, None)),
        ("route=nowhere", (404, "unknown_route")),
        ("route=bounded&team=nobody", (404, "not_found")),
        ("route=bounded&verb=commit", (400, "bad_request")),
        ("route=bounded&verb=x", (400, "bad_request")),
        ("team=t", (400, "bad_request")),
    ):
        status, body = route_report.respond(query, explain)
        context.bodies.append(body.decode())
        assert (status, json.loads(body).get("kind")) == expected, (query, body)


@then("no answer contains the key of the team or its digest")
def step_no_key(context):
    digest = context.host.admission.digest(TEAM_KEY)
    assert not any(TEAM_KEY in b or digest[:12] in b for b in context.bodies), context.bodies


@given("a host that alone grants the rate of a team of 1 a second")
def step_single_granter(context):
    own = make_host(0, 1)
    context.hosts = SimpleNamespace(own=own, all=lambda: (own,), rank_owners=lambda key: (own,))


@when("the team spends tokens for {seconds:g} s")
def step_spend_tokens(context, seconds):
    async def run():
        mesh = SimpleNamespace(register_handler=lambda message, handler: None)
        tolerance = Tolerance(window=5.0, excess=0.1, slack=2.0)
        client = TokenClient(hosts=context.hosts, mesh=mesh, tolerance=tolerance)
        client.configure((TeamRule(name="t", rate=1, burst=1),), now())
        running = asyncio.create_task(client.run())
        context.spendings = []
        until = now() + seconds
        while now() < until:
            foretold, began = client.would_refuse("t", 0.05), now()
            result = await client.spend("t", 0.05, 0.2)
            at_once = result is SpendResult.OVER_RATE and now() - began < 0.001
            context.spendings.append((foretold, at_once))
            await asyncio.sleep(0.03)
        while not client.would_refuse("t", 0.05):
            await client.spend("t", 0.05, 0.2)
        client._reserve("t").add(Grant(number=0, tokens=1.0), now())
        context.kept_token = client.would_refuse("t", 0.05), await client.spend("t", 0.05, 0.2)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    run_virtual(run())


@then("every spending that was foretold to be refused at once was refused at once")
def step_foretold(context):
    assert {(True, True), (False, False)} == set(context.spendings), context.spendings
    assert context.kept_token == (False, SpendResult.GRANTED), context.kept_token


@then("a question to an event loop that is {state} is refused as {kind} within {limit:g} s")
def step_loop_without_answer(context, state, kind, limit):
    loop, released = asyncio.new_event_loop(), threading.Event()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    try:
        if state == "busy":
            loop.call_soon_threadsafe(released.wait, 10.0)
        else:
            loop.call_soon_threadsafe(loop.stop)
            thread.join(10.0)
            loop.close()
        began = time.monotonic()
        answer = call_on_loop(loop, lambda q: None, RouteQuestion(route="r"), limit / 4)
        assert time.monotonic() - began < limit
        assert isinstance(answer, Refusal) and answer.kind.value == kind, answer
    finally:
        released.set()
        if not loop.is_closed():
            loop.call_soon_threadsafe(loop.stop)
            thread.join(10.0)
            loop.close()


def run_route(context, *args, port=METRICS_PORT, host="edge-0"):
    """Run the command against a host of the site; record and return what it did."""
    address = f"{context.site.addresses[host][0]}:{port}"
    command = [sys.executable, "-m", "wagtailloft.cli", f"--host={address}", "route", *args]
    done = subprocess.run(command, capture_output=True, text=True, timeout=30, env=os.environ)
    context.outputs = [*getattr(context, "outputs", []), done.stdout + done.stderr]
    return done


def wait_for_statement(site, request_id):
    """Return the line that edge-0 logged about sending a statement."""

    def lines():
        named = (n for n in site.log("edge-0").splitlines() if f"request={request_id}" in n)
        return [n for n in named if "event=statement" in n]

    wait_until(lines, 3.0, f"no log line about {request_id}")
    return lines()[0]


@then("the command names the member that runs a statement sent right after it, as text and as JSON")
def step_command_names_member(context):
    site = context.site
    for database, text in (("orders", "READ a"), ("stock", "WRITE a 1"), ("accounts", "READ a")):
        args = (database, "--team=one", f"--text={text}")
        report = json.loads(run_route(context, *args, "--json").stdout)
        shown = run_route(context, *args)
        caller = site.open_session("edge-0", database)
        caller.query_ok(text)
        line = wait_for_statement(site, caller.last_request_id)
        assert f"target={report['member']} holder={report['host']}" in line, (line, report)
        assert f"{report['member']} through {report['host']}" in shown.stdout, shown
        assert "one, 1000/s, burst 1000" in shown.stdout, shown
        assert [m["name"] for m in report["members"] if m["rank"] == 1] == [report["member"]]


@then("unknown routes, teams and statements, a wrong port and a host that is down have exit codes")
def step_command_errors(context):
    ready_port = context.site.ready_urls["edge-0"].split(":")[2].split("/")[0]
    for exit_code, message, args, port in (
        (5, "unknown_route: no route for the database", ("nowhere",), METRICS_PORT),
        (5, "no team 'nobody'", ("orders", "--team=nobody"), METRICS_PORT),
        (2, "--text starts with", ("orders", "--text=COMMIT"), METRICS_PORT),
        (3, "is it an operator or metrics port?", ("orders",), ready_port),
        (3, "no daemon answers", ("orders",), 1),
    ):
        done = run_route(context, *args, port=port)
        assert done.returncode == exit_code, (args, done)
        assert message in done.stderr and len(done.stderr.splitlines()) == 1, done.stderr
    context.site.hosts["edge-1"].suspend()
    done = run_route(context, "orders", host="edge-1")
    assert done.returncode == 3 and "no daemon answers" in done.stderr, done


@then("neither the output nor the logs contain a key")
def step_command_shows_no_key(context):
    texts = [*context.outputs, *(context.site.log(h) for h in context.site.hosts)]
    assert not any(KEY in text for text in texts)


@then(
    "for {count:d} generated views the explained members are the chosen one and those unfit for it"
)
def step_explained_views(context, count):
    @check_examples(count, view=group_views(), mode=st.sampled_from(Mode))
    def check(view, mode):
        call = Call(
            request_id="r",
            team="t",
            route="r",
            group="g",
            statement=SqlStatement(sql=""),
            mode=mode,
            budget=1.0,
        )
        chosen = choose_member(call, view, (), 0.0, 1.0).ok()
        reasons = {m.member.name: explain_member(m, call, view, chosen, 1.0) for m in view.members}
        marked = [n for n, why in reasons.items() if why.startswith("chosen: ")]
        assert marked == ([chosen.member] if chosen else []), (reasons, chosen)
        for member in view.members:
            reason = reasons[member.member.name]
            assert reason != "does not answer" or not member.reachable, (reason, member)
            assert reason != "is leaving" or member.member.leaving, (reason, member)
            if mode is Mode.READ and reason.startswith("another replica"):
                assert member.progress.role is Role.REPLICA and chosen, (reason, member)


@then(
    "the command names the member that serves a statement sent right after it through each daemon"
)
def step_own_command_names_member(context):
    test_fleet = context.test_fleet
    for host in test_fleet.fleet.hosts:
        for text, sql in (("READ", "SELECT 1"), ("WRITE", INSERT)):
            args = ("route", ROUTE, f"--team={TEAM}", f"--text={text}")
            report = test_fleet.fleet.run_cli_json(*args, host=host)
            shown = test_fleet.fleet.run_cli(*args, host=host).stdout
            session = test_fleet.session(host)
            reply = session.read(sql) if text == "READ" else session.write(sql, host, "x")
            assert reply.served_by == report["member"] and report["asked"] == host, (reply, report)
            assert f"{report['member']} through {report['host']}" in shown, shown
            assert len(report["members"]) == 3 and test_fleet.key not in shown, shown


@then("a team that may not use the route is refused, and unknown routes and teams have exit codes")
def step_own_command_errors(context):
    fleet = context.test_fleet.fleet
    context.test_fleet.add_team("outsiders", 10, 10)
    owner = fleet.run_cli_json("route", ROUTE)["host"]
    other = next(h for h in fleet.hosts if h != owner)
    passed_on = fleet.api(other).explain_route({"route": ROUTE, "asked": owner})
    assert passed_on["refusal"]["kind"] == "no_owner", passed_on
    for host in fleet.hosts:
        refused = fleet.run_cli_json("route", ROUTE, "--team=outsiders", host=host)
        assert (refused["refusal"]["kind"], refused["member"]) == ("forbidden", ""), refused
        for exit_code, message, *args in (
            (5, "unknown_route", "nowhere"),
            (5, "no team 'nobody'", ROUTE, "--team=nobody"),
            (2, "--text starts with", ROUTE, "--text=COMMIT"),
        ):
            done = fleet.run_cli("route", *args, host=host)
            assert done.returncode == exit_code and message in done.stderr, done
