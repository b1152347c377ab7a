"""Steps that hold decisions against naive versions, by hypothesis on fixed seeds."""

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
SECRETS = ("a secret of sixteen", "an older secret too")


def over(count, **strategies):
    """Run a check over so many generated cases."""

    def decorate(check):
        settings(max_examples=count, derandomize=True, deadline=None, database=None)(
            given(**strategies)(check)
        )()

    return decorate


@then("over {count:d} generated loads no team falls behind its share by more than its longest job")
def step_fair(context, count):
    @over(count, seed=st.integers(0, 10_000), teams=st.integers(2, 5))
    def check(seed, teams):
        rng = random.Random(seed)
        names = [f"t{n}" for n in range(teams)]
        weights = {n: rng.choice((0.5, 1.0, 2.0)) for n in names}
        takes = {n: rng.choice((0.002, 0.01, 0.03)) for n in names}
        queue, used, now = FairQueue(slots=1), Counter(), 0.0
        for name in names:
            for _ in range(round(3.5 / takes[name])):
                queue.push(team=name, weight=weights[name], deadline=1e9, limit=9_999, now=0.0)
        while now < 3.0:
            ticket = queue.pop()
            queue.charge(ticket, takes[ticket.team])
            used[ticket.team] += takes[ticket.team]
            now += takes[ticket.team]
        total = sum(weights.values())
        slack = 2 * max(takes.values()) * max(weights.values()) / min(weights.values())
        for name in names:
            share = now * weights[name] / total
            assert used[name] >= share - slack - 0.1 * share, (name, used, share)


@then("over {count:d} generated histories no window holds more than rate and burst")
def step_rates(context, count):
    @over(count, seed=st.integers(0, 100_000))
    def check(seed):
        rng = random.Random(seed)
        team = Team(name="t", rate=rng.choice((5.0, 50.0, 500.0)), burst=rng.choice((1, 7, 60)))
        bucket = TokenBucket(team=team, now=0.0)
        reserves = [TokenReserve(team="t", host=str(n)) for n in range(4)]
        late, admitted, now = [], [], 0.0
        for _ in range(1_500):
            now += rng.expovariate(team.rate * 2)
            reserve = rng.choice(reserves)
            if reserve.spend(now):
                admitted.append(now)
                continue
            request = reserve.next_request(rng.randrange(4), now)
            fate = rng.random()
            if fate < 0.15:
                late.append(request)
                continue
            grant = bucket.grant(request, now)
            if late and rng.random() < 0.3:
                bucket.grant(late.pop(), now)
            if grant is not None and fate < 0.85:
                reserve.add(grant, now - rng.random() * 0.2)
                if reserve.spend(now):
                    admitted.append(now)
        assert max_excess(admitted, team) <= 1e-6, max_excess(admitted, team)


def reports(draw_positions, terms):
    """Return reports of members at positions and terms."""
    return tuple(
        Progress(name=f"m{n}", term=t, role=Role.REPLICA, received=p, applied=p)
        for n, (p, t) in enumerate(zip(draw_positions, terms, strict=True))
    )


@then("over {count:d} generated reports the majority position agrees with counting")
def step_acknowledged(context, count):
    lists = st.lists(st.tuples(POSITIONS, st.integers(1, 3)), min_size=3, max_size=5)

    @over(count, pairs=lists, term=st.integers(1, 3))
    def check(pairs, term):
        made = reports([p for p, _ in pairs], [t for _, t in pairs])
        majority = len(made) // 2 + 1
        counted = Position()
        for index in range(13):
            wanted = Position(term=term, index=index)
            have = [r for r in made if r.term == r.received.term == term and r.received >= wanted]
            if len(have) >= majority:
                counted = wanted
        assert majority_position(made, term, majority) == counted


@then("over {count:d} generated groups the promoted member has what any majority acknowledged")
def step_promoted(context, count):
    @over(
        count,
        logs_of=st.lists(POSITIONS, min_size=3, max_size=5),
        avoided=st.integers(0, 4),
        seed=st.integers(0, 99),
    )
    def check(logs_of, avoided, seed):
        made = reports(logs_of, [4] * len(logs_of))
        majority = len(made) // 2 + 1
        fenced = tuple(random.Random(seed).sample(made, max(majority, len(made) - seed % 2)))
        chosen = best_candidate(fenced, majority, frozenset({f"m{avoided}"}))
        for holders in itertools.combinations(made, majority):
            held = min(h.received for h in holders)
            assert chosen.received >= held, (chosen, held, fenced)


