"""Play random mixes of clients that nobody controls against a host process.

By hand: python -m features.untrusted_mix --seconds 600
"""

import random
import time
from contextlib import ExitStack

import fire
from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

from features.crowd import (
    SMALL_BUFFER_BYTES,
    TIME_LIMITS,
    check_hosts,
    open_crowd,
    ready_address,
    startup,
)
from standins.site import Site

MEGABYTES = 100
DESCRIPTORS = 400
EXAMPLES_PER_SEED = 10
MIX_S = 1.0

sizes = st.sampled_from((0, 1, 60, 5_000, 200_000, 1_000_000, 1 << 20, 3_000_000))
ends = st.sampled_from((b"\r\n", b"\n", b""))
words = st.sampled_from(
    (b"WRITE a ", b"READ large", b"SET v ", b"PREPARE p READ ", b"EXEC p ", b"BEGIN", b"")
)
lines = st.tuples(words, sizes, ends).map(lambda t: b"QUERY q1 " + t[0] + b"x" * t[1] + t[2])
reads = st.integers(1, 500).map(lambda n: b"QUERY r1 READ large\r\n" * n)
junk = st.binary(max_size=50) | st.integers(1, 20_000).map(lambda n: b"\r\n" * n)
sessions = st.lists(lines | reads | junk, max_size=6).map(lambda p: startup() + b"".join(p))
requests = st.sampled_from(
    (
        b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n" * 500,
        b"POST /ready HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n" + b"x" * 2_000_000,
        b"GET /ready HTTP/1.1\r\nX: " + b"x" * 2_000_000,
        b"GET /rea",
    )
)
frames = st.tuples(st.sampled_from((3, 60, 8_000_000, 2**31)), sizes).map(
    lambda t: t[0].to_bytes(4) + b"x" * t[1]
)
crowds = st.one_of(
    st.tuples(st.just("callers"), sessions | lines | junk),
    st.tuples(st.just("probes"), requests | junk),
    st.tuples(st.just("hosts"), frames | junk),
)
clients = st.tuples(
    crowds,
    st.integers(1, 120),  # of them
    st.sampled_from((0, SMALL_BUFFER_BYTES)),  # receive buffer
    st.sampled_from((0, 1, 1000, 100_000)),  # bytes at a time, 0 for all
)


def play(examples, first_seed):
    """Run random mixes of clients against one host that is started for them."""
    with Site(hosts=1, max_fds=DESCRIPTORS, rate=100_000, burst=100_000, limits=_limits()) as site:
        site.open_session("edge-0", "orders").query_ok(f"WRITE large {'x' * 900_000}")
        addresses = {
            "callers": site.addresses["edge-0"],
            "probes": ready_address(site, "edge-0"),
            "hosts": site.peer_addresses["edge-0"],
        }

        @seed(first_seed)
        @settings(
            max_examples=examples,
            deadline=None,
            database=None,
            derandomize=False,
            phases=(Phase.explicit, Phase.generate),
            suppress_health_check=list(HealthCheck),
        )
        @given(st.lists(clients, min_size=1, max_size=4))
        def check(mix):
            with ExitStack() as stack:
                for (port, data), count, receive_buffer, chunk in mix:
                    open_crowd(stack, [addresses[port]] * count, data, receive_buffer, chunk)
                check_hosts(site, MIX_S, MEGABYTES, DESCRIPTORS)

        check()


def main(seconds=600.0, first_seed=0):
    """Play with fresh seeds for a time; print each seed, so that a failing one can be repeated."""
    number = first_seed or random.randrange(2**32)
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        print(f"seed {number}", flush=True)
        play(EXAMPLES_PER_SEED, number)
        number += 1


def _limits():
    return {"memory_mb": MEGABYTES, **TIME_LIMITS}


if __name__ == "__main__":
    fire.Fire(main)
