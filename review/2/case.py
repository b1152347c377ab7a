"""Callers write texts of several lines; each member's run must be a message that a caller sent."""

import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins"))

from deployment import Client, Record, Site, finish  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUNDS = 8


def texts(number):
    """Return the data of three writes: a note, one with a quoted message, one that ends in CR."""
    if not TROUBLE:
        return f"gate 3, pallets {number}", f"she said: QUERY q{number}", f"note {number}"
    return (
        f"gate 3\npallets {number}",
        f"she said:\nQUERY q{number} WRITE other{number} not-sent",
        f"note {number}\r",
    )


def main():
    record = Record("record.txt")
    record(f"TROUBLE={int(TROUBLE)}")
    try:
        with Site(record=record) as site:
            site.start_hosts()
            sent, answered = play(site, record)
            time.sleep(1.0)
            broken = check(site, sent, answered, record)
    except Exception as exc:
        finish(record, f"could not run: {exc!r}", 2)
    if len(answered) < ROUNDS:
        finish(record, f"could not run: only {len(answered)} writes were answered with success", 2)
    finish(record, f"{len(broken)} breaks of UNASKED", 1 if broken else 0)


def play(site, record):
    """Write the texts; return what was sent by id, and which ids were answered with success."""
    sent, answered = {}, set()
    for number in range(ROUNDS):
        for part, data in enumerate(texts(number)):
            host = site.hosts[(number + part) % len(site.hosts)]
            client = Client(site=site, host=host, database="orders", number=f"{number}{part}")
            text = f"WRITE item{number}.{part} {data}"
            request_id, lines = client.query(text)
            sent[request_id] = text
            if any(line.startswith("DONE 7.") for line in lines):
                answered.add(request_id)
            extra = client.receive(timeout=0.3)
            if extra:
                record(f"client {client.name} asked nothing and got {extra}")
            client.close()
    return sent, answered


def check(site, sent, answered, record):
    """Return the runs at members that no caller asked for, or whose text was changed."""
    broken = []
    for member, request_id, text, _ in site.group.runs:
        if request_id == "-":
            continue
        if request_id not in sent:
            broken.append(f"{member} ran {request_id} {text!r}, an id that no client sent")
        elif text != sent[request_id]:
            said = "acknowledged" if request_id in answered else "not acknowledged"
            broken.append(
                f"{member} ran {request_id} with changed text ({said}):"
                f" sent {sent[request_id]!r}, ran {text!r}"
            )
    for line in broken:
        record(f"UNASKED: {line}")
    return broken


main()
