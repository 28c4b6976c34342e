"""Endpoints that treat each request in a manner of its own, and what they ran."""

import asyncio
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random
from types import SimpleNamespace

import h11

SHORT_MS = 20
# Longer than any caller of the play waits.
LATE_MS = 400


class Manner(StrEnum):
    """What an endpoint does with one request."""

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


WEIGHTS = {Manner.ANSWER: 6, Manner.TWICE: 3}


@dataclass(slots=True)
class Ledger:
    """What all endpoints were sent and what they ran, by request id."""

    random: Random
    runs: Counter = field(default_factory=Counter)
    sent_to: dict = field(default_factory=lambda: defaultdict(list))
    met: Counter = field(default_factory=Counter)


@dataclass(slots=True)
class WildEndpoint:
    """One endpoint, with what its entry in the store needs.

    ``again`` holds, by connection, an answer that is sent once more before the next.
    """

    name: str
    service: str
    ledger: Ledger
    address: str = ""
    data_centre: str = "here"
    slots: int = 50
    started_ms: int = 1
    server: SimpleNamespace | None = None
    again: dict = field(default_factory=dict)


async def start_wild(name: str, service: str, ledger: Ledger) -> WildEndpoint:
    """Start an endpoint on a free port."""
    endpoint = WildEndpoint(name, service, ledger)

    async def take(reader, writer):
        try:
            while await serve_one(endpoint, reader, writer):
                pass
        except (OSError, h11.RemoteProtocolError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    listener = await asyncio.start_server(take, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    endpoint.address = f"{host}:{port}"
    endpoint.server = SimpleNamespace(listener=listener, connections=())
    return endpoint


async def serve_one(endpoint: WildEndpoint, reader, writer) -> bool:
    """Serve one request; False where the connection is to be closed."""
    parser = h11.Connection(h11.SERVER)
    request = await read_request(parser, reader)
    if request is None:
        return False
    headers = dict(request.headers)
    request_id = headers[b"attempt-id"].decode()
    ledger = endpoint.ledger
    weights = [WEIGHTS.get(manner, 1) for manner in Manner]
    manner = ledger.random.choices(list(Manner), weights)[0]
    ledger.met[manner] += 1
    ledger.sent_to[request_id].append(endpoint.name)
    writer.write(endpoint.again.pop(writer, b""))
    return await MANNERS[manner](endpoint, request_id, reader, writer)


async def read_request(parser: h11.Connection, reader) -> h11.Request | None:
    """Read a whole request, None where the caller closed."""
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


def own_body(request_id: str) -> bytes:
    """Give the body of the only right answer to a request."""
    return b"the answer to %s\n" % request_id.encode()


def encode_answer(request_id: str, status: int = 200, extra: bytes = b"") -> bytes:
    """Give a whole answer as bytes."""
    body = own_body(request_id)
    head = b"HTTP/1.1 %d x\r\nattempt-id: %s\r\n%scontent-length: %d\r\n\r\n"
    return head % (status, request_id.encode(), extra, len(body)) + body


async def answer(endpoint, request_id, reader, writer):
    endpoint.ledger.runs[request_id] += 1
    writer.write(encode_answer(request_id))
    return True


async def answer_twice(endpoint, request_id, reader, writer):
    endpoint.ledger.runs[request_id] += 1
    writer.write(encode_answer(request_id))
    endpoint.again[writer] = encode_answer(request_id)
    return True


async def say_full(endpoint, request_id, reader, writer):
    writer.write(encode_answer(request_id, 503, b"not-executed: 1\r\n"))
    return True


async def say_other(endpoint, request_id, reader, writer):
    writer.write(encode_answer(request_id, 421))
    return True


async def fail(endpoint, request_id, reader, writer):
    endpoint.ledger.runs[request_id] += 1
    writer.write(encode_answer(request_id, 500))
    return True


async def drop(endpoint, request_id, reader, writer):
    return False


async def lose(endpoint, request_id, reader, writer):
    endpoint.ledger.runs[request_id] += 1
    return False


async def cut(endpoint, request_id, reader, writer):
    endpoint.ledger.runs[request_id] += 1
    writer.write(encode_answer(request_id)[:-4])
    return False


async def run_late(endpoint, request_id, reader, writer):
    endpoint.ledger.runs[request_id] += 1
    await asyncio.sleep(LATE_MS / 1_000)
    writer.write(encode_answer(request_id))
    return True


async def run_queued(endpoint, request_id, reader, writer):
    """Run after a while, unless the connection is closed before."""
    try:
        async with asyncio.timeout(SHORT_MS / 1_000):
            await reader.read(1)
        return False
    except TimeoutError:
        return await answer(endpoint, request_id, reader, writer)


MANNERS = {
    Manner.ANSWER: answer,
    Manner.FULL: say_full,
    Manner.OTHER: say_other,
    Manner.FAIL: fail,
    Manner.DROP: drop,
    Manner.LOSE: lose,
    Manner.CUT: cut,
    Manner.LATE: run_late,
    Manner.TWICE: answer_twice,
    Manner.QUEUE: run_queued,
}
