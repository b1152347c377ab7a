"""Property tests that compare decisions with simple reference implementations."""

import itertools
import random
import re
import shlex
from collections import Counter
from pathlib import Path

import msgspec
from behave import then
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.policies import max_excess
from wagtailloft import logs, options
from wagtailloft.adapters.callers import CallerHandler
from wagtailloft.adapters.server import HttpRequest
from wagtailloft.controllers.failover import (
    FailoverAction,
    best_candidate,
    majority_position,
    next_action,
)
from wagtailloft.controllers.fairness import FairQueue
from wagtailloft.controllers.membership import Membership
from wagtailloft.controllers.object_cache import Delta, ObjectCache
from wagtailloft.controllers.ownership import owners
from wagtailloft.controllers.placement import OWNERS_KEPT, OwnerCache
from wagtailloft.controllers.routing import SlotWait, choose_member
from wagtailloft.controllers.token_bucket import TokenBucket, TokenReserve
from wagtailloft.controllers.views import GroupView, MemberView
from wagtailloft.errors import ERROR_SPECS, FixSettings
from wagtailloft.models import (
    Call,
    Change,
    Group,
    Host,
    HostState,
    Member,
    Mode,
    Position,
    Progress,
    Role,
    SessionPosition,
    SqlStatement,
    Team,
)
from wagtailloft.session_tokens import SessionTokens, merge, position_of
from wagtailloft.settings import parse

POSITIONS = st.builds(Position, term=st.integers(1, 3), index=st.integers(0, 12))
TOKEN_SECRETS = ("a secret of sixteen", "an older secret too")


def check_examples(count, **strategies):
    """Run the decorated check on `count` generated examples.

    The examples are derived from the check's source, so that every run generates the same ones.
    """

    def decorate(check):
        settings(max_examples=count, derandomize=True, deadline=None, database=None)(
            given(**strategies)(check)
        )()

    return decorate


@then("for {count:d} generated workloads every team gets its weighted share, less a small slack")
def step_fair(context, count):
    @check_examples(count, seed=st.integers(0, 10_000), teams=st.integers(2, 5))
    def check(seed, teams):
        rng = random.Random(seed)
        names = [f"t{n}" for n in range(teams)]
        weights = {n: rng.choice((0.5, 1.0, 2.0)) for n in names}
        job_seconds = {n: rng.choice((0.002, 0.01, 0.03)) for n in names}
        queue, used_seconds, now = FairQueue(slots=1), Counter(), 0.0
        for name in names:
            for _ in range(round(3.5 / job_seconds[name])):
                queue.push(team=name, weight=weights[name], deadline=1e9, limit=9_999, now=0.0)
        while now < 3.0:
            ticket = queue.pop()
            queue.charge(ticket, job_seconds[ticket.team])
            used_seconds[ticket.team] += job_seconds[ticket.team]
            now += job_seconds[ticket.team]
        total = sum(weights.values())
        slack = 2 * max(job_seconds.values()) * max(weights.values()) / min(weights.values())
        for name in names:
            share = now * weights[name] / total
            assert used_seconds[name] >= share - slack - 0.1 * share, (name, used_seconds, share)


@then("for {count:d} generated histories no time window exceeds rate and burst")
def step_rates(context, count):
    @check_examples(count, seed=st.integers(0, 100_000))
    def check(seed):
        rng = random.Random(seed)
        team = Team(name="t", rate=rng.choice((5.0, 50.0, 500.0)), burst=rng.choice((1, 7, 60)))
        bucket = TokenBucket(team=team, now=0.0)
        reserves = [TokenReserve(team="t", host=str(n)) for n in range(4)]
        delayed, admitted, now = [], [], 0.0
        for _ in range(1_500):
            now += rng.expovariate(team.rate * 2)
            reserve = rng.choice(reserves)
            if reserve.spend(now):
                admitted.append(now)
                continue
            request = reserve.next_request(rng.randrange(4), now)
            draw = rng.random()
            if draw < 0.15:
                delayed.append(request)
                continue
            grant = bucket.grant(request, now)
            if delayed and rng.random() < 0.3:
                bucket.grant(delayed.pop(), now)
            if grant is not None and draw < 0.85:
                reserve.add(grant, now - rng.random() * 0.2)
                if reserve.spend(now):
                    admitted.append(now)
        assert max_excess(admitted, team) <= 1e-6, max_excess(admitted, team)


