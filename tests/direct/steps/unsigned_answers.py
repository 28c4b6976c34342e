"""Steps with endpoints whose answers have no signature."""

from behave import then, when
from broken_heads import answer_whole, break_stream, run_call
from broken_streams import encode_events
from raw_endpoints import encode_chunk, encode_head
from scenes import CHAT, LOOKUP, ORDER

# It ends like an event of a stream.
SPOILED_BODY = b"\x00\x7f\xff\xfe\n\n"
SIGNATURES = {"no signature": (), "an empty signature": ("server-stamp:",)}
PATHS = {
    "order": (ORDER, "shop"),
    "lookup": (LOOKUP, "shop"),
    "prompt": (CHAT, "model"),
}


def answer_unsigned(status: int, signature: str):
    """Return an answer of ``status`` without a signature that holds."""

    async def answer(request, writer):
        length = () if status == 204 else (f"content-length: {len(SPOILED_BODY)}",)
        lines = (*SIGNATURES[signature], *length)
        writer.write(encode_head(request, *lines, status=status, signed=False))
        if length:
            writer.write(SPOILED_BODY)

    return answer


async def go_on_unsigned(request, writer):
    """Send the next events in an answer without a signature."""
    head = encode_head(request, "transfer-encoding: chunked", signed=False)
    writer.write(head + encode_chunk(encode_events(3, 4)) + b"0\r\n\r\n")


@when("the endpoint of a {kind} answers with {status:d} and {signature}")
@when("the endpoint of an {kind} answers with {status:d} and {signature}")
def answer_call(context, kind, status, signature):
    run_call(context, *PATHS[kind], [answer_unsigned(status, signature), answer_whole])


@when("a stream breaks off and the next endpoint's answer has no signature")
def continue_unsigned(context):
    run_call(context, CHAT, "model", [break_stream, go_on_unsigned])


@then("the order's outcome is unknown, and nothing of that answer is passed on")
def check_unknown(context):
    answer = context.answer
    assert (answer.status, answer.header("pulley-outcome")) == (502, "unknown"), answer
    assert SPOILED_BODY not in answer.body, answer


@then("the caller gets the next endpoint's signed answer")
def check_next(context):
    answer = context.answer
    assert answer.status == 200 and answer.header("server-stamp"), answer
    assert SPOILED_BODY not in answer.body, answer


@then("no event of that answer is passed on")
def check_no_event(context):
    answer = context.answer
    assert SPOILED_BODY not in answer.body, answer
    assert answer.status == 502 or answer.header("server-stamp"), answer


@then("the caller gets the events before it, and the stream is cut")
def check_cut(context):
    assert context.answer.body == encode_events(1, 2), context.answer
    assert not context.answer.whole, context.answer


@then("the caller gets that error")
def check_error(context):
    answer = context.answer
    assert (answer.status, answer.body) == (404, SPOILED_BODY), answer
