"""Endpoints that behave randomly for each request, and a log of what they ran."""

import asyncio
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random
from types import SimpleNamespace

import h11

QUEUE_DELAY_MS = 20
# Longer than any caller in the tests waits.
LATE_ANSWER_MS = 400


class Behavior(StrEnum):
    """How an endpoint handles one request."""

    ANSWER = "answers"
    FULL = "is full"
    OTHER = "is another endpoint"
    FAIL = "fails"
    DROP = "closes before it runs"
    LOSE = "runs and closes"
    CUT = "runs and cuts its answer"
    LATE = "runs and answers late"
    TWICE = "answers twice"
    QUEUE = "runs after a while"


WEIGHTS = {Behavior.ANSWER: 6, Behavior.TWICE: 3}


@dataclass(slots=True)
class RequestLog:
    """Which endpoints each request was sent to and how often it ran, by request id."""

    random: Random
    runs: Counter = field(default_factory=Counter)
    sent_to: dict = field(default_factory=lambda: defaultdict(list))
    behaviors_seen: Counter = field(default_factory=Counter)


@dataclass(slots=True)
class FaultyEndpoint:
    """One endpoint, with the fields that its entry in the store needs.

    ``repeated_answers`` holds, by connection, an answer that is sent again before
    the next one.
    """

    name: str
    service: str
    request_log: RequestLog
    address: str = ""
    data_centre: str = "here"
    slots: int = 50
    started_ms: int = 1
    server: SimpleNamespace | None = None
    repeated_answers: dict = field(default_factory=dict)


async def start_faulty_endpoint(
    name: str, service: str, request_log: RequestLog
) -> FaultyEndpoint:
    """Start an endpoint on a free port."""
    endpoint = FaultyEndpoint(name, service, request_log)

    async def handle_connection(reader, writer):
        try:
            while await serve_one(endpoint, reader, writer):
                pass
        except (OSError, h11.RemoteProtocolError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    listener = await asyncio.start_server(handle_connection, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    endpoint.address = f"{host}:{port}"
    endpoint.server = SimpleNamespace(listener=listener, connections=())
    return endpoint


async def serve_one(endpoint: FaultyEndpoint, reader, writer) -> bool:
    """Serve one request; return False if the connection is to be closed."""
    parser = h11.Connection(h11.SERVER)
    request = await read_request(parser, reader)
    if request is None:
        return False
    headers = dict(request.headers)
    request_id = headers[b"attempt-id"].decode()
    request_log = endpoint.request_log
    weights = [WEIGHTS.get(behavior, 1) for behavior in Behavior]
    behavior = request_log.random.choices(list(Behavior), weights)[0]
    request_log.behaviors_seen[behavior] += 1
    request_log.sent_to[request_id].append(endpoint.name)
    writer.write(endpoint.repeated_answers.pop(writer, b""))
    return await HANDLERS[behavior](endpoint, request_id, reader, writer)


async def read_request(parser: h11.Connection, reader) -> h11.Request | None:
    """Read a whole request, None if the caller closed the connection."""
    request = None
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            data = await reader.read(65_536)
            if not data:
                return None
            parser.receive_data(data)
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.EndOfMessage):
            return request


def expected_body(request_id: str) -> bytes:
    """Return the body of the only correct answer to a request."""
    return b"the answer to %s\n" % request_id.encode()


def encode_answer(request_id: str, status: int = 200, extra: bytes = b"") -> bytes:
    """Return a whole answer as bytes."""
    body = expected_body(request_id)
    identity = b"attempt-id: %s\r\nserver-stamp: s\r\n" % request_id.encode()
    head = b"HTTP/1.1 %d x\r\n%s%scontent-length: %d\r\n\r\n"
    return head % (status, identity, extra, len(body)) + body


async def run_and_answer(endpoint, request_id, reader, writer):
    endpoint.request_log.runs[request_id] += 1
    writer.write(encode_answer(request_id))
    return True


async def run_and_answer_twice(endpoint, request_id, reader, writer):
    endpoint.request_log.runs[request_id] += 1
    writer.write(encode_answer(request_id))
    endpoint.repeated_answers[writer] = encode_answer(request_id)
    return True


async def reject_as_full(endpoint, request_id, reader, writer):
    writer.write(encode_answer(request_id, 503, b"not-executed: 1\r\n"))
    return True


async def reject_as_misdirected(endpoint, request_id, reader, writer):
    writer.write(encode_answer(request_id, 421))
    return True


async def run_and_fail(endpoint, request_id, reader, writer):
    endpoint.request_log.runs[request_id] += 1
    writer.write(encode_answer(request_id, 500))
    return True


async def close_before_run(endpoint, request_id, reader, writer):
    return False


async def run_and_close(endpoint, request_id, reader, writer):
    endpoint.request_log.runs[request_id] += 1
    return False


async def run_and_truncate(endpoint, request_id, reader, writer):
    endpoint.request_log.runs[request_id] += 1
    writer.write(encode_answer(request_id)[:-4])
    return False


async def run_late(endpoint, request_id, reader, writer):
    endpoint.request_log.runs[request_id] += 1
    await asyncio.sleep(LATE_ANSWER_MS / 1_000)
    writer.write(encode_answer(request_id))
    return True


async def run_queued(endpoint, request_id, reader, writer):
    """Run after a delay, unless the connection is closed before."""
    try:
        async with asyncio.timeout(QUEUE_DELAY_MS / 1_000):
            await reader.read(1)
        return False
    except TimeoutError:
        return await run_and_answer(endpoint, request_id, reader, writer)


HANDLERS = {
    Behavior.ANSWER: run_and_answer,
    Behavior.FULL: reject_as_full,
    Behavior.OTHER: reject_as_misdirected,
    Behavior.FAIL: run_and_fail,
    Behavior.DROP: close_before_run,
    Behavior.LOSE: run_and_close,
    Behavior.CUT: run_and_truncate,
    Behavior.LATE: run_late,
    Behavior.TWICE: run_and_answer_twice,
    Behavior.QUEUE: run_queued,
}