def make_reports(positions, terms):
    """Return a report per replica, each at a log position and a term."""
    return tuple(
        Progress(name=f"m{n}", term=t, role=Role.REPLICA, received=p, applied=p)
        for n, (p, t) in enumerate(zip(positions, terms, strict=True))
    )


@then("for {count:d} generated reports the majority position equals the one found by counting")
def step_majority_position(context, count):
    lists = st.lists(st.tuples(POSITIONS, st.integers(1, 3)), min_size=3, max_size=5)

    @check_examples(count, pairs=lists, term=st.integers(1, 3))
    def check(pairs, term):
        reports = make_reports([p for p, _ in pairs], [t for _, t in pairs])
        majority = len(reports) // 2 + 1
        counted = Position()
        for index in range(13):
            candidate = Position(term=term, index=index)
            received = [
                r for r in reports if r.term == r.received.term == term and r.received >= candidate
            ]
            if len(received) >= majority:
                counted = candidate
        assert majority_position(reports, term, majority) == counted


@then("for {count:d} generated groups the promoted member has all that a majority received")
def step_promoted(context, count):
    @check_examples(
        count,
        received_positions=st.lists(POSITIONS, min_size=3, max_size=5),
        avoided=st.integers(0, 4),
        seed=st.integers(0, 99),
    )
    def check(received_positions, avoided, seed):
        reports = make_reports(received_positions, [4] * len(received_positions))
        majority = len(reports) // 2 + 1
        fenced = tuple(random.Random(seed).sample(reports, max(majority, len(reports) - seed % 2)))
        chosen = best_candidate(fenced, majority, frozenset({f"m{avoided}"}))
        for receivers in itertools.combinations(reports, majority):
            acknowledged = min(r.received for r in receivers)
            assert chosen.received >= acknowledged, (chosen, acknowledged, fenced)


def group_views():
    """Return a strategy for views of a group with three members."""
    report_values = st.builds(
        lambda role, term, received, age: (role, term, received, age),
        st.sampled_from(Role),
        st.integers(1, 2),
        st.integers(0, 9),
        st.sampled_from((0.0, 5.0)),
    )
    member_values = st.tuples(st.none() | report_values, st.sampled_from((0, 0, 0, 1, 3, 9)))

    def build(parts):
        group = Group(
            name="g",
            members=tuple(
                Member(name=f"m{n}", ip="10.0.0.1", port=1, control_port=2) for n in range(3)
            ),
        )
        members = []
        for member, (report, misses) in zip(group.members, parts, strict=True):
            progress = None
            if report:
                position = Position(term=report[1], index=report[2])
                progress = Progress(
                    name=member.name,
                    term=report[1],
                    role=report[0],
                    received=position,
                    applied=position,
                    source_age=report[3],
                )
            members.append(
                MemberView(
                    member=member, progress=progress, last_seen=0.0, missed_heartbeats=misses
                )
            )
        return GroupView(group=group, members=tuple(members))

    return st.lists(member_values, min_size=3, max_size=3).map(build)


@then("for {count:d} generated views a promotion needs a majority and a failed primary")
def step_promotion_conditions(context, count):
    @check_examples(count, view=group_views())
    def check(view):
        plan = next_action(view, 100.0)
        if plan.action is not FailoverAction.ELECT:
            return
        assert len(view.reachable()) >= 2
        if view.primary is not None and view.primary.reachable:
            isolated = [m for m in view.reachable() if m.progress.source_age > 1]
            assert len(isolated) >= 2, view


@then("for {count:d} generated views the chosen replica has the session's writes or is waited for")
def step_routing(context, count):
    @check_examples(count, view=group_views(), after=POSITIONS)
    def check(view, after):
        call = Call(
            request_id="r",
            team="t",
            route="r",
            group="g",
            statement=SqlStatement(sql="SELECT 1"),
            mode=Mode.READ,
            budget=1.0,
            after=after,
        )
        chosen = choose_member(call, view, (SlotWait(member="m0"),), 0.2, 100.0)
        if chosen.is_err():
            primary = view.primary
            assert primary is None or primary.progress.term < after.term
            return
        choice = chosen.ok_value
        assert choice.after >= after
        member = next(m for m in view.members if m.member.name == choice.member)
        if member is not view.primary:
            caught_up = member.progress.applied.index >= after.index
            assert caught_up or choice.wait > 0, (member, after)