def views():
    """Return generated views of a group of three."""
    report = st.builds(
        lambda role, term, received, age: (role, term, received, age),
        st.sampled_from(Role),
        st.integers(1, 2),
        st.integers(0, 9),
        st.sampled_from((0.0, 5.0)),
    )
    member = st.tuples(st.none() | report, st.sampled_from((0, 0, 0, 1, 3, 9)))

    def build(parts):
        group = Group(
            name="g",
            members=tuple(
                Member(name=f"m{n}", ip="10.0.0.1", port=1, control_port=2) for n in range(3)
            ),
        )
        made = []
        for at, (told, misses) in zip(group.members, parts, strict=True):
            progress = None
            if told:
                place = Position(term=told[1], index=told[2])
                progress = Progress(
                    name=at.name,
                    term=told[1],
                    role=told[0],
                    received=place,
                    applied=place,
                    source_age=told[3],
                )
            made.append(
                MemberView(member=at, progress=progress, last_seen=0.0, missed_heartbeats=misses)
            )
        return GroupView(group=group, members=tuple(made))

    return st.lists(member, min_size=3, max_size=3).map(build)


@then("over {count:d} generated views no promotion is planned without cause")
def step_cause(context, count):
    @over(count, view=views())
    def check(view):
        made = next_action(view, 100.0)
        if made.action is not FailoverAction.ELECT:
            return
        assert len(view.reachable()) >= 2
        if view.primary is not None and view.primary.reachable:
            cut = [m for m in view.reachable() if m.progress.source_age > 1]
            assert len(cut) >= 2, view


@then("over {count:d} generated views the chosen replica is level or is waited for")
def step_routing(context, count):
    @over(count, view=views(), after=POSITIONS)
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
            level = member.progress.applied.index >= after.index
            assert level or choice.wait > 0, (member, after)


@then("over {count:d} generated fleets that change, remembered owners agree with a full ranking")
def step_placement(context, count):
    @over(count, seed=st.integers(0, 100_000))
    def check(seed):
        rng = random.Random(seed)
        hosts = {f"h{n}": made_host(f"h{n}", rng) for n in range(rng.randrange(1, 16))}
        kept = OwnerCache()
        for _ in range(12):
            name = f"h{rng.randrange(18)}"
            if rng.random() < 0.4:
                hosts.pop(name, None)
            else:
                hosts[name] = made_host(name, rng)
            listed = tuple(hosts.values())
            kept.update(listed)
            for group in ("a", "b", "c"):
                zone = rng.choice(("z0", "z1", ""))
                assert kept.owners(group, zone) == owners(group, listed, zone)[:OWNERS_KEPT]


def made_host(name, rng):
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


@then("over {count:d} generated orders of delivery the copy agrees with a replay")
def step_objects(context, count):
    @over(count, seed=st.integers(0, 100_000))
    def check(seed):
        rng = random.Random(seed)
        changes, truth = [], {}
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
            truth = {}
            for change in changes[: cache.revision]:
                truth[change.name] = bytes(change.value)
            live = {n: v for n, v in truth.items() if v != b"null"}
            assert {c.name: bytes(c.value) for c in cache.all("key")} == live


@then("over {count:d} generated deliveries every host ends with the same beliefs")
def step_membership(context, count):
    @over(count, seed=st.integers(0, 100_000))
    def check(seed):
        rng = random.Random(seed)
        news = []
        for _ in range(25):
            host = made_host(f"h{rng.randrange(5)}", rng)
            state = rng.choice(tuple(HostState))
            news.append(
                msgspec.structs.replace(host, incarnation=rng.randrange(3), state=state, zone="z")
            )
        beliefs = set()
        for turn in range(3):
            own = msgspec.structs.replace(made_host(f"own{turn}", rng), zone="z")
            belief = Membership(own=own, rng=rng)
            for host in rng.sample(news, len(news)):
                belief.merge(host, float(turn))
            known = [h for h in belief.hosts() if not h.name.startswith("own")]
            beliefs.add(str([(h.name, h.incarnation, h.state) for h in known]))
        assert len(beliefs) == 1, beliefs


