"""Steps with responses that HTTP/1.1 does not allow."""

import asyncio
import logging

from behave import then, when
from raw_callers import connect_raw, read_status

from pulley_http import Response, start_server

REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
HEADERS_BY_FAULT = {
    "a content length below its body's": (b"content-length", b"2"),
    "a content length above its body's": (b"content-length", b"9"),
    "a content length that is not a number": (b"content-length", b"four"),
    "an invalid header name": (b"two words", b"x"),
    "a line end in a header value": (b"x", b"a\r\nb"),
}


class RecordKeeper(logging.Handler):
    """Keeps the log records of the server."""

    def __init__(self):
        super().__init__(logging.INFO)
        self.records = []

    def emit(self, record):
        self.records.append(record)


@when("a handler returns a response with {fault}")
def return_faulty_response(context, fault):
    async def answer(request):
        return Response(200, [HEADERS_BY_FAULT[fault]], b"body")

    async def run():
        server = await start_server(answer, "127.0.0.1", 0)
        async with connect_raw(server) as caller:
            caller.send(REQUEST)
            context.status = await read_status(caller)
        server.listener.close()

    keeper = RecordKeeper()
    server_logger = logging.getLogger("pulley_http.response_writes")
    server_logger.addHandler(keeper)
    asyncio.run(run())
    server_logger.removeHandler(keeper)
    context.records = keeper.records


@then("the failure is logged")
def check_logged(context):
    assert context.records