@then("for {count:d} generated fleets that change, cached owners equal a full ranking")
def step_owner_cache(context, count):
    @check_examples(count, seed=st.integers(0, 100_000))
    def check(seed):
        rng = random.Random(seed)
        hosts = {f"h{n}": random_host(f"h{n}", rng) for n in range(rng.randrange(1, 16))}
        cache = OwnerCache()
        for _ in range(12):
            name = f"h{rng.randrange(18)}"
            if rng.random() < 0.4:
                hosts.pop(name, None)
            else:
                hosts[name] = random_host(name, rng)
            current = tuple(hosts.values())
            cache.update(current)
            for group in ("a", "b", "c"):
                zone = rng.choice(("z0", "z1", ""))
                assert cache.owners(group, zone) == owners(group, current, zone)[:OWNERS_KEPT]


def random_host(name, rng):
    """Return a host in a random availability zone and state."""
    return Host(
        name=name,
        ip="10.0.0.1",
        caller_port=1,
        peer_port=2,
        operator_port=3,
        zone=f"z{rng.randrange(3)}",
        state=rng.choice((HostState.ALIVE, HostState.ALIVE, HostState.SUSPECT, HostState.LEAVING)),
    )


@then("for {count:d} generated orders of delivery the cache equals a replay of the changes")
def step_object_cache(context, count):
    @check_examples(count, seed=st.integers(0, 100_000))
    def check(seed):
        rng = random.Random(seed)
        changes, expected = [], {}
        for revision in range(1, 30):
            name = f"k{rng.randrange(6)}"
            value = b"null" if rng.random() < 0.3 else str(revision).encode()
            change = Change(kind="key", name=name, revision=revision, value=msgspec.Raw(value))
            changes.append(change)
        caches = [ObjectCache(), ObjectCache(), ObjectCache()]
        for _ in range(60):
            cache = rng.choice(caches)
            before = cache.revision
            if rng.random() < 0.5:
                end = rng.randrange(len(changes) + 1)
                start = min(before, end)
                delta = Delta(revision=end, changes=tuple(changes[start:end]))
            else:
                delta = rng.choice(caches).changes_since(before)
            cache.apply(delta)
            assert cache.revision >= before
            expected = {}
            for change in changes[: cache.revision]:
                expected[change.name] = bytes(change.value)
            live = {n: v for n, v in expected.items() if v != b"null"}
            assert {c.name: bytes(c.value) for c in cache.all("key")} == live


@then("for {count:d} generated orders of delivery every host ends with the same member list")
def step_membership(context, count):
    @check_examples(count, seed=st.integers(0, 100_000))
    def check(seed):
        rng = random.Random(seed)
        updates = []
        for _ in range(25):
            host = random_host(f"h{rng.randrange(5)}", rng)
            state = rng.choice(tuple(HostState))
            updates.append(
                msgspec.structs.replace(host, incarnation=rng.randrange(3), state=state, zone="z")
            )
        final_states = set()
        for number in range(3):
            own = msgspec.structs.replace(random_host(f"own{number}", rng), zone="z")
            membership = Membership(own=own, rng=rng)
            for host in rng.sample(updates, len(updates)):
                membership.merge(host, float(number))
            known = [h for h in membership.hosts() if not h.name.startswith("own")]
            final_states.add(str([(h.name, h.incarnation, h.state) for h in known]))
        assert len(final_states) == 1, final_states


@then("for {count:d} generated tokens merging and forgery detection are correct")
def step_tokens(context, count):
    positions = st.lists(st.tuples(st.sampled_from("abc"), POSITIONS), max_size=6)

    @check_examples(
        count,
        first_pairs=positions,
        second_pairs=positions,
        junk=st.text(max_size=60),
        flip=st.integers(0, 500),
    )
    def check(first_pairs, second_pairs, junk, flip):
        signer, reader = SessionTokens(secrets=TOKEN_SECRETS[1:]), SessionTokens(
            secrets=TOKEN_SECRETS
        )
        first = merge_positions(first_pairs)
        second = merge_positions(second_pairs)
        tokens = [signer.sign("team", first), reader.sign("team", second)]
        merged = reader.read("team", ",".join(tokens)).ok_value
        for group in "abc":
            expected = max(position_of(first, group), position_of(second, group))
            assert position_of(merged, group) == expected
        assert reader.read("other", tokens[0]).is_err()
        assert reader.read("team", "x" + junk).is_err()
        index = flip % len(tokens[0])
        replacement = "A" if tokens[0][index] != "A" else "B"
        forged = tokens[0][:index] + replacement + tokens[0][index + 1 :]
        result = reader.read("team", forged)
        assert result.is_err() or set(result.ok_value) == set(first)


