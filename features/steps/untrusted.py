"""Steps for clients that send, read or stop as they like, against real host processes."""

import threading
import time

from behave import given, then, when

from features.crowd import (
    SMALL_BUFFER_BYTES,
    TIME_LIMITS,
    check_hosts,
    open_crowd,
    ready_address,
    startup,
)
from features.steps.site import start_site
from features.untrusted_mix import play
from wagtailloft.fleet.messages import ENCODER, Frame, KnownRevision, PullRequest
from wagtailloft.fleet.records import Topic


def stop_members(context, seconds):
    """Let the members not respond for some seconds."""

    def set_unresponsive(value):
        for member in context.site.group.members.values():
            member.unresponsive = value

    set_unresponsive(True)
    threading.Timer(seconds, set_unresponsive, (False,)).start()


@given("a site with {count:d} hosts of {megabytes:d} MB and {descriptors:d} file descriptors")
def step_small_hosts(context, count, megabytes, descriptors):
    limits = {"memory_mb": megabytes, **TIME_LIMITS}
    start_site(
        context, hosts=count, max_fds=descriptors, limits=limits, rate=100_000, burst=100_000
    )
    context.megabytes, context.descriptors = megabytes, descriptors


@when("{count:d} callers at each host request {answers:d} answers of {size:d} bytes and read none")
def step_answers_unread(context, count, answers, size):
    site = context.site
    site.open_session("edge-0", "orders").query_ok(f"WRITE large {'x' * size}")
    reads = b"".join(b"QUERY r%d READ large\r\n" % n for n in range(answers))
    addresses = list(site.addresses.values()) * count
    open_crowd(context.stack, addresses, startup() + reads, receive_buffer=SMALL_BUFFER_BYTES)


@when(
    "{count:d} callers at each host request {answers:d} answers of {rows:d} rows of {size:d} bytes "
    "and read none"
)
def step_largest_answers_unread(context, count, answers, rows, size):
    for member in context.site.group.members.values():
        member.rows_per_read = rows
    step_answers_unread(context, count, answers, size)


@when("{count:d} callers send {size:d} bytes of a message each and stop")
def step_message_unfinished(context, count, size):
    data = startup() + b"QUERY q1 WRITE a " + b"x" * size
    open_crowd(context.stack, [context.site.addresses["edge-0"]] * count, data)


@when("{count:d} callers set {variables:d} variables of {size:d} bytes each")
def step_variables(context, count, variables, size):
    sets = (b"QUERY s%d SET v%d " % (n, n) + b"x" * size + b"\r\n" for n in range(variables))
    open_crowd(
        context.stack, [context.site.addresses["edge-0"]] * count, startup() + b"".join(sets)
    )


@when(
    "{count:d} callers send {writes:d} writes of {size:d} bytes each while members do not respond"
)
def step_large_writes(context, count, writes, size):
    stop_members(context, 1.0)
    text = b"x" * size + b"\r\n"
    data = startup() + b"".join(b"QUERY w%d WRITE a " % n + text for n in range(writes))
    open_crowd(context.stack, [context.site.addresses["edge-0"]] * count, data)


@when("{count:d} callers send {messages:d} empty messages each and read no answer")
def step_empty_messages(context, count, messages):
    data = startup() + b"\r\n" * messages
    addresses = [context.site.addresses["edge-0"]] * count
    open_crowd(context.stack, addresses, data, receive_buffer=SMALL_BUFFER_BYTES)


@when("{count:d} callers in turn prepare and run a statement of {size:d} bytes")
def step_large_prepared(context, count, size):
    for number in range(count):
        caller = context.site.open_session("edge-0", "orders")
        caller.query_ok(f"PREPARE p READ {number} {'x' * size}")
        caller.query_ok("EXEC p item")
        caller.close()


@when("{count:d} connections to the {port} port are opened and not used")
def step_unused(context, count, port):
    site = context.site
    address = {
        "callers'": site.addresses["edge-0"],
        "probes'": ready_address(site, "edge-0"),
        "hosts'": site.peer_addresses["edge-0"],
    }[port]
    open_crowd(context.stack, [address] * count)


@when("{count:d} callers send half a STARTUP")
def step_half_startup(context, count):
    open_crowd(context.stack, [context.site.addresses["edge-0"]] * count, startup()[:12])


@when("{count:d} callers with a session send half a message, a byte at a time")
def step_half_message(context, count):
    address = context.site.addresses["edge-0"]
    data = startup() + b"QUERY q1 WRITE a " + b"x" * 1000
    open_crowd(context.stack, [address] * count, data, chunk=1, pause=0.02)


@when("{count:d} clients send {requests:d} requests for metrics each and read no response")
def step_responses_unread(context, count, requests):
    address = ready_address(context.site, "edge-0")
    data = b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n" * requests
    open_crowd(context.stack, [address] * count, data, receive_buffer=SMALL_BUFFER_BYTES)


@when("{count:d} clients send {size:d} bytes of a body of {whole:d} bytes each")
def step_body_unfinished(context, count, size, whole):
    head = b"POST /ready HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % whole
    open_crowd(context.stack, [ready_address(context.site, "edge-0")] * count, head + b"x" * size)


@when("{count:d} connections to the hosts' port send {size:d} bytes of a frame of {whole:d} bytes")
def step_frame_unfinished(context, count, size, whole):
    data = whole.to_bytes(4) + b"x" * size
    open_crowd(context.stack, [context.site.peer_addresses["edge-0"]] * count, data)


@when("{count:d} connections to the hosts' port send {pulls:d} pulls each and read no response")
def step_pulls_unread(context, count, pulls):
    known = tuple(KnownRevision(topic=topic, revision=0) for topic in Topic)
    request = PullRequest(host="edge-1", known_revisions=known)
    body = ENCODER.encode(Frame(call_id=1, is_response=False, body=request))
    data = (len(body).to_bytes(4) + body) * pulls
    address = context.site.peer_addresses["edge-0"]
    open_crowd(context.stack, [address] * count, data, receive_buffer=SMALL_BUFFER_BYTES)


@then("each host lives within its limits for {seconds:d} s and serves an ordinary caller")
def step_within_limits(context, seconds):
    limits = (context.megabytes, context.descriptors)
    print("most megabytes and descriptors:", check_hosts(context.site, seconds, *limits))


@when(
    "a caller keeps {size:d} bytes of variables, pipelines {count:d} reads and rests for {idle:d} s"
)
def step_caller_inside_limits(context, size, count, idle):
    context.caller = caller = context.site.open_session("edge-0", "accounts")
    for name in ("v1", "v2"):
        caller.query_ok(f"SET {name} {'x' * (size // 2)}")
    caller.query_ok(f"WRITE large {'x' * 900_000}")
    caller.sock.sendall(b"".join(b"QUERY r%d READ large\r\n" % n for n in range(count)))
    for _ in range(count):
        assert caller.receive()[0].startswith("ROW x")
    time.sleep(idle)


@then("its message of {size:d} bytes, sent in parts for {seconds:g} s, is served")
def step_message_in_parts_served(context, size, seconds):
    caller, data = context.caller, b"QUERY w1 WRITE a " + b"x" * size + b"\r\n"
    for start in range(0, len(data), len(data) // 10):
        caller.sock.sendall(data[start : start + len(data) // 10])
        time.sleep(seconds / 10)
    reply = caller.receive()
    assert reply[0].startswith("DONE 7"), reply


@then("{count:d} random mixes of clients from seed {seed:d} leave a host within its limits")
def step_random_mixes(context, count, seed):
    play(count, seed)