@then("over {count:d} generated tokens reading, merging and forging behave")
def step_tokens(context, count):
    positions = st.lists(st.tuples(st.sampled_from("abc"), POSITIONS), max_size=6)

    @over(count, one=positions, two=positions, junk=st.text(max_size=60), flip=st.integers(0, 500))
    def check(one, two, junk, flip):
        signer, reader = SessionTokens(secrets=SECRETS[1:]), SessionTokens(secrets=SECRETS)
        first = fold(one)
        second = fold(two)
        texts = [signer.sign("team", first), reader.sign("team", second)]
        both = reader.read("team", ",".join(texts)).ok_value
        for group in "abc":
            wanted = max(position_of(first, group), position_of(second, group))
            assert position_of(both, group) == wanted
        assert reader.read("other", texts[0]).is_err()
        assert reader.read("team", "x" + junk).is_err()
        at = flip % len(texts[0])
        swapped = "A" if texts[0][at] != "A" else "B"
        forged = texts[0][:at] + swapped + texts[0][at + 1 :]
        read = reader.read("team", forged)
        assert read.is_err() or set(read.ok_value) == set(first)


def fold(pairs):
    """Return the marks that pairs of group and position amount to."""
    positions = ()
    for group, position in pairs:
        positions = merge(positions, SessionPosition(group=group, position=position))
    return positions


@then("over {count:d} generated requests the front answers or refuses")
def step_front(context, count):
    front = CallerHandler(entry=None, body_limit=lambda route: 1_000)
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

    @over(count, path=paths | st.text(), given_headers=headers, body=st.binary() | known)
    def check(path, given_headers, body):
        http = HttpRequest(method="POST", path=path, headers=given_headers, body=body)
        read = front.parse(http)
        assert read.is_ok() or read.err_value.detail, http


@then("a fault of its own is answered as one")
def step_internal(context):
    front = CallerHandler(entry=None, body_limit=lambda route: 1_000)
    body = b'{"sql":"SELECT 1","mode":"read"}'
    http = HttpRequest(method="POST", path="/v1/routes/r/statements", body=body)
    answer = front(http)
    assert answer.status == 500 and b'"internal"' in answer.body, answer


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


@then("over {count:d} generated settings files the check passes or names the place")
def step_settings(context, count):
    assert parse("host.ini", SETTINGS).host.name == "host-1"
    lines = SETTINGS.splitlines()

    @over(count, at=st.integers(0, len(lines) - 1), text=st.text(max_size=30))
    def check(at, text):
        changed = "\n".join([*lines[:at], text, *lines[at + 1 :]])
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
        raise AssertionError("accepted")


@then("over {count:d} generated options the check passes or says what is right")
def step_options(context, count):
    names = st.sampled_from(sorted(f.name for f in msgspec.structs.fields(options.Options)))

    @over(count, name=names | st.text(max_size=9), text=st.text(max_size=12))
    def check(name, text):
        parsed = options.parse(name, text)
        assert parsed.is_ok() or parsed.err_value

    assert options.parse("deadline", "250ms").ok_value == 0.25
    assert options.parse("body_limit", "64KiB").ok_value == 65_536


@then("docs/INTERFACE.md names each kind with its status, whether it ran, and retry")
def step_interface(context):
    page = Path(__file__).parents[2].joinpath("docs/INTERFACE.md").read_text()
    rows = re.findall(r"^\| `(\w+)` \| (\d+) \| (\w+) \| (\w+) \| (.+) \|$", page, re.MULTILINE)
    written = {k: (int(s), ran, retry, text) for k, s, ran, retry, text in rows}
    expected = {
        kind.value: (r.status, r.ran.value, "yes" if r.retry else "no", r.meaning)
        for kind, r in ERROR_SPECS.items()
    }
    assert written == expected, set(written.items()) ^ set(expected.items())


@then("over {count:d} generated events the line is one line and can be read back")
def step_lines(context, count):
    values = st.text(max_size=30) | st.integers() | st.sampled_from(("", "a b", 'x"y', "a=b"))

    @over(count, fields=st.dictionaries(st.sampled_from(("a", "b", "c")), values))
    def check(fields):
        line = logs.format_event("happened", fields)
        assert line.isprintable(), line
        assert len(shlex.split(line)) == 1 + len(fields), line