def merge_positions(pairs):
    """Merge pairs of group and position into the positions of one session."""
    positions = ()
    for group, position in pairs:
        positions = merge(positions, SessionPosition(group=group, position=position))
    return positions


@then("for {count:d} generated requests the HTTP front parses them or refuses them with a reason")
def step_parse_request(context, count):
    handler = CallerHandler(entry=None, body_limit=lambda route: 1_000)
    paths = st.sampled_from(
        ("/v1/routes/r/statements", "/v1/routes/r/transactions/h.1/commit", "/v1/routes/r/x")
    )
    names = (
        "wagtail-deadline-ms",
        "wagtail-max-age-ms",
        "wagtail-request-id",
        "wagtail-idempotent",
        "authorization",
    )
    values = st.text(max_size=20) | st.integers(-5, 10**15).map(str)
    headers = st.dictionaries(st.sampled_from(names), values)
    known = st.sampled_from((b'{"sql":"SELECT 1","mode":"read"}', b'{"sql":"\\u0000"}', b"[]"))

    @check_examples(count, path=paths | st.text(), given_headers=headers, body=st.binary() | known)
    def check(path, given_headers, body):
        request = HttpRequest(method="POST", path=path, headers=given_headers, body=body)
        parsed = handler.parse(request)
        assert parsed.is_ok() or parsed.err_value.detail, request


@then("an internal error of the HTTP front is reported as such")
def step_internal(context):
    handler = CallerHandler(entry=None, body_limit=lambda route: 1_000)
    body = b'{"sql":"SELECT 1","mode":"read"}'
    request = HttpRequest(method="POST", path="/v1/routes/r/statements", body=body)
    response = handler(request)
    assert response.status == 500 and b'"internal"' in response.body, response


SETTINGS = """[host]
name = host-1
ip = 10.0.0.7
zone = krk-a
region = pl-south
caller_port = 7001
peer_port = 7002
operator_port = 7003
[platform]
address = 10.0.0.1:80
[session]
secret = sixteen letters and more
"""


@then("for {count:d} generated settings files the check passes or names the file")
def step_settings(context, count):
    assert parse("host.ini", SETTINGS).host.name == "host-1"
    lines = SETTINGS.splitlines()

    @check_examples(count, index=st.integers(0, len(lines) - 1), text=st.text(max_size=30))
    def check(index, text):
        changed = "\n".join([*lines[:index], text, *lines[index + 1 :]])
        try:
            parse("host.ini", changed)
        except FixSettings as exc:
            assert "host.ini" in str(exc), exc

    try:
        parse("host.ini", SETTINGS.replace("7002", "many"))
    except FixSettings as exc:
        expected = "host.ini:7: [host] peer_port: 'many' is invalid; expected a port"
        assert str(exc).startswith(expected), exc
    else:
        raise AssertionError("a settings file with an invalid port was accepted")


@then("for {count:d} generated options the check passes or says what is valid")
def step_options(context, count):
    names = st.sampled_from(sorted(f.name for f in msgspec.structs.fields(options.Options)))

    @check_examples(count, name=names | st.text(max_size=9), text=st.text(max_size=12))
    def check(name, text):
        parsed = options.parse(name, text)
        assert parsed.is_ok() or parsed.err_value

    assert options.parse("deadline", "250ms").ok_value == 0.25
    assert options.parse("body_limit", "64KiB").ok_value == 65_536


@then("docs/INTERFACE.md lists every error kind with its status, whether it ran, and retry")
def step_interface(context):
    page = Path(__file__).parents[2].joinpath("docs/INTERFACE.md").read_text()
    rows = re.findall(r"^\| `(\w+)` \| (\d+) \| (\w+) \| (\w+) \| (.+) \|$", page, re.MULTILINE)
    documented = {k: (int(s), ran, retry, text) for k, s, ran, retry, text in rows}
    expected = {
        kind.value: (r.status, r.ran.value, "yes" if r.retry else "no", r.meaning)
        for kind, r in ERROR_SPECS.items()
    }
    assert documented == expected, set(documented.items()) ^ set(expected.items())


@then("for {count:d} generated events the log line is one line and can be parsed")
def step_log_line(context, count):
    values = st.text(max_size=30) | st.integers() | st.sampled_from(("", "a b", 'x"y', "a=b"))

    @check_examples(count, fields=st.dictionaries(st.sampled_from(("a", "b", "c")), values))
    def check(fields):
        line = logs.format_event("happened", fields)
        assert line.isprintable(), line
        assert len(shlex.split(line)) == 1 + len(fields), line
