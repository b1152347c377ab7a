"""Steps for unexpected errors in the handling of calls between hosts."""

import asyncio

from behave import given, then, when

from features.captured_log import captured_log
from wagtailloft.clock import now
from wagtailloft.errors import NoResponse
from wagtailloft.fleet.mesh import Mesh
from wagtailloft.fleet.messages import Ack, AgedRevision, PullResponse, RollbackRequest
from wagtailloft.fleet.records import Topic

LOOPBACK = "127.0.0.1"
CALL_TIMEOUT_S = 2.0
AT_ONCE_S = 1.0


@given("a host whose handler returns a number that can't be encoded")
def step_handler(context):
    async def respond(conn, message):
        newer = AgedRevision(topic=Topic.FLEET, revision=1 << 70, age=0.0)
        return PullResponse(topic_changes=(), newer=(newer,))

    context.handler = respond


@when("another host calls it")
def step_call(context):
    async def main():
        called, caller = Mesh(ip=LOOPBACK, port=0), Mesh(ip=LOOPBACK, port=0)
        called.register_handler(RollbackRequest, context.handler)
        called.register_handler(Ack, lambda conn, message: asyncio.sleep(0.0, Ack()))
        await called.start()
        address = called._server.sockets[0].getsockname()
        began = now()
        try:
            await caller.call(address, RollbackRequest(transaction_id=1), CALL_TIMEOUT_S)
        except NoResponse as exc:
            context.failure = str(exc)
        context.seconds = now() - began
        context.next_response = await caller.call(address, Ack(), CALL_TIMEOUT_S)
        caller.stop()
        called.stop()

    with captured_log() as context.lines:
        asyncio.run(main())


@then("the caller is told at once, and the failure is in the log of the host")
def step_told(context):
    assert context.seconds < AT_ONCE_S, (context.seconds, context.failure)
    assert "OverflowError" in context.failure, context.failure
    assert context.next_response == Ack()
    failures = [fields for name, fields in context.lines if name == "call_failed"]
    assert [f["message"] for f in failures] == ["RollbackRequest"], context.lines
